#include "Core/Serving/EndpointReachability.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sff::serving {

namespace {

bool selectAll(const Endpoint &) { return true; }

/// Chooses up to \p Count endpoints, from as many availability zones as
/// possible.
std::vector<EndpointId>
chooseOverZones(const EndpointDirectory &Endpoints,
                const EndpointReachability::Filter &IsSelected,
                std::size_t Count, std::mt19937_64 &Random) {
  std::map<ZoneId, std::vector<EndpointId>> IdsByZone;
  for (const auto &[Id, Candidate] : Endpoints.all())
    if (IsSelected(Candidate))
      IdsByZone[Candidate.m_Registration.m_Zone].push_back(Id);
  std::vector<std::vector<EndpointId>> Zones;
  for (auto &[Zone, Ids] : IdsByZone) {
    std::ranges::shuffle(Ids, Random);
    Zones.push_back(std::move(Ids));
  }
  std::ranges::shuffle(Zones, Random);
  std::vector<EndpointId> Result;
  for (std::size_t Row = 0; Result.size() < Count; ++Row) {
    const std::size_t Before = Result.size();
    for (const std::vector<EndpointId> &Ids : Zones)
      if (Row < Ids.size() && Result.size() < Count)
        Result.push_back(Ids[Row]);
    if (Result.size() == Before)
      break;
  }
  return Result;
}

/// Chooses further endpoints at random.
std::vector<EndpointId>
chooseOthers(const EndpointDirectory &Endpoints,
             const EndpointReachability::Filter &IsSelected,
             std::span<const EndpointId> Tried, std::mt19937_64 &Random) {
  std::vector<EndpointId> Result;
  for (const auto &[Id, Candidate] : Endpoints.all())
    if (IsSelected(Candidate) && std::ranges::find(Tried, Id) == Tried.end())
      Result.push_back(Id);
  std::ranges::shuffle(Result, Random);
  Result.resize(
      std::min(Result.size(), EndpointReachability::MaxFurtherProbes));
  return Result;
}

} // namespace

void EndpointReachability::onRequestSent(const EndpointId &Id, Instant Now) {
  if (!m_UnansweredSince)
    m_UnansweredSince = Now;
  if (!m_NoDataSince)
    m_NoDataSince = Now;
  if (m_UnansweredEndpoints.size() < MinUnansweredEndpoints)
    m_UnansweredEndpoints.insert(Id);
}

bool EndpointReachability::onData(Instant Now) {
  m_LastHeardAt = Now;
  m_UnansweredSince.reset();
  m_NoDataSince.reset();
  m_UnansweredEndpoints.clear();
  if (!std::exchange(m_IsSilent, false))
    return false;
  m_IsolatedSince.reset();
  return true;
}

bool EndpointReachability::needsProbes(Instant Now) const {
  if (m_IsSilent || (m_LastRoundAt && Now - *m_LastRoundAt < ProbeInterval))
    return false;
  const bool IsUnanswered =
      m_UnansweredSince && Now - *m_UnansweredSince >= SilenceBeforeProbe;
  return isIsolated() || m_IsSuspicious || IsUnanswered;
}

std::vector<EndpointId>
EndpointReachability::chooseProbes(const EndpointDirectory &Endpoints,
                                   std::mt19937_64 &Random) const {
  return chooseOverZones(Endpoints, selectAll, ProbesPerRound, Random);
}

std::vector<EndpointId>
EndpointReachability::chooseFurtherProbes(const EndpointDirectory &Endpoints,
                                          std::span<const EndpointId> Tried,
                                          std::mt19937_64 &Random) const {
  return chooseFurtherChecks(Endpoints, selectAll, Tried, Random);
}

bool EndpointReachability::onRoundEnded(std::size_t Probes, bool AnyConnected,
                                        Instant Now) {
  const bool WasIsolated = isIsolated();
  m_LastRoundAt = Now;
  m_IsSuspicious = false;
  if (AnyConnected) {
    m_LastHeardAt = Now;
    m_UnansweredSince.reset();
    if (!m_IsSilent)
      m_IsolatedSince.reset();
  } else if (Probes >= MinProbes && !WasIsolated) {
    m_IsolatedSince = Now;
  }
  return WasIsolated != isIsolated();
}

bool EndpointReachability::isUnanswered(Instant Now) const {
  return m_NoDataSince && Now - *m_NoDataSince >= SilenceBeforeChecks &&
         m_UnansweredEndpoints.size() >= MinUnansweredEndpoints;
}

bool EndpointReachability::needsChecks(Instant Now) const {
  const milliseconds Interval =
      m_IsSilent ? ProbeInterval : SilenceBeforeChecks;
  if (m_LastChecksAt && Now - *m_LastChecksAt < Interval)
    return false;
  return m_IsSilent || (!isIsolated() && isUnanswered(Now));
}

std::vector<EndpointId>
EndpointReachability::chooseChecks(const EndpointDirectory &Endpoints,
                                   const Filter &HasCheck,
                                   std::mt19937_64 &Random) const {
  return chooseOverZones(Endpoints, HasCheck, ChecksPerRound, Random);
}

std::vector<EndpointId> EndpointReachability::chooseFurtherChecks(
    const EndpointDirectory &Endpoints, const Filter &HasCheck,
    std::span<const EndpointId> Tried, std::mt19937_64 &Random) const {
  if (isIsolated())
    return {};
  return chooseOthers(Endpoints, HasCheck, Tried, Random);
}

bool EndpointReachability::onChecksEnded(std::size_t Checks, CheckResult Result,
                                         Instant Now) {
  m_LastChecksAt = Now;
  if (Result == CheckResult::Answered)
    return onData(Now);
  // Data may have come on another connection meanwhile.
  const bool HasNoLinks =
      Result == CheckResult::Silent && Checks >= MinProbes && isUnanswered(Now);
  if (!HasNoLinks || isIsolated())
    return false;
  m_IsSilent = true;
  m_IsolatedSince = Now;
  return true;
}

} // namespace sff::serving
