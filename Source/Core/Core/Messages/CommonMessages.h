#pragma once

#include "Common/Timeline/EventRecorder.h"

namespace sff::messages {

struct FetchEventsReply {
  std::vector<timeline::Event> m_Events;
  static constexpr auto describe() {
    return std::make_tuple(codec::field("events", &FetchEventsReply::m_Events));
  }
};

/// Requests the recorded events of a process. Every program answers this
/// message on its peer address.
struct FetchEvents {
  using Reply = FetchEventsReply;
  static constexpr const char *Name = "fetch_events";

  timeline::HybridTime m_After;
  std::int64_t m_Limit = 1000;

  static constexpr auto describe() {
    return std::make_tuple(codec::field("after", &FetchEvents::m_After),
                           codec::field("limit", &FetchEvents::m_Limit));
  }
};

} // namespace sff::messages
