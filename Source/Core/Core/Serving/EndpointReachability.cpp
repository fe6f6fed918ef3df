#include "Core/Serving/EndpointReachability.h"

#include <algorithm>

namespace sff::serving {

void EndpointReachability::onRequestSent(Instant Now) {
  if (!m_UnansweredSince)
    m_UnansweredSince = Now;
}

void EndpointReachability::onData(Instant Now) {
  m_LastHeardAt = Now;
  m_UnansweredSince.reset();
}

bool EndpointReachability::needsProbes(Instant Now) const {
  if (m_LastRoundAt && Now - *m_LastRoundAt < ProbeInterval)
    return false;
  const bool IsUnanswered =
      m_UnansweredSince && Now - *m_UnansweredSince >= SilenceBeforeProbe;
  return isIsolated() || m_IsSuspicious || IsUnanswered;
}

std::vector<EndpointId>
EndpointReachability::chooseProbes(const EndpointDirectory &Endpoints,
                                   std::mt19937_64 &Random) const {
  std::map<ZoneId, std::vector<EndpointId>> IdsByZone;
  for (const auto &[Id, Candidate] : Endpoints.all())
    IdsByZone[Candidate.m_Registration.m_Zone].push_back(Id);
  for (auto &[Zone, Ids] : IdsByZone)
    std::ranges::shuffle(Ids, Random);
  std::vector<EndpointId> Result;
  for (std::size_t Row = 0; Result.size() < ProbesPerRound; ++Row) {
    const std::size_t Before = Result.size();
    for (const auto &[Zone, Ids] : IdsByZone)
      if (Row < Ids.size() && Result.size() < ProbesPerRound)
        Result.push_back(Ids[Row]);
    if (Result.size() == Before)
      break;
  }
  return Result;
}

std::vector<EndpointId>
EndpointReachability::chooseFurtherProbes(const EndpointDirectory &Endpoints,
                                          std::span<const EndpointId> Tried,
                                          std::mt19937_64 &Random) const {
  std::vector<EndpointId> Result;
  if (isIsolated())
    return Result;
  for (const auto &[Id, Candidate] : Endpoints.all())
    if (std::ranges::find(Tried, Id) == Tried.end())
      Result.push_back(Id);
  std::ranges::shuffle(Result, Random);
  Result.resize(std::min(Result.size(), MaxFurtherProbes));
  return Result;
}

bool EndpointReachability::onRoundEnded(std::size_t Probes, bool AnyConnected,
                                        Instant Now) {
  const bool WasIsolated = isIsolated();
  m_LastRoundAt = Now;
  m_IsSuspicious = false;
  if (AnyConnected) {
    onData(Now);
    m_IsolatedSince.reset();
  } else if (Probes >= MinProbes && !WasIsolated) {
    m_IsolatedSince = Now;
  }
  return WasIsolated != isIsolated();
}

} // namespace sff::serving
