#include "Controller/Controller.h"
#include "Net/Timers/ShutdownSignal.h"

int main(int Count, char **Arguments) {
  using namespace sff;
  return process::run(
      Count, Arguments, "sff-controller",
      "Owns endpoints, places replicas and lends memory credits",
      controller::makeSchema(), [](const process::Context &Started) {
        timers::ShutdownSignal Signal;
        controller::Controller Running(
            controller::ControllerSettings::from(Started));
        Running.start();
        Signal.wait();
        Running.stop();
        return process::ExitCode::Success;
      });
}
