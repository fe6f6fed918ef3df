#include "Host/ChangeSignal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sff::host {

namespace asio = boost::asio;

asio::awaitable<void> ChangeSignal::wait(Duration Limit) {
  asio::steady_timer Timer(m_Executor, Limit);
  const auto Place = m_Waiting.insert(m_Waiting.end(), &Timer);
  // Also runs when the coroutine is destroyed while it waits.
  const std::shared_ptr<void> Remove(
      nullptr, [this, Place](void *) { m_Waiting.erase(Place); });
  boost::system::error_code Cancelled;
  co_await Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Cancelled));
}

void ChangeSignal::notify() {
  for (asio::steady_timer *Timer : m_Waiting)
    Timer->cancel();
}

asio::awaitable<void> sleepFor(Duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  boost::system::error_code Cancelled;
  co_await Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Cancelled));
}

} // namespace sff::host
