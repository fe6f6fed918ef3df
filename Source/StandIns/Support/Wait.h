#pragma once

#include "Common/Time/Instant.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace sff::standin {

/// Suspends the calling coroutine for \p Delay.
boost::asio::awaitable<void> sleepFor(Duration Delay);

/// Wakes coroutines that wait for a change.
/// Thread safety: use from one thread.
class Signal {
public:
  /// Waits until notifyAll() is called, at most \p Limit.
  boost::asio::awaitable<void> wait(Duration Limit);
  void notifyAll();

private:
  struct Waiter;
  std::vector<std::weak_ptr<Waiter>> m_Waiters;
};

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
