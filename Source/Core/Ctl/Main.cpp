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

int toExitStatus(ExitCode Code) { return static_cast<int>(Code); }

std::string checkAddress(const std::string &Text) {
  return http::Address::parse(Text)
             ? ""
             : "expected a numeric address, got: " + Text;
}

ExitCode printFindings(const CatalogueCheckResult &Files) {
  std::cerr << Files.m_Findings;
  return Files.m_Findings.empty() ? ExitCode::Success : ExitCode::BadInput;
}

std::optional<fold::ClusterState>
fetchStateIfRequested(const Options &Selected) {
  if (Selected.m_Relays.empty())
    return std::nullopt;
  RelaySession Relays(Selected.m_Relays, CallTimeout);
  return Relays.fetchState();
}

ExitCode runCheck(const Options &Selected) {
  const auto State = fetchStateIfRequested(Selected);
  if (!State && !Selected.m_Relays.empty()) {
    std::cerr << "no relay is ready\n";
    return ExitCode::Failure;
  }
  const CatalogueCheckResult Files =
      checkFiles(Selected.m_Files, State ? &*State : nullptr);
  if (printFindings(Files) != ExitCode::Success)
    return ExitCode::BadInput;
  std::cout << Files.m_Entries.size() << " entries: ok\n";
  return ExitCode::Success;
}

ExitCode runPublish(Options &Selected, RelaySession &Relays) {
  if (!Selected.m_File.empty()) {
    const auto State = Relays.fetchState();
    if (!State) {
      std::cerr << "no relay is ready\n";
      return ExitCode::Failure;
    }
    CatalogueCheckResult Files = checkFiles({Selected.m_File}, &*State);
    if (printFindings(Files) != ExitCode::Success)
      return ExitCode::BadInput;
    Selected.m_Publish.m_Entries = std::move(Files.m_Entries);
  }
  Selected.m_Publish.m_Timeout = milliseconds(Selected.m_TimeoutMs);
  return publish(Relays, Selected.m_Publish, std::cout);
}

CLI::App *addCommand(CLI::App &App, const char *Name, const char *Description,
                     Options &Selected, bool NeedsRelay) {
  CLI::App *Command = App.add_subcommand(Name, Description);
  auto *Relay = Command->add_option("--relay", Selected.m_Relays,
                                    "Address of a relay, repeatable");
  Relay->check(checkAddress)->required(NeedsRelay);
  return Command;
}

void addPublishCommand(CLI::App &App, Options &Selected) {
  CLI::App *Command = addCommand(
      App, "publish", "Publish entries that differ from the catalogue",
      Selected, true);
  auto *File = Command->add_option("file", Selected.m_File, "Catalogue file");
  auto *Remove = Command->add_option("--remove", Selected.m_Publish.m_Removed,
                                     "Entry to remove, repeatable");
  Command->add_option("--base", Selected.m_Publish.m_Base,
                      "Version that the changes are based on");
  Command->add_option("--author", Selected.m_Publish.m_Author,
                      "Author to record");
  Command->add_flag("--wait", Selected.m_Publish.m_Wait,
                    "Wait until the changes are in force in every zone");
  Command->add_option("--timeout", Selected.m_TimeoutMs, "Milliseconds");
  Command->callback([File, Remove] {
    if (File->count() + Remove->count() == 0)
      throw CLI::RequiredError("a file or --remove");
  });
}

void addCommands(CLI::App &App, Options &Selected) {
  addCommand(App, "check", "Check catalogue files", Selected, false)
      ->add_option("files", Selected.m_Files, "Catalogue files")
      ->required();
  addPublishCommand(App, Selected);
  addCommand(App, "show", "Print the catalogue", Selected, true)
      ->add_option("name", Selected.m_Name, "Print only this entry");
  CLI::App *Wait =
      addCommand(App, "wait", "Wait until a change is in force in every zone",
                 Selected, true);
  Wait->add_option("change", Selected.m_Change, "Id or offset of the change")
      ->required();
  Wait->add_option("--timeout", Selected.m_TimeoutMs, "Milliseconds");
  addCommand(App, "status", "Print a table", Selected, true)
      ->add_option("table", Selected.m_Table, "Table")
      ->check(CLI::IsMember({"hosts", "endpoints", "models", "slots"}));
  App.add_subcommand("settings-reference",
                     "Print the settings of all programs as Markdown");
}

ExitCode dispatch(const std::string &Command, Options &Selected) {
  if (Command == "settings-reference") {
    printSettingsReference(std::cout);
    return ExitCode::Success;
  }
  if (Command == "check")
    return runCheck(Selected);
  RelaySession Relays(Selected.m_Relays, CallTimeout);
  if (Command == "publish")
    return runPublish(Selected, Relays);
  if (Command == "show")
    return show(Relays, Selected.m_Name, std::cout);
  if (Command == "wait")
    return waitInForce(Relays, Selected.m_Change,
                       milliseconds(Selected.m_TimeoutMs), std::cout);
  return status(Relays, Selected.m_Table, std::cout);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Publishes and inspects the catalogue", "sffctl"};
  App.set_version_flag("--version", SFF_VERSION);
  App.require_subcommand(1);
  Options Selected;
  addCommands(App, Selected);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? toExitStatus(ExitCode::Success)
                                : toExitStatus(ExitCode::BadInput);
  }
  return toExitStatus(
      dispatch(App.get_subcommands().front()->get_name(), Selected));
}
