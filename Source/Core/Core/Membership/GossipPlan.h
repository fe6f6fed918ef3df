#pragma once

#include "Common/Time/Instant.h"

#include <cstdint>

namespace sff::membership {

/// Gossip parameters of a relay, derived from the number of hosts.
struct GossipPlan {
  std::size_t m_EntriesPerMessage = 0; ///< Heartbeats in one message.
  /// Interval between two exchanges that a relay starts.
  milliseconds m_Period{0};
  /// Interval at which a relay raises the sequence of its own heartbeat.
  milliseconds m_RefreshInterval{0};
  /// Hosts whose heartbeat is older than this count as gone.
  milliseconds m_MaxLiveAge{0};
  /// Pause between two reads of the log, so that a busy log does not wake every
  /// host for each record.
  milliseconds m_LogPollPause{0};
};

struct GossipLimits {
  /// Gossip traffic of one host, both directions together.
  std::int64_t m_BytesPerSecond = 3000;
  std::size_t m_MaxEntries = 16; ///< Heartbeats in one message.
  milliseconds m_MinPeriod{500};
};

/// Returns the plan that keeps within the limits when every host starts one
/// exchange per period and on average answers one.
GossipPlan planGossip(std::size_t Hosts, const GossipLimits &Limits);

} // namespace sff::membership
