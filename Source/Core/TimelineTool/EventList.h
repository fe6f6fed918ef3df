#pragma once

#include "Common/Timeline/EventRecorder.h"

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace sff::timelinetool {

using timeline::Event;

/// Which events to show. Empty texts match everything.
struct Filter {
  std::string m_Request;
  std::string m_Entry;
  std::string m_Category;
  std::optional<std::int64_t> m_SinceMicros; ///< Since 1970, included.
  std::optional<std::int64_t> m_UntilMicros; ///< Since 1970, included.
};

bool matches(const Filter &Wanted, const Event &Item);

/// Reads JSON lines and appends the events. Returns the number of lines that
/// are no event, for example text that a library wrote.
std::size_t readLines(std::istream &Input, std::vector<Event> &Out);

/// Orders events by hybrid time and drops copies that came from a file and
/// from the live process, and those that do not match.
std::vector<Event> mergeEvents(std::vector<Event> Events, const Filter &Wanted);

/// Parses microseconds since 1970, or UTC time such as 2026-12-03T21:14:35 with
/// an optional fraction. Returns nothing for other text.
std::optional<std::int64_t> parseTime(const std::string &Text);

/// UTC time with microseconds.
std::string formatTime(std::int64_t Micros);

/// Name of the process that an event belongs to: program and host.
std::string laneOf(const Event &Item);

} // namespace sff::timelinetool
