#include "Core/Messages/CommonMessages.h"
#include "Ctl/RelaySession.h"
#include "Net/Http/Message.h"
#include "TimelineTool/Views.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace sff;
using namespace sff::timelinetool;

constexpr milliseconds CallTimeout{5000};
constexpr std::int64_t EventsPerFetch = 1000;
constexpr int Failure = 1;
constexpr int BadInput = 2;

struct Options {
  std::vector<std::string> m_Files;
  std::vector<std::string> m_Processes;
  std::string m_Since;
  std::string m_Until;
  std::string m_HtmlPath;
  Filter m_Filter;
};

bool readFiles(const Options &Chosen, std::vector<Event> &Events) {
  for (const std::string &Path : Chosen.m_Files) {
    std::ifstream File(Path);
    if (!File) {
      std::cerr << Path << ": cannot be read\n";
      return false;
    }
    if (const std::size_t Others = readLines(File, Events); Others > 0)
      std::cerr << Path << ": " << Others << " lines are no events\n";
  }
  return true;
}

/// Pages through the events of one process. Returns false when it does not
/// answer.
bool fetchFrom(ctl::RelaySession &Session, const std::string &Address,
               std::vector<Event> &Events) {
  timeline::HybridTime After;
  for (;;) {
    auto Reply =
        Session.callAt(Address, messages::FetchEvents{After, EventsPerFetch});
    if (!Reply)
      return false;
    Events.insert(Events.end(), Reply->m_Events.begin(), Reply->m_Events.end());
    if (std::ssize(Reply->m_Events) < EventsPerFetch)
      return true;
    After = Reply->m_Events.back().m_Time;
  }
}

/// Returns false when a process did not answer; the others are still shown.
bool fetchLive(const Options &Chosen, std::vector<Event> &Events) {
  if (Chosen.m_Processes.empty())
    return true;
  ctl::RelaySession Session(Chosen.m_Processes, CallTimeout);
  bool Complete = true;
  for (const std::string &Address : Chosen.m_Processes)
    if (!fetchFrom(Session, Address, Events)) {
      std::cerr << Address << ": no answer\n";
      Complete = false;
    }
  return Complete;
}

int show(const Options &Chosen) {
  std::vector<Event> Events;
  if (!readFiles(Chosen, Events))
    return BadInput;
  const bool Complete = fetchLive(Chosen, Events);
  Events = mergeEvents(std::move(Events), Chosen.m_Filter);
  if (Chosen.m_HtmlPath.empty()) {
    printText(Events, std::cout);
  } else {
    std::ofstream Page(Chosen.m_HtmlPath);
    printHtml(Events, Page);
    if (!Page.flush()) {
      std::cerr << Chosen.m_HtmlPath << ": cannot be written\n";
      return Failure;
    }
  }
  return Complete ? 0 : Failure;
}

std::string checkTime(const std::string &Text) {
  return parseTime(Text) ? ""
                         : "neither microseconds nor a UTC time such as "
                           "2026-12-03T21:14:35: " +
                               Text;
}

std::string checkAddress(const std::string &Text) {
  return http::Address::parse(Text) ? "" : "not a numeric address: " + Text;
}

void addOptions(CLI::App &App, Options &Chosen) {
  App.add_option("files", Chosen.m_Files, "Log files of JSON lines");
  App.add_option("--from", Chosen.m_Processes,
                 "Peer address of a live process, repeatable")
      ->check(checkAddress);
  App.add_option("--request", Chosen.m_Filter.m_Request, "Only this request");
  App.add_option("--entry", Chosen.m_Filter.m_Entry, "Only this entry");
  App.add_option("--category", Chosen.m_Filter.m_Category,
                 "Only this category");
  App.add_option("--since", Chosen.m_Since, "First time, UTC")
      ->check(checkTime);
  App.add_option("--until", Chosen.m_Until, "Last time, UTC")->check(checkTime);
  App.add_option("--html", Chosen.m_HtmlPath, "Write a page to this file");
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Shows the events of several processes in one order",
               "sff-timeline"};
  App.set_version_flag("--version", SFF_VERSION);
  Options Chosen;
  addOptions(App, Chosen);
  try {
    App.parse(Count, Arguments);
    if (Chosen.m_Files.empty() && Chosen.m_Processes.empty())
      throw CLI::RequiredError("a file or --from");
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : BadInput;
  }
  Chosen.m_Filter.m_SinceMicros = parseTime(Chosen.m_Since);
  Chosen.m_Filter.m_UntilMicros = parseTime(Chosen.m_Until);
  return show(Chosen);
}
