#include "Core/Membership/GossipPlan.h"

#include "Core/Membership/HostTable.h"

#include <algorithm>

namespace sff::membership {

namespace {

/// Upper estimate for the encoded size of one heartbeat with names of typical
/// length. A unit test checks it against the encoder.
constexpr std::int64_t HeartbeatBytes = 115;
/// Overhead of one message: envelope, nng header, and the TCP and IP headers of
/// both directions.
constexpr std::int64_t MessageBytes = 250;
/// In each period, a host sends and receives one message in the exchange that
/// it starts and, on average, in one that another host starts.
constexpr std::int64_t MessagesPerPeriod = 4;
constexpr std::int64_t MillisecondsPerSecond = 1000;
/// A host counts as gone after this many missed refreshes, plus the time that
/// the last one needs to propagate.
constexpr int MissedRefreshes = 4;
constexpr milliseconds PropagationTime{3000};
/// With 390 hosts the pause is 234 ms, which keeps each host below 5 polls per
/// second.
constexpr double PollPauseMsPerHost = 0.6;
constexpr double MaxPollPauseMs = 250;

} // namespace

GossipPlan planGossip(std::size_t Hosts, const GossipLimits &Limits) {
  GossipPlan Plan;
  Plan.m_EntriesPerMessage = std::min(Hosts, Limits.m_MaxEntries);
  const std::int64_t Entries =
      static_cast<std::int64_t>(Plan.m_EntriesPerMessage);
  const std::int64_t BytesPerPeriod =
      MessagesPerPeriod * (Entries * HeartbeatBytes + MessageBytes);
  Plan.m_Period = std::max(Limits.m_MinPeriod,
                           milliseconds(BytesPerPeriod * MillisecondsPerSecond /
                                        Limits.m_BytesPerSecond));
  // A host receives two messages per period, and each version of a heartbeat
  // about MaxSends times.
  const std::int64_t UpdatesPerPeriod =
      std::max<std::int64_t>(1, 2 * Entries / HostTable::MaxSends);
  const std::int64_t Periods = std::max<std::int64_t>(
      1, (static_cast<std::int64_t>(Hosts) + UpdatesPerPeriod - 1) /
             UpdatesPerPeriod);
  Plan.m_RefreshInterval = Plan.m_Period * Periods;
  Plan.m_MaxLiveAge =
      Plan.m_RefreshInterval * MissedRefreshes + PropagationTime;
  Plan.m_LogPollPause = milliseconds(static_cast<std::int64_t>(std::min(
      MaxPollPauseMs, PollPauseMsPerHost * static_cast<double>(Hosts))));
  return Plan;
}

} // namespace sff::membership
