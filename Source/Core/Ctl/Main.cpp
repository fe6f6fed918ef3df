#include "Ctl/Commands.h"
#include "Net/Http/Message.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace sff;
using namespace sff::ctl;

constexpr milliseconds CallTimeout{4000};

struct Options {
  std::vector<std::string> m_Relays;
  std::vector<std::string> m_Files;
  std::string m_File;
  std::string m_Name;
  std::string m_Table = "hosts";
  std::string m_Change;
  std::int64_t m_TimeoutMs = 30000;
  PublishOptions m_Publish;
};

int toInt(ExitCode Code) { return static_cast<int>(Code); }

std::string checkAddress(const std::string &Text) {
  return http::Address::parse(Text) ? "" : "not a numeric address: " + Text;
}

ExitCode printFindings(const CheckedFiles &Files) {
  std::cerr << Files.m_Findings;
  return Files.m_Findings.empty() ? ExitCode::Success : ExitCode::BadInput;
}

std::optional<fold::ClusterState> stateOf(const Options &Chosen) {
  if (Chosen.m_Relays.empty())
    return std::nullopt;
  RelaySession Relays(Chosen.m_Relays, CallTimeout);
  return Relays.fetchState();
}

ExitCode runCheck(const Options &Chosen) {
  const auto State = stateOf(Chosen);
  if (!State && !Chosen.m_Relays.empty()) {
    std::cerr << "no relay is ready\n";
    return ExitCode::Failure;
  }
  const CheckedFiles Files =
      checkFiles(Chosen.m_Files, State ? &*State : nullptr);
  if (printFindings(Files) != ExitCode::Success)
    return ExitCode::BadInput;
  std::cout << Files.m_Entries.size() << " entries: ok\n";
  return ExitCode::Success;
}

ExitCode runPublish(Options &Chosen, RelaySession &Relays) {
  if (!Chosen.m_File.empty()) {
    const auto State = Relays.fetchState();
    if (!State) {
      std::cerr << "no relay is ready\n";
      return ExitCode::Failure;
    }
    CheckedFiles Files = checkFiles({Chosen.m_File}, &*State);
    if (printFindings(Files) != ExitCode::Success)
      return ExitCode::BadInput;
    Chosen.m_Publish.m_Entries = std::move(Files.m_Entries);
  }
  Chosen.m_Publish.m_Timeout = milliseconds(Chosen.m_TimeoutMs);
  return publish(Relays, Chosen.m_Publish, std::cout);
}

CLI::App *addCommand(CLI::App &App, const char *Name, const char *Doc,
                     Options &Chosen, bool NeedsRelay) {
  CLI::App *Command = App.add_subcommand(Name, Doc);
  auto *Relay = Command->add_option("--relay", Chosen.m_Relays,
                                    "Address of a relay, repeatable");
  Relay->check(checkAddress)->required(NeedsRelay);
  return Command;
}

void addPublish(CLI::App &App, Options &Chosen) {
  CLI::App *Command = addCommand(
      App, "publish", "Publish entries that differ from the catalogue", Chosen,
      true);
  auto *File = Command->add_option("file", Chosen.m_File, "Catalogue file");
  auto *Remove = Command->add_option("--remove", Chosen.m_Publish.m_Removed,
                                     "Entry to remove, repeatable");
  Command->add_option("--base", Chosen.m_Publish.m_Base,
                      "Version that the change is based on");
  Command->add_option("--author", Chosen.m_Publish.m_Author,
                      "Author to record");
  Command->add_flag("--wait", Chosen.m_Publish.m_Wait,
                    "Wait until in force in every zone");
  Command->add_option("--timeout", Chosen.m_TimeoutMs, "Milliseconds");
  Command->callback([File, Remove] {
    if (File->count() + Remove->count() == 0)
      throw CLI::RequiredError("a file or --remove");
  });
}

void addCommands(CLI::App &App, Options &Chosen) {
  addCommand(App, "check", "Check catalogue files", Chosen, false)
      ->add_option("files", Chosen.m_Files, "Catalogue files")
      ->required();
  addPublish(App, Chosen);
  addCommand(App, "show", "Print the catalogue", Chosen, true)
      ->add_option("name", Chosen.m_Name, "One entry");
  CLI::App *Wait =
      addCommand(App, "wait", "Wait until a change is in force in every zone",
                 Chosen, true);
  Wait->add_option("change", Chosen.m_Change, "Id or offset")->required();
  Wait->add_option("--timeout", Chosen.m_TimeoutMs, "Milliseconds");
  addCommand(App, "status", "Print a table", Chosen, true)
      ->add_option("table", Chosen.m_Table, "Table")
      ->check(CLI::IsMember({"hosts", "endpoints", "models", "slots"}));
  App.add_subcommand("settings-reference",
                     "Print the settings of all programs as Markdown");
}

ExitCode dispatch(const std::string &Command, Options &Chosen) {
  if (Command == "settings-reference") {
    settingsReference(std::cout);
    return ExitCode::Success;
  }
  if (Command == "check")
    return runCheck(Chosen);
  RelaySession Relays(Chosen.m_Relays, CallTimeout);
  if (Command == "publish")
    return runPublish(Chosen, Relays);
  if (Command == "show")
    return show(Relays, Chosen.m_Name, std::cout);
  if (Command == "wait")
    return waitInForce(Relays, Chosen.m_Change,
                       milliseconds(Chosen.m_TimeoutMs), std::cout);
  return status(Relays, Chosen.m_Table, std::cout);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Publishes and inspects the catalogue", "sffctl"};
  App.set_version_flag("--version", SFF_VERSION);
  App.require_subcommand(1);
  Options Chosen;
  addCommands(App, Chosen);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? toInt(ExitCode::Success)
                                : toInt(ExitCode::BadInput);
  }
  return toInt(dispatch(App.get_subcommands().front()->get_name(), Chosen));
}
