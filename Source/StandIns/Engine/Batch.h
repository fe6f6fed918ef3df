#pragma once

#include "StandIns/Support/Wait.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <utility>

namespace sff::standin {

/// Continuous batching as a limit of parallel requests. Above the limit,
/// interactive requests go first, then the order of arrival counts.
/// Thread safety: use from one thread.
class Batch {
public:
  enum class Priority { Interactive, Batch };

  explicit Batch(std::int64_t Limit) : m_Limit(Limit) {}

  /// Waits for a place. Returns false without one when \p GivenUp says so.
  boost::asio::awaitable<bool> enter(Priority Class,
                                     std::function<bool()> GivenUp);
  void leave();

  std::int64_t running() const { return m_Running; }
  std::int64_t queued() const {
    return static_cast<std::int64_t>(m_Waiting.size());
  }

private:
  using Ticket = std::pair<Priority, std::uint64_t>;

  std::int64_t m_Limit;
  std::int64_t m_Running = 0;
  std::uint64_t m_LastTicket = 0;
  std::set<Ticket> m_Waiting;
  Signal m_Changed;
};

} // namespace sff::standin
