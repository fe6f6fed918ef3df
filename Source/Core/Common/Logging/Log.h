#pragma once

#include "Common/Timeline/EventRecorder.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace sff::log {

enum class Level { Debug, Info, Warning, Error };

/// Part of the system that a line belongs to.
enum class Category {
  Process,
  Http,
  Peer,
  Platform,
  Catalogue,
  Ownership,
  Slots,
  Loading,
  Memory,
  Admission,
  Routing,
  Execution,
  Membership,
};

std::string_view toString(Category Value);

/// Identity that every line of this process carries.
struct ProcessIdentity {
  std::string m_Program;
  std::string m_Host;
  std::string m_Zone;
  std::string m_Incarnation;
};

/// One line to write. Request and entry may be empty.
struct Line {
  Level m_Level = Level::Info;
  Category m_Category = Category::Process;
  std::string_view m_Event;
  std::string_view m_Request = {};
  std::string_view m_Entry = {};
  nlohmann::json m_Fields = nlohmann::json::object();
};

/// Events that a process keeps in memory for the time line.
constexpr std::size_t DefaultRecordedEvents = 20000;

/// Starts glog with a sink that writes JSON lines to standard output, on a
/// thread of its own, and with an in-memory recorder for the time line. Lines
/// beyond what the output takes are dropped and counted.
/// Precondition: called once, before other threads write.
void initialize(const ProcessIdentity &Identity, Level MinimumLevel,
                std::size_t RecordedEvents = DefaultRecordedEvents);

/// Writes the queued lines and stops logging. Runs by itself at a normal exit;
/// call it before any other end of the process. Thread safety: one thread.
void flush();

/// Writes one JSON line and records it as a time-line event.
/// Thread safety: any thread, after initialize(). Before that, lines are
/// dropped, so that library tests need no set-up.
void write(Line Item);

/// Clock and recorder of this process. Thread safety: any thread.
timeline::HybridClock &clock();
timeline::EventRecorder &recorder();

inline void info(Category Part, std::string_view Event,
                 nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Info, Part, Event, {}, {}, std::move(Fields)});
}
inline void warning(Category Part, std::string_view Event,
                    nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Warning, Part, Event, {}, {}, std::move(Fields)});
}
inline void error(Category Part, std::string_view Event,
                  nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Error, Part, Event, {}, {}, std::move(Fields)});
}
/// A decision about one request.
inline void request(Category Part, std::string_view Event,
                    std::string_view Request, std::string_view Entry,
                    nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Info, Part, Event, Request, Entry, std::move(Fields)});
}
/// A decision about one catalogue entry.
inline void entry(Category Part, std::string_view Event, std::string_view Entry,
                  nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Info, Part, Event, {}, Entry, std::move(Fields)});
}

} // namespace sff::log
