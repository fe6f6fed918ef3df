#pragma once

#include "Net/Timers/Signal.h"

namespace sff::standin {

using timers::Signal;
using timers::sleepFor;

/// Limits how often something starts; starts that come too early queue.
/// Thread safety: use from one thread.
class RateLimit {
public:
  /// \p PerSecond of 0 means no limit.
  explicit RateLimit(double PerSecond) : m_PerSecond(PerSecond) {}

  /// Reserves the next start and returns how long to wait for it.
  Duration reserve(Instant Now);

  /// Takes a start if one is free now, with bursts of up to one second's
  /// worth.
  bool tryTake(Instant Now);

private:
  Duration interval() const;

  double m_PerSecond;
  Instant m_Next;
};

} // namespace sff::standin
