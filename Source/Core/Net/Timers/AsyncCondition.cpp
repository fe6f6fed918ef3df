#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sff::timers {

namespace asio = boost::asio;

struct AsyncCondition::Waiter {
  explicit Waiter(const asio::any_io_executor &Executor) : m_Timer(Executor) {}
  asio::steady_timer m_Timer;
};

asio::awaitable<void> sleepFor(Duration Delay) {
  if (Delay <= Duration::zero())
    co_return;
  const auto Executor = co_await asio::this_coro::executor;
  asio::steady_timer Timer(Executor, Delay);
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> AsyncCondition::wait(Duration Timeout) {
  const auto Executor = co_await asio::this_coro::executor;
  auto NewWaiter = std::make_shared<Waiter>(Executor);
  NewWaiter->m_Timer.expires_after(Timeout);
  std::erase_if(m_Waiters, [](const auto &Weak) { return Weak.expired(); });
  m_Waiters.push_back(NewWaiter);
  boost::system::error_code Ignored;
  co_await NewWaiter->m_Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
}

void AsyncCondition::notifyAll() {
  const auto Waiters = std::move(m_Waiters);
  m_Waiters.clear();
  for (const auto &Weak : Waiters)
    if (const auto LockedWaiter = Weak.lock())
      LockedWaiter->m_Timer.cancel();
}

} // namespace sff::timers
