#include "Common/Process/Program.h"
#include "Net/Timers/ShutdownSignal.h"
#include "Router/Router.h"
#include "Router/RouterSettings.h"

#include <iostream>

int main(int Count, char **Arguments) {
  using namespace sff;
  return process::run(
      Count, Arguments, "sff-router",
      "HTTP front end: admission, routing, credits, retries and intents",
      router::makeSchema(), [](const process::Context &Started) {
        if (Started.m_Settings.get(router::RelaysSetting).empty()) {
          std::cerr << "router.relays: empty; allowed: at least one address\n";
          return process::ExitCode::BadInput;
        }
        timers::ShutdownSignal Signal;
        router::Router Running(Started.m_Settings, Started.m_Identity);
        Running.start();
        Signal.wait();
        Running.stop();
        return process::ExitCode::Success;
      });
}
