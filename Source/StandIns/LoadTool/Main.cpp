#include "Common/Process/Program.h"
#include "StandIns/LoadTool/LoadRun.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iostream>

namespace {

using namespace sff;

constexpr int JsonIndent = 2;
constexpr int MaxSeconds = 3600;
constexpr int MaxConcurrency = 4000;

struct CommandLine {
  standin::LoadOptions m_Options;
  std::vector<std::string> m_Targets;
  std::int64_t m_Seconds = 10;
  std::int64_t m_TimeoutMs = 30000;
};

void addOptions(CLI::App &App, CommandLine &Line) {
  standin::LoadOptions &Options = Line.m_Options;
  Options.m_Concurrency = 16;
  Options.m_MaxRequests = 100000;
  Options.m_MaxTokens = 16;
  Options.m_Seed = 1;
  App.add_option("--target", Line.m_Targets, "Target addresses, as ip:port")
      ->required()
      ->delimiter(',');
  App.add_option("--entry", Options.m_Entries, "Models to request")
      ->required()
      ->delimiter(',');
  App.add_option("--rate", Options.m_RequestsPerSecond,
                 "Requests per second; 0 for a closed loop")
      ->check(CLI::Range(0.0, 100000.0));
  App.add_option("--concurrency", Options.m_Concurrency,
                 "Callers of the closed loop, or maximum requests in flight")
      ->check(CLI::Range(1, MaxConcurrency));
  App.add_option("--max-requests", Options.m_MaxRequests,
                 "Maximum number of requests")
      ->check(CLI::Range(1, 10000000));
  App.add_option("--duration", Line.m_Seconds,
                 "Seconds during which requests are started")
      ->check(CLI::Range(1, MaxSeconds));
  App.add_option("--timeout-ms", Line.m_TimeoutMs,
                 "Timeout of a request in milliseconds")
      ->check(CLI::Range(1, MaxSeconds * 1000));
  App.add_option("--batch-share", Options.m_BatchShare,
                 "Fraction of requests in the batch class")
      ->check(CLI::Range(0.0, 1.0));
  App.add_option("--max-tokens", Options.m_MaxTokens, "Tokens per response")
      ->check(CLI::Range(1, 100000));
  App.add_option("--prompt-bytes", Options.m_PromptBytes,
                 "Length in bytes of the prefix shared by all prompts")
      ->check(CLI::Range(0, 1000000));
  App.add_option("--seed", Options.m_Seed,
                 "Seed of the random number generator");
  App.add_flag("--stream", Options.m_Stream, "Requests streamed responses");
  App.add_flag("--return-after-refusal", Options.m_RetryAfterRejection,
               "Retries a rejected request at the stated retry time");
}

bool readTargets(CommandLine &Line) {
  for (const std::string &Text : Line.m_Targets) {
    const auto Target = http::Address::parse(Text);
    if (!Target)
      return false;
    Line.m_Options.m_Targets.push_back(*Target);
  }
  return true;
}

void runLoad(const standin::LoadOptions &Options) {
  boost::asio::io_context Context{1};
  standin::LoadRun Run(Context, Options);
  boost::asio::co_spawn(Context, Run.run(), boost::asio::detached);
  Context.run();
  std::cout << Run.report().dump(JsonIndent) << "\n";
}

} // namespace

int main(int Count, char **Arguments) {
  using process::ExitCode;
  CLI::App App{"Generates bounded load and checks each response", "sff-load"};
  App.set_version_flag("--version", SFF_VERSION);
  CommandLine Line;
  addOptions(App, Line);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    return static_cast<int>(App.exit(Error) == 0 ? ExitCode::Success
                                                 : ExitCode::BadInput);
  }
  if (!readTargets(Line)) {
    std::cerr << "--target: expected an address such as 10.0.0.1:8080\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  Line.m_Options.m_Duration = std::chrono::seconds(Line.m_Seconds);
  Line.m_Options.m_Timeout = milliseconds(Line.m_TimeoutMs);
  runLoad(Line.m_Options);
  return static_cast<int>(ExitCode::Success);
}
