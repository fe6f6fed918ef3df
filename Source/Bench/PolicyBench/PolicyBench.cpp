#include "Experiments.h"

#include <CLI/CLI.hpp>

#include <functional>

int main(int Count, char **Arguments) {
  using namespace sff::bench;
  CLI::App App("Measures the core's policies on generated request traces.",
               "sff-policy-bench");
  App.require_subcommand(1);
  App.set_version_flag("--version", SFF_VERSION);
  std::string Deployment = "shohag";
  ExperimentOptions Options;
  const auto Add = [&](const char *Name, const char *Help,
                       std::function<void(const ExperimentOptions &)> Run) {
    CLI::App *Command = App.add_subcommand(Name, Help);
    Command->add_option("--deployment", Deployment, "shohag or agencia")
        ->check(CLI::IsMember({"shohag", "agencia"}));
    Command->add_option("--seeds", Options.m_Seeds, "Runs, with seeds 1 to n")
        ->check(CLI::Range(1, 1000));
    Command->add_option("--hours", Options.m_Hours, "Length of idle traces")
        ->check(CLI::Range(1.0, 1000.0));
    Command->add_option("--jobs", Options.m_Jobs, "Runs at once")
        ->check(CLI::Range(1, 64));
    Command->add_flag("--json", Options.m_Json, "Print JSON");
    Command->callback([&, Run] {
      Options.m_Where = findDeployment(Deployment);
      Run(Options);
    });
  };
  Add("curve", "Cold-start tail against idle accelerator hours", runCurve);
  Add("burst", "Loads and answers when idle models wake", runBurst);
  Add("overload", "Twice and four times the capacity", runOverload);
  Add("faults", "Before, during and after a fault", runFaults);
  Add("retries", "Attempts per request when engines fail", runRetries);
  Add("routing", "Waits and cache hits with stale views", runRoutingTable);
  // Bad arguments end with 2 as in all programs.
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : 2;
  }
  return 0;
}
