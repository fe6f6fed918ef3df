#include "Core/Membership/GossipPlan.h"

#include "Core/Membership/HostTable.h"

#include <algorithm>

namespace sff::membership {

namespace {

/// Upper estimate of one encoded heartbeat with names of usual length; the
/// unit test compares it with the encoder.
constexpr std::int64_t EntryBytes = 115;
/// Envelope, nng header, and the TCP and IP headers of both directions.
constexpr std::int64_t MessageBytes = 250;
/// A host sends and receives one message as the starter of an exchange and as
/// its answerer.
constexpr std::int64_t MessagesPerPeriod = 4;
constexpr std::int64_t MillisecondsPerSecond = 1000;
/// A host counts as gone after this many missed refreshes, plus a time for the
/// spread of the last one.
constexpr int MissedRefreshes = 4;
constexpr milliseconds SpreadTime{3000};
/// 390 hosts pause 234 ms, which keeps the polls below 5 a second.
constexpr double PollPauseMsPerHost = 0.6;
constexpr double MaxPollPauseMs = 250;

} // namespace

GossipPlan planGossip(std::size_t Hosts, const GossipLimits &Limits) {
  GossipPlan Plan;
  Plan.m_EntriesPerMessage = std::min(Hosts, Limits.m_MaxEntries);
  const std::int64_t Entries =
      static_cast<std::int64_t>(Plan.m_EntriesPerMessage);
  const std::int64_t BytesPerPeriod =
      MessagesPerPeriod * (Entries * EntryBytes + MessageBytes);
  Plan.m_Period = std::max(Limits.m_MinPeriod,
                           milliseconds(BytesPerPeriod * MillisecondsPerSecond /
                                        Limits.m_BytesPerSecond));
  // A host receives two messages a period, and each version of an entry about
  // MaxSends times.
  const std::int64_t NewPerPeriod =
      std::max<std::int64_t>(1, 2 * Entries / HostTable::MaxSends);
  const std::int64_t Periods = std::max<std::int64_t>(
      1, (static_cast<std::int64_t>(Hosts) + NewPerPeriod - 1) / NewPerPeriod);
  Plan.m_Refresh = Plan.m_Period * Periods;
  Plan.m_LiveAge = Plan.m_Refresh * MissedRefreshes + SpreadTime;
  Plan.m_PollPause = milliseconds(static_cast<std::int64_t>(std::min(
      MaxPollPauseMs, PollPauseMsPerHost * static_cast<double>(Hosts))));
  return Plan;
}

} // namespace sff::membership
