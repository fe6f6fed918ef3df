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
constexpr int FailureExitCode = 1;
constexpr int BadInputExitCode = 2;

struct Options {
  std::vector<std::string> m_Files;
  std::vector<std::string> m_Addresses;
  std::string m_Since;
  std::string m_Until;
  std::string m_HtmlPath;
  Filter m_Filter;
};

bool readFiles(const Options &Selected, std::vector<Event> &Events) {
  for (const std::string &Path : Selected.m_Files) {
    std::ifstream File(Path);
    if (!File) {
      std::cerr << Path << ": cannot open file\n";
      return false;
    }
    if (const std::size_t SkippedLines = readEvents(File, Events);
        SkippedLines > 0)
      std::cerr << Path << ": " << SkippedLines << " lines are not events\n";
  }
  return true;
}

/// Fetches all events of one process, page by page. Returns false when it does
/// not answer.
bool fetchFrom(ctl::RelaySession &Session, const std::string &Address,
               std::vector<Event> &Events) {
  timeline::HybridTime After;
  for (;;) {
    auto Reply = Session.callAddress(
        Address, messages::FetchEvents{After, EventsPerFetch});
    if (!Reply)
      return false;
    Events.insert(Events.end(), Reply->m_Events.begin(), Reply->m_Events.end());
    if (std::ssize(Reply->m_Events) < EventsPerFetch)
      return true;
    After = Reply->m_Events.back().m_Time;
  }
}

/// Fetches the events of live processes. Returns false when one did not answer;
/// the events of the others are still added.
bool fetchLive(const Options &Selected, std::vector<Event> &Events) {
  if (Selected.m_Addresses.empty())
    return true;
  ctl::RelaySession Session(Selected.m_Addresses, CallTimeout);
  bool AllAnswered = true;
  for (const std::string &Address : Selected.m_Addresses)
    if (!fetchFrom(Session, Address, Events)) {
      std::cerr << Address << ": no answer\n";
      AllAnswered = false;
    }
  return AllAnswered;
}

int show(const Options &Selected) {
  std::vector<Event> Events;
  if (!readFiles(Selected, Events))
    return BadInputExitCode;
  const bool AllAnswered = fetchLive(Selected, Events);
  Events = mergeEvents(std::move(Events), Selected.m_Filter);
  if (Selected.m_HtmlPath.empty()) {
    printText(Events, std::cout);
  } else {
    std::ofstream Page(Selected.m_HtmlPath);
    printHtml(Events, Page);
    if (!Page.flush()) {
      std::cerr << Selected.m_HtmlPath << ": cannot write file\n";
      return FailureExitCode;
    }
  }
  return AllAnswered ? 0 : FailureExitCode;
}

std::string checkTime(const std::string &Text) {
  return parseTime(Text) ? ""
                         : "expected microseconds or a UTC time such as "
                           "2026-12-03T21:14:35, got: " +
                               Text;
}

std::string checkAddress(const std::string &Text) {
  return http::Address::parse(Text)
             ? ""
             : "expected a numeric address, got: " + Text;
}

void addOptions(CLI::App &App, Options &Selected) {
  App.add_option("files", Selected.m_Files, "Log files with JSON lines");
  App.add_option("--from", Selected.m_Addresses,
                 "Peer address of a live process, repeatable")
      ->check(checkAddress);
  App.add_option("--request", Selected.m_Filter.m_Request,
                 "Show only this request");
  App.add_option("--entry", Selected.m_Filter.m_Entry, "Show only this entry");
  App.add_option("--category", Selected.m_Filter.m_Category,
                 "Show only this category");
  App.add_option("--since", Selected.m_Since, "Earliest time, UTC")
      ->check(checkTime);
  App.add_option("--until", Selected.m_Until, "Latest time, UTC")
      ->check(checkTime);
  App.add_option("--html", Selected.m_HtmlPath,
                 "Write an HTML page to this file");
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Shows the events of several processes in order of time",
               "sff-timeline"};
  App.set_version_flag("--version", SFF_VERSION);
  Options Selected;
  addOptions(App, Selected);
  try {
    App.parse(Count, Arguments);
    if (Selected.m_Files.empty() && Selected.m_Addresses.empty())
      throw CLI::RequiredError("a file or --from");
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : BadInputExitCode;
  }
  Selected.m_Filter.m_SinceMicros = parseTime(Selected.m_Since);
  Selected.m_Filter.m_UntilMicros = parseTime(Selected.m_Until);
  return show(Selected);
}
