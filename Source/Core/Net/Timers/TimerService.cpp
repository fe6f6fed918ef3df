#include "Net/Timers/TimerService.h"

#include <boost/asio/steady_timer.hpp>

namespace sff::timers {

namespace {

/// State of one timer. Pending waits hold only a weak pointer, so that
/// destroying the subscription cancels the timer.
class Timer : public std::enable_shared_from_this<Timer> {
public:
  Timer(const boost::asio::any_io_executor &Executor, milliseconds Period,
        bool Repeat, std::function<void()> Callback)
      : m_Timer(Executor), m_Period(Period), m_Repeat(Repeat),
        m_Callback(std::move(Callback)) {}

  void arm() {
    m_Timer.expires_after(m_Period);
    m_Timer.async_wait(
        [Weak = weak_from_this()](const boost::system::error_code &Error) {
          auto Self = Weak.lock();
          if (!Error && Self)
            Self->fire();
        });
  }

private:
  void fire() {
    m_Callback();
    if (m_Repeat)
      arm();
  }

  boost::asio::steady_timer m_Timer;
  milliseconds m_Period;
  bool m_Repeat;
  std::function<void()> m_Callback;
};

TimerHandle startTimer(const boost::asio::any_io_executor &Executor,
                       milliseconds Period, bool Repeat,
                       std::function<void()> Callback) {
  auto NewTimer =
      std::make_shared<Timer>(Executor, Period, Repeat, std::move(Callback));
  NewTimer->arm();
  return NewTimer;
}

} // namespace

TimerHandle TimerService::every(milliseconds Period,
                                std::function<void()> Callback) {
  return startTimer(m_Executor, Period, true, std::move(Callback));
}

TimerHandle TimerService::after(milliseconds Delay,
                                std::function<void()> Callback) {
  return startTimer(m_Executor, Delay, false, std::move(Callback));
}

} // namespace sff::timers
