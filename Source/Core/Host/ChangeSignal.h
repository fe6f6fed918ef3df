#pragma once

#include "Common/Time/Instant.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace sff::host {

/// Wakes coroutines that wait for a change of the host's state.
/// Thread safety: use from the executor only.
class ChangeSignal {
public:
  explicit ChangeSignal(boost::asio::any_io_executor Executor)
      : m_Executor(std::move(Executor)) {}

  /// Returns at the next notify(), or after \p Limit.
  boost::asio::awaitable<void> wait(Duration Limit);
  void notify();

private:
  boost::asio::any_io_executor m_Executor;
  std::list<boost::asio::steady_timer *> m_Waiting;
};

/// Returns after \p Time.
boost::asio::awaitable<void> sleepFor(Duration Time);

} // namespace sff::host
