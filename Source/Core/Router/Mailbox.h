#pragma once

#include "Net/Timers/DutyLoop.h"

#include "Common/Time/Instant.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace sff::router {

/// Hands values to a coroutine that runs on a duty loop.
template <typename T>
class Mailbox : public std::enable_shared_from_this<Mailbox<T>> {
public:
  /// Precondition: \p Reader outlives the mailbox.
  explicit Mailbox(timers::DutyLoop &Reader)
      : m_Reader(Reader), m_Timer(Reader.context()) {}

  /// Adds a value and wakes the reader. Thread safety: any thread.
  void put(T Value) {
    {
      std::lock_guard Lock(m_Mutex);
      m_Items.push_back(std::move(Value));
    }
    m_Reader.tryPost(
        [Self = this->shared_from_this()] { Self->m_Timer.cancel(); });
  }

  /// Waits for the next value, at most \p Limit. Thread safety: one coroutine
  /// of the reader's loop at a time.
  boost::asio::awaitable<std::optional<T>> wait(milliseconds Limit) {
    auto Self = this->shared_from_this();
    const Instant End = std::chrono::steady_clock::now() + Limit;
    while (true) {
      if (auto Next = tryTake())
        co_return Next;
      const Duration Left = End - std::chrono::steady_clock::now();
      if (Left <= Duration::zero())
        co_return std::nullopt;
      boost::system::error_code Ignored;
      m_Timer.expires_after(std::min<Duration>(Left, MaxSleep));
      co_await m_Timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
    }
  }

  std::size_t size() const {
    std::lock_guard Lock(m_Mutex);
    return m_Items.size();
  }

private:
  // A wake-up is lost when the reader's ring is full, so the reader looks by
  // itself as well.
  static constexpr milliseconds MaxSleep{50};

  std::optional<T> tryTake() {
    std::lock_guard Lock(m_Mutex);
    if (m_Items.empty())
      return std::nullopt;
    std::optional<T> Next(std::move(m_Items.front()));
    m_Items.pop_front();
    return Next;
  }

  timers::DutyLoop &m_Reader;
  boost::asio::steady_timer m_Timer;
  mutable std::mutex m_Mutex;
  std::deque<T> m_Items;
};

} // namespace sff::router
