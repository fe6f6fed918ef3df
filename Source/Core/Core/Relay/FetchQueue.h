#pragma once

#include "Common/Time/Instant.h"
#include "Core/Messages/RelayMessages.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <vector>

namespace sff::relay {

/// Queue of fetch requests that wait for records of one stream.
/// Thread safety: none.
class FetchQueue {
public:
  using Send = std::function<void(messages::FetchRecordsReply)>;

  struct PendingFetch {
    messages::FetchRecords m_Request;
    Instant m_Deadline;
    Send m_Send;
  };

  explicit FetchQueue(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Returns false when the queue is full. The caller then has to answer the
  /// request at once.
  bool add(PendingFetch Item) {
    if (m_Items.size() >= m_Capacity)
      return false;
    m_Items.push_back(std::move(Item));
    return true;
  }

  /// Removes and returns the requests for which \p IsReady returns true.
  template <typename Predicate>
  std::vector<PendingFetch> takeIf(Predicate IsReady) {
    const auto Ready = std::stable_partition(
        m_Items.begin(), m_Items.end(),
        [&](const PendingFetch &Item) { return !IsReady(Item); });
    std::vector<PendingFetch> Taken(std::make_move_iterator(Ready),
                                    std::make_move_iterator(m_Items.end()));
    m_Items.erase(Ready, m_Items.end());
    return Taken;
  }

  /// Removes and returns the requests whose deadline has passed.
  std::vector<PendingFetch> takeExpired(Instant Now) {
    return takeIf(
        [&](const PendingFetch &Item) { return Item.m_Deadline <= Now; });
  }

  std::size_t size() const { return m_Items.size(); }

private:
  std::size_t m_Capacity;
  std::vector<PendingFetch> m_Items;
};

} // namespace sff::relay
