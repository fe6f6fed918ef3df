#pragma once

#include "StandIns/Support/RateLimiter.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <utility>

namespace sff::standin {

/// Models continuous batching as a limit on parallel requests. Requests above
/// the limit queue, interactive requests first, then in order of arrival.
/// Thread safety: use from one thread.
class BatchScheduler {
public:
  enum class Priority { Interactive, Batch };

  explicit BatchScheduler(std::int64_t Limit) : m_Limit(Limit) {}

  /// Waits until the request is admitted to the batch. Returns false if
  /// \p IsCancelled returns true before that.
  boost::asio::awaitable<bool> admit(Priority Class,
                                     std::function<bool()> IsCancelled);
  /// Precondition: admit() returned true for the request.
  void release();

  std::int64_t running() const { return m_Running; }
  std::int64_t queued() const {
    return static_cast<std::int64_t>(m_Waiting.size());
  }

private:
  using QueueKey = std::pair<Priority, std::uint64_t>;

  std::int64_t m_Limit;
  std::int64_t m_Running = 0;
  std::uint64_t m_LastArrival = 0;
  std::set<QueueKey> m_Waiting;
  AsyncCondition m_Changed;
};

} // namespace sff::standin
