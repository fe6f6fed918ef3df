#include "Host/LogQueries.h"

#include "Host/PeerCall.h"

#include <algorithm>
#include <utility>

namespace sff::host {

namespace {

/// A host that was asked so long ago no longer reads for others.
constexpr milliseconds AskedPeriod{5000};
/// A holder that gave no answer is not asked for so long.
constexpr milliseconds QueryPause{5000};
/// Bounds how long a query can occupy this host.
constexpr milliseconds MaxQueryWait{5000};

} // namespace

std::optional<serving::LogQueryTimes> LogQueries::times() const {
  const auto Zones = m_State.m_Settings.get(ZonesSetting).size();
  const auto MinHosts =
      static_cast<std::size_t>(m_State.m_Settings.get(QueryMinHostsSetting));
  if (m_State.hosts() < MinHosts * std::max<std::size_t>(Zones, 1))
    return std::nullopt;
  return serving::logQueryTimes(m_State.m_Settings.get(CatalogueApplySetting));
}

bool LogQueries::isAsked() const {
  return m_AskedAt && now() - *m_AskedAt < AskedPeriod;
}

void LogQueries::onRead(FollowedLog Log, Cursor End, Instant SentAt) {
  Progress &Known = progress(Log);
  Known.m_End = End;
  Known.m_ConfirmedAt = SentAt;
  Known.m_Changed.notifyAll();
}

milliseconds LogQueries::readWait(milliseconds Longest) const {
  const auto Times = times();
  if (!Times)
    return Longest;
  if (isAsked())
    return std::min(Longest, Times->m_ReaderWait);
  return holderToAsk(now() + Longest) ? std::min(Longest, Times->m_OwnWait)
                                      : Longest;
}

std::optional<std::string> LogQueries::holderToAsk(Instant At) const {
  auto Holder = m_Leases.knownHolder(m_State.m_Zone);
  // A host that is asked reads by itself, so that no two hosts rely on each
  // other.
  if (!Holder || *Holder == m_Leases.member() || isAsked() ||
      At < m_PausedUntil)
    return std::nullopt;
  return Holder;
}

Task<std::optional<Instant>> LogQueries::confirm(FollowedLog Log, Cursor End) {
  const auto Times = times();
  const auto Holder = holderToAsk(now());
  if (!Times || !Holder)
    co_return std::nullopt;
  const Instant SentAt = bootTime();
  const auto Answer = co_await callPeer<serving::LogAge>(
      m_Peers, *Holder, LogQueryPath,
      LogQuery{Log, End, Times->m_QueryWait.count()},
      Times->m_QueryWait + serving::LogQueryTimes::AnswerSlack);
  if (!Answer)
    m_PausedUntil = now() + QueryPause;
  const auto Confirmed =
      Answer ? serving::confirmedAt(End, *Answer, SentAt, Times->m_MaxAge)
             : std::nullopt;
  m_State.m_Metrics.onLogQuery(Confirmed ? "confirmed" : "read");
  noteAsking(Log, Confirmed.has_value(), *Holder,
             Answer ? Answer->m_AgeMs : serving::LogAge{}.m_AgeMs);
  co_return Confirmed;
}

void LogQueries::noteAsking(FollowedLog Log, bool IsAsking,
                            const std::string &Holder, std::int64_t AgeMs) {
  if (std::exchange(progress(Log).m_IsAsking, IsAsking) == IsAsking)
    return;
  log::info(log::Category::Platform,
            IsAsking ? "log.asked_at_holder" : "log.read_again",
            {{"log", Log}, {"holder", Holder}, {"age_ms", AgeMs}});
}

Task<serving::LogAge> LogQueries::onQuery(LogQuery Query) {
  m_AskedAt = now();
  const auto Times = times();
  const milliseconds MaxAge = Times ? Times->m_MaxAge : milliseconds(0);
  Progress &Known = progress(Query.m_Log);
  const Instant Until = now() + std::clamp(milliseconds(Query.m_WaitMs),
                                           milliseconds(0), MaxQueryWait);
  // Knowledge that is too old is told at once: the other host must read.
  while (Known.m_ConfirmedAt && Known.m_End == Query.m_End &&
         bootTime() - *Known.m_ConfirmedAt <= MaxAge && now() < Until)
    co_await Known.m_Changed.wait(Until - now());
  if (!Known.m_ConfirmedAt)
    co_return serving::LogAge{};
  co_return serving::LogAge{
      Known.m_End, toMilliseconds(bootTime() - *Known.m_ConfirmedAt).count()};
}

} // namespace sff::host
