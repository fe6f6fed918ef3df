#pragma once

#include "Common/Time/Instant.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace sff::timers {

/// Keeps a timer subscription alive; destroying it cancels the timer.
using TimerHandle = std::shared_ptr<void>;

/// Starts one-shot and periodic timers. Callbacks run on the executor.
/// Thread safety: all calls, and the destruction of subscriptions, from the
/// executor's thread.
class TimerService {
public:
  explicit TimerService(boost::asio::any_io_executor Executor)
      : m_Executor(std::move(Executor)) {}

  /// Calls \p Callback every \p Period, for the first time after one period.
  /// Precondition: \p Period is positive.
  [[nodiscard]] TimerHandle every(milliseconds Period,
                                  std::function<void()> Callback);

  /// Calls \p Callback once after \p Delay.
  [[nodiscard]] TimerHandle after(milliseconds Delay,
                                  std::function<void()> Callback);

private:
  boost::asio::any_io_executor m_Executor;
};

} // namespace sff::timers
