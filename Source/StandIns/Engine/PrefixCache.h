#pragma once

#include "Common/Time/Instant.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>

namespace sff::standin {

/// Cached prompt blocks and the events about them. Events carry consecutive
/// sequence numbers, are published late, and each n-th is never published.
/// Thread safety: use from one thread.
class PrefixCache {
public:
  PrefixCache(std::int64_t Blocks, milliseconds EventDelay,
              std::int64_t DropEachNth)
      : m_Limit(static_cast<std::size_t>(Blocks)), m_EventDelay(EventDelay),
        m_DropEachNth(DropEachNth) {}

  /// Stores the blocks of a prompt and returns how many of them, counted from
  /// the first, were cached before.
  std::size_t use(std::span<const std::uint64_t> Blocks, Instant Now);

  /// `next` and the published `events` from sequence number \p From on.
  nlohmann::json events(std::uint64_t From, Instant Now) const;

private:
  struct Event {
    std::uint64_t m_Sequence;
    std::uint64_t m_Block;
    bool m_Stored;
    Instant m_At;
  };

  void touch(std::uint64_t Block, Instant Now);
  void publish(std::uint64_t Block, bool Stored, Instant Now);

  std::size_t m_Limit;
  milliseconds m_EventDelay;
  std::int64_t m_DropEachNth;
  std::list<std::uint64_t> m_Recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Places;
  std::deque<Event> m_Events;
  std::uint64_t m_LastSequence = 0;
};

} // namespace sff::standin
