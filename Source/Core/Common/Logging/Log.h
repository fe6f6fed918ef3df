#pragma once

#include "Common/Timeline/EventRecorder.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace sff::log {

enum class Level { Debug, Info, Warning, Error };

/// Subsystem that a log line belongs to.
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

/// Process attributes that are added to every log line.
struct ProcessIdentity {
  std::string m_Program;
  std::string m_Host;
  std::string m_Zone;
  std::string m_Incarnation;
};

/// One log line. The request and the entry may be empty.
struct Line {
  Level m_Level = Level::Info;
  Category m_Category = Category::Process;
  std::string_view m_Event;
  std::string_view m_Request = {};
  std::string_view m_Entry = {};
  nlohmann::json m_Fields = nlohmann::json::object();
};

/// Default number of timeline events that a process keeps in memory.
constexpr std::size_t DefaultEventCapacity = 20000;

/// Initializes glog with a sink that writes JSON lines to standard output on a
/// dedicated thread, and with an in-memory recorder for timeline events. Lines
/// are dropped and counted when the output does not keep up.
/// Precondition: called once, before other threads log.
void initialize(const ProcessIdentity &Identity, Level MinimumLevel,
                std::size_t EventCapacity = DefaultEventCapacity);

/// Writes the queued lines and stops logging. Runs automatically on normal
/// process exit; call it explicitly before the process ends in any other way.
/// Thread safety: one thread.
void flush();

/// Writes one JSON line and records it as a timeline event. Cuts texts that are
/// very long: callers choose the names of requests and entries.
/// Thread safety: any thread, after initialize(). Earlier lines are dropped, so
/// that library tests need no logging setup.
void write(Line Item);

/// Hybrid clock and event recorder of this process. Thread safety: any thread.
timeline::HybridClock &clock();
timeline::EventRecorder &recorder();

inline void info(Category LogCategory, std::string_view Event,
                 nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Info, LogCategory, Event, {}, {}, std::move(Fields)});
}
inline void warning(Category LogCategory, std::string_view Event,
                    nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Warning, LogCategory, Event, {}, {}, std::move(Fields)});
}
inline void error(Category LogCategory, std::string_view Event,
                  nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Error, LogCategory, Event, {}, {}, std::move(Fields)});
}
/// Logs a decision about one request at level Info.
inline void request(Category LogCategory, std::string_view Event,
                    std::string_view Request, std::string_view Entry,
                    nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Info, LogCategory, Event, Request, Entry, std::move(Fields)});
}
/// Logs a decision about one catalogue entry at level Info.
inline void entry(Category LogCategory, std::string_view Event,
                  std::string_view Entry,
                  nlohmann::json Fields = nlohmann::json::object()) {
  write({Level::Info, LogCategory, Event, {}, Entry, std::move(Fields)});
}

} // namespace sff::log
