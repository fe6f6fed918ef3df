#pragma once

#include "Net/Timers/AsyncCondition.h"

namespace sff::standin {

using timers::AsyncCondition;
using timers::sleepFor;

/// Limits the rate at which operations start.
/// Thread safety: use from one thread.
class RateLimiter {
public:
  /// \p PerSecond of 0 disables the limit.
  explicit RateLimiter(double PerSecond) : m_PerSecond(PerSecond) {}

  /// Reserves the next start time and returns the delay until it.
  Duration reserve(Instant Now);

  /// Starts an operation if the rate permits one now. Unused capacity of the
  /// last second is available as a burst.
  bool tryAcquire(Instant Now);

private:
  Duration interval() const;

  double m_PerSecond;
  Instant m_Next;
};

} // namespace sff::standin
