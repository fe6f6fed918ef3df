#include "StandIns/Support/RateLimiter.h"

#include <algorithm>

namespace sff::standin {

Duration RateLimiter::interval() const {
  return fromSeconds(1.0 / m_PerSecond);
}

Duration RateLimiter::reserve(Instant Now) {
  if (m_PerSecond <= 0)
    return Duration::zero();
  const Instant Start = std::max(Now, m_Next);
  m_Next = Start + interval();
  return Start - Now;
}

bool RateLimiter::tryAcquire(Instant Now) {
  if (m_PerSecond <= 0)
    return true;
  const Instant Start = std::max(Now - std::chrono::seconds(1), m_Next);
  if (Start + interval() > Now)
    return false;
  m_Next = Start + interval();
  return true;
}

} // namespace sff::standin
