#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace sff::concurrency {

/// Bounded FIFO queue that passes items between threads.
///
/// A full queue rejects new items, so that the producer detects overload and
/// memory use stays bounded.
///
/// Thread safety: all methods may be called from any thread, with any number
/// of producers and consumers.
template <typename T> class BoundedQueue {
public:
  /// Precondition: \p Capacity is at least 1.
  explicit BoundedQueue(std::size_t Capacity) : m_Items(Capacity) {}

  BoundedQueue(const BoundedQueue &) = delete;
  BoundedQueue &operator=(const BoundedQueue &) = delete;

  /// Appends \p Item. Returns false and does not move from \p Item when the
  /// queue is full or closed.
  bool tryPush(T &&Item) {
    {
      std::lock_guard Lock(m_Mutex);
      if (m_Closed || m_Items.full())
        return false;
      m_Items.push_back(std::move(Item));
    }
    m_NotEmpty.notify_one();
    return true;
  }

  /// Removes and returns the oldest item, or returns nullopt when the queue is
  /// empty.
  std::optional<T> tryPop() {
    std::lock_guard Lock(m_Mutex);
    return popLocked();
  }

  /// Waits up to \p Timeout for an item. Returns nullopt on timeout, or when
  /// the queue is closed and empty.
  std::optional<T> popFor(std::chrono::milliseconds Timeout) {
    std::unique_lock Lock(m_Mutex);
    m_NotEmpty.wait_for(Lock, Timeout,
                        [this] { return m_Closed || !m_Items.empty(); });
    return popLocked();
  }

  /// Rejects all further items and wakes waiting consumers. Items that are
  /// already queued can still be popped.
  void close() {
    {
      std::lock_guard Lock(m_Mutex);
      m_Closed = true;
    }
    m_NotEmpty.notify_all();
  }

  bool isClosed() const {
    std::lock_guard Lock(m_Mutex);
    return m_Closed;
  }

  std::size_t size() const {
    std::lock_guard Lock(m_Mutex);
    return m_Items.size();
  }

private:
  std::optional<T> popLocked() {
    if (m_Items.empty())
      return std::nullopt;
    std::optional<T> Item(std::move(m_Items.front()));
    m_Items.pop_front();
    return Item;
  }

  mutable std::mutex m_Mutex;
  std::condition_variable m_NotEmpty;
  boost::circular_buffer<T> m_Items;
  bool m_Closed = false;
};

} // namespace sff::concurrency
