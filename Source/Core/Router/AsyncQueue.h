#pragma once

#include "Net/Timers/EventLoop.h"

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

/// Unbounded queue that a coroutine on an event loop consumes and any thread
/// can fill.
template <typename T>
class AsyncQueue : public std::enable_shared_from_this<AsyncQueue<T>> {
public:
  /// Precondition: \p Reader outlives the queue.
  explicit AsyncQueue(timers::EventLoop &Reader)
      : m_Reader(Reader), m_Timer(Reader.context()) {}

  /// Appends a value and wakes the reader. Thread safety: any thread.
  void push(T Value) {
    {
      std::lock_guard Lock(m_Mutex);
      m_Items.push_back(std::move(Value));
    }
    m_Reader.tryPost(
        [Self = this->shared_from_this()] { Self->m_Timer.cancel(); });
  }

  /// Returns the next value, or nothing after \p Limit. Thread safety: one
  /// coroutine of the reader's loop at a time.
  boost::asio::awaitable<std::optional<T>> wait(milliseconds Limit) {
    auto Self = this->shared_from_this();
    const Instant End = std::chrono::steady_clock::now() + Limit;
    while (true) {
      if (auto Next = tryPop())
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
  // The wake-up is lost when the loop's task queue is full, so the reader also
  // polls at this interval.
  static constexpr milliseconds MaxSleep{50};

  std::optional<T> tryPop() {
    std::lock_guard Lock(m_Mutex);
    if (m_Items.empty())
      return std::nullopt;
    std::optional<T> Next(std::move(m_Items.front()));
    m_Items.pop_front();
    return Next;
  }

  timers::EventLoop &m_Reader;
  boost::asio::steady_timer m_Timer;
  mutable std::mutex m_Mutex;
  std::deque<T> m_Items;
};

} // namespace sff::router
