#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Timeline/HybridClock.h"

#include <boost/circular_buffer.hpp>

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sff::timeline {

/// One timeline event. The request and the entry are optional.
struct Event {
  HybridTime m_Time;
  std::string m_Host;
  std::string m_Zone;
  std::string m_Program;
  std::string m_Incarnation;
  std::string m_Category;
  std::string m_Name;    ///< Event name such as "request.dispatched".
  std::string m_Request; ///< Request id, or empty.
  std::string m_Entry;   ///< Catalogue entry, or empty.
  nlohmann::json m_Fields = nlohmann::json::object();

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(
        field("hlc", &Event::m_Time), field("host", &Event::m_Host),
        field("zone", &Event::m_Zone), field("program", &Event::m_Program),
        field("incarnation", &Event::m_Incarnation),
        field("category", &Event::m_Category), field("event", &Event::m_Name),
        field("request", &Event::m_Request), field("entry", &Event::m_Entry),
        field("fields", &Event::m_Fields));
  }
};

/// Keeps the most recent events of this process in memory, because hosts have
/// no disks. The timeline tool fetches them over the peer protocol.
/// Thread safety: all methods may be called from any thread.
class EventRecorder {
public:
  /// Keeps up to \p Capacity events, none if it is 0.
  explicit EventRecorder(std::size_t Capacity) : m_Events(Capacity) {}

  void record(Event Item);

  /// Returns at most \p Limit events that are later than \p After, oldest
  /// first.
  std::vector<Event> eventsAfter(const HybridTime &After,
                                 std::size_t Limit) const;

private:
  mutable std::mutex m_Mutex;
  boost::circular_buffer<Event> m_Events;
};

} // namespace sff::timeline
