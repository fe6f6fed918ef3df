#pragma once

#include "Common/Time/Instant.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>

namespace sff::standin {

/// LRU cache of prompt blocks and the events about its changes. Events have
/// consecutive sequence numbers, are published after a delay, and every n-th
/// one is dropped.
/// Thread safety: use from one thread.
class PrefixCache {
public:
  PrefixCache(std::int64_t Blocks, milliseconds EventDelay,
              std::int64_t DropEveryNth)
      : m_Limit(static_cast<std::size_t>(Blocks)), m_EventDelay(EventDelay),
        m_DropEveryNth(DropEveryNth) {}

  /// Caches the blocks of a prompt. Returns the length in blocks of the prefix
  /// that was already cached.
  std::size_t insert(std::span<const std::uint64_t> Blocks, Instant Now);

  /// The published `events` starting at sequence number \p From, and `next`,
  /// the sequence number to continue from.
  nlohmann::json events(std::uint64_t From, Instant Now) const;

private:
  struct Event {
    std::uint64_t m_Sequence;
    std::uint64_t m_Block;
    bool m_Stored;
    Instant m_PublishedFrom;
  };

  void touch(std::uint64_t Block, Instant Now);
  void publish(std::uint64_t Block, bool Stored, Instant Now);

  std::size_t m_Limit;
  milliseconds m_EventDelay;
  std::int64_t m_DropEveryNth;
  std::list<std::uint64_t> m_LruOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_LruPositions;
  std::deque<Event> m_Events;
  std::uint64_t m_LastSequence = 0;
};

} // namespace sff::standin
