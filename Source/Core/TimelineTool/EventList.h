#pragma once

#include "Common/Timeline/EventRecorder.h"

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace sff::timelinetool {

using timeline::Event;

/// Criteria that an event has to meet. Empty strings match everything.
struct Filter {
  std::string m_Request;
  std::string m_Entry;
  std::string m_Category;
  /// Earliest time, inclusive, in microseconds since 1970.
  std::optional<std::int64_t> m_SinceMicros;
  /// Latest time, inclusive, in microseconds since 1970.
  std::optional<std::int64_t> m_UntilMicros;
};

bool matches(const Filter &Criteria, const Event &Item);

/// Parses JSON lines and appends the events to \p Out. Returns the number of
/// lines that are not events, for example output of a library.
std::size_t readEvents(std::istream &Input, std::vector<Event> &Out);

/// Sorts events by hybrid time. Drops events that do not match, and duplicates
/// that were read both from a file and from the live process.
std::vector<Event> mergeEvents(std::vector<Event> Events,
                               const Filter &Criteria);

/// Parses microseconds since 1970, or a UTC time such as 2026-12-03T21:14:35
/// with an optional fraction. Returns nothing for other text.
std::optional<std::int64_t> parseTime(const std::string &Text);

/// Formats microseconds since 1970 as UTC time with microseconds.
std::string formatTime(std::int64_t Micros);

/// Name of the process that recorded an event: program and host.
std::string processName(const Event &Item);

} // namespace sff::timelinetool
