#pragma once

#include "Common/Time/Instant.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace sff::timers {

/// Suspends the calling coroutine for \p Delay. Returns immediately if \p Delay
/// is not positive.
boost::asio::awaitable<void> sleepFor(Duration Delay);

/// Condition variable for coroutines.
/// Thread safety: use from one thread.
class AsyncCondition {
public:
  /// Suspends the calling coroutine until notifyAll() is called or \p Timeout
  /// expires.
  boost::asio::awaitable<void> wait(Duration Timeout);
  /// Resumes all waiting coroutines.
  void notifyAll();

private:
  struct Waiter;
  std::vector<std::weak_ptr<Waiter>> m_Waiters;
};

} // namespace sff::timers
