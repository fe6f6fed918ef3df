#include "Core/Serving/EndpointBackoff.h"

#include <algorithm>

namespace sff::serving {

bool EndpointBackoff::onTurnedAway(const EndpointId &Id,
                                   const Incarnation &Process,
                                   Duration RetryAfter, Instant Now) {
  std::erase_if(m_Pauses, [Now](const auto &Entry) {
    return Entry.second.m_Until <= Now;
  });
  const Instant Until = Now + std::min<Duration>(RetryAfter, MaxRetryAfter);
  if (Until <= Now)
    return false;
  Pause &Known = m_Pauses[Id];
  if (Process < Known.m_Process)
    return false;
  // A new process does not know what the one before it has asked for.
  if (Known.m_Process < Process)
    Known = {Process, Instant()};
  const bool IsLater = Known.m_Until < Until;
  Known.m_Until = std::max(Known.m_Until, Until);
  return IsLater;
}

Duration EndpointBackoff::remaining(const Endpoint &Candidate,
                                    Instant Now) const {
  const auto Found = m_Pauses.find(Candidate.id());
  if (Found == m_Pauses.end() ||
      Found->second.m_Process != Candidate.m_Registration.m_Incarnation)
    return Duration::zero();
  return std::max(Found->second.m_Until - Now, Duration::zero());
}

Duration EndpointBackoff::shortest(std::span<const Endpoint *const> Candidates,
                                   Instant Now) const {
  Duration Result = Duration::max();
  for (const Endpoint *Candidate : Candidates)
    Result = std::min(Result, remaining(*Candidate, Now));
  return Result;
}

} // namespace sff::serving
