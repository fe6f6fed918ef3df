#pragma once

#include "Common/Time/Instant.h"

#include <cstdint>

namespace sff::membership {

/// How often a relay gossips, derived from the number of hosts.
struct GossipPlan {
  std::size_t m_EntriesPerMessage = 0;
  milliseconds m_Period{0};  ///< Between two exchanges that a relay starts.
  milliseconds m_Refresh{0}; ///< Between two sequences of its own heartbeat.
  milliseconds m_LiveAge{0}; ///< Older hosts count as gone.
  /// Pause between two reads of the log, so that a busy log does not wake
  /// every host for each record.
  milliseconds m_PollPause{0};
};

struct GossipLimits {
  std::int64_t m_BytesPerSecond = 3000; ///< For gossip, both directions.
  std::size_t m_MaxEntries = 16;
  milliseconds m_MinPeriod{500};
};

/// Chooses the plan that keeps within the limits when every host starts one
/// exchange a period and on average answers one.
GossipPlan planGossip(std::size_t Hosts, const GossipLimits &Limits);

} // namespace sff::membership
