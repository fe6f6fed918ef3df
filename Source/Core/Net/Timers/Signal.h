#pragma once

#include "Common/Time/Instant.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace sff::timers {

/// Suspends the calling coroutine for \p Delay; returns at once when it is not
/// positive.
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

} // namespace sff::timers
