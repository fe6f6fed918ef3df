#include "Common/Timeline/EventRecorder.h"

namespace sff::timeline {

void EventRecorder::record(Event Item) {
  std::lock_guard Lock(m_Mutex);
  m_Events.push_back(std::move(Item));
}

std::vector<Event> EventRecorder::eventsAfter(const HybridTime &After,
                                              std::size_t Limit) const {
  std::vector<Event> Result;
  std::lock_guard Lock(m_Mutex);
  for (const Event &Item : m_Events) {
    if (Result.size() == Limit)
      break;
    if (Item.m_Time > After)
      Result.push_back(Item);
  }
  return Result;
}

} // namespace sff::timeline
