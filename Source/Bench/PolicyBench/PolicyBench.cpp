#include "Experiments.h"

#include <CLI/CLI.hpp>

#include <functional>

int main(int Count, char **Arguments) {
  using namespace sff::bench;
  CLI::App App("Measures the core's policies on generated request traces.",
               "sff-policy-bench");
  App.require_subcommand(1);
  App.set_version_flag("--version", SFF_VERSION);
  std::string DeploymentName = "shohag";
  ExperimentOptions Options;
  const auto Add = [&](const char *Name, const char *Help,
                       std::function<void(const ExperimentOptions &)> Run) {
    CLI::App *Command = App.add_subcommand(Name, Help);
    Command->add_option("--deployment", DeploymentName, "shohag or agencia")
        ->check(CLI::IsMember({"shohag", "agencia"}));
    Command
        ->add_option("--seeds", Options.m_Seeds,
                     "Number of runs, with seeds 1 to n")
        ->check(CLI::Range(1, 1000));
    Command
        ->add_option("--hours", Options.m_Hours,
                     "Length of idle traces in hours")
        ->check(CLI::Range(1.0, 1000.0));
    Command->add_option("--jobs", Options.m_Jobs, "Number of concurrent runs")
        ->check(CLI::Range(1, 64));
    Command->add_flag("--json", Options.m_Json, "Print JSON");
    Command->callback([&, Run] {
      Options.m_Deployment = findDeployment(DeploymentName);
      Run(Options);
    });
  };
  Add("curve", "Cold-start latency against idle accelerator hours", runCurve);
  Add("burst", "Loads and outcomes when idle models become active", runBurst);
  Add("overload", "Load of two and four times the capacity", runOverload);
  Add("faults", "Outcomes before, during and after a fault", runFaults);
  Add("retries", "Attempts per request when engines fail", runRetries);
  Add("routing", "Waiting times and cache hits with stale reports",
      runRoutingTable);
  // Invalid arguments exit with status 2, as in all programs.
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : 2;
  }
  return 0;
}
