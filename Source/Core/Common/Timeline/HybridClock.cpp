#include "Common/Timeline/HybridClock.h"

#include <algorithm>
#include <chrono>

namespace sff::timeline {

namespace {

std::int64_t readWallClockMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

HybridTime HybridClock::tick() {
  const std::int64_t Now = readWallClockMicros();
  std::lock_guard Lock(m_Mutex);
  if (Now > m_Last.m_WallMicros)
    m_Last = {Now, 0};
  else
    ++m_Last.m_Counter;
  return m_Last;
}

void HybridClock::observe(const HybridTime &Received) {
  std::lock_guard Lock(m_Mutex);
  m_Last = std::max(m_Last, Received);
}

} // namespace sff::timeline
