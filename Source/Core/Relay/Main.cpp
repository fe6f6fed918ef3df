#include "Relay/RelayNode.h"
#include "Relay/RelaySettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <stdexcept>

namespace {

using namespace sff;

process::ExitCode runRelay(const process::Context &Started) {
  boost::asio::io_context Main(1);
  boost::asio::signal_set Signals(Main, SIGTERM, SIGINT);
  Signals.async_wait([](auto, int) {});
  try {
    relay::RelayNode Node(Started);
    Node.start();
    Main.run();
    Node.stop();
  } catch (const std::runtime_error &Error) {
    log::error(log::Category::Process, "process.cannot_start",
               {{"detail", Error.what()}});
    return process::ExitCode::Failure;
  }
  return process::ExitCode::Success;
}

} // namespace

int main(int Count, char **Arguments) {
  return sff::process::run(
      Count, Arguments, "sff-relay",
      "Follows the log and serves its records to one host.",
      sff::relay::makeSchema(), runRelay);
}
