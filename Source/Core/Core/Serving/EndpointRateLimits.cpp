#include "Core/Serving/EndpointRateLimits.h"

#include <algorithm>
#include <cmath>

namespace sff::serving {

bool EndpointRateLimits::onAnswer(const EndpointId &Id,
                                  std::optional<double> PerSecond,
                                  Instant SentAt, Instant Now) {
  const auto Found = m_Limits.find(Id);
  if (!PerSecond) {
    if (Found == m_Limits.end() || SentAt < Found->second.m_NamedAt)
      return false;
    m_Limits.erase(Found);
    return true;
  }
  if (Found == m_Limits.end()) {
    Limit Named;
    Named.m_PerSecond = *PerSecond;
    Named.m_NamedAt = Now;
    Named.m_Phase = std::uniform_real_distribution<double>()(m_Random);
    // The present slot has passed in part, so it is not used.
    const Slot Present = slotAt(Named, Now);
    Named.m_Slot = Present.m_Number;
    Named.m_SentInSlot = Present.m_Capacity;
    m_Limits.emplace(Id, Named);
    return true;
  }
  Found->second.m_NamedAt = Now;
  return std::exchange(Found->second.m_PerSecond, *PerSecond) != *PerSecond;
}

double EndpointRateLimits::share(const Limit &Known) const {
  return UsableShare * std::max(Known.m_PerSecond, MinPerSecond) /
         static_cast<double>(m_Hosts);
}

EndpointRateLimits::Slot EndpointRateLimits::slotAt(const Limit &Known,
                                                    Instant Now) const {
  const double Interval = 1 / share(Known);
  Slot Result;
  Result.m_Capacity = std::max<std::int64_t>(
      static_cast<std::int64_t>(toSeconds(SlotValidity) / Interval), 1);
  Result.m_Length =
      fromSeconds(Interval * static_cast<double>(Result.m_Capacity));
  const Duration Offset =
      std::chrono::duration_cast<Duration>(Result.m_Length * Known.m_Phase);
  Result.m_Number = (Now.time_since_epoch() - Offset) / Result.m_Length;
  Result.m_Start = Instant(Result.m_Number * Result.m_Length + Offset);
  return Result;
}

Duration EndpointRateLimits::timeUntilAllowed(const Limit &Known,
                                              Instant Now) const {
  const Slot Present = slotAt(Known, Now);
  const bool IsUsed = Known.m_Slot == Present.m_Number &&
                      Known.m_SentInSlot >= Present.m_Capacity;
  if (!IsUsed && Now - Present.m_Start < SlotValidity)
    return Duration::zero();
  return Present.m_Start + Present.m_Length - Now;
}

bool EndpointRateLimits::allows(const EndpointId &Id, Instant Now) const {
  const auto Found = m_Limits.find(Id);
  return Found == m_Limits.end() ||
         timeUntilAllowed(Found->second, Now) == Duration::zero();
}

void EndpointRateLimits::onSent(const EndpointId &Id, Instant Now) {
  const auto Found = m_Limits.find(Id);
  if (Found == m_Limits.end())
    return;
  Limit &Known = Found->second;
  const std::int64_t Number = slotAt(Known, Now).m_Number;
  if (std::exchange(Known.m_Slot, Number) != Number)
    Known.m_SentInSlot = 0;
  ++Known.m_SentInSlot;
}

Duration EndpointRateLimits::expectedWait(std::span<const EndpointId> Endpoints,
                                          std::size_t Waiting,
                                          Instant Now) const {
  Duration Shortest = Duration::max();
  double PerSecond = 0;
  for (const EndpointId &Id : Endpoints) {
    const auto Found = m_Limits.find(Id);
    if (Found == m_Limits.end())
      return Duration::zero();
    Shortest = std::min(Shortest, timeUntilAllowed(Found->second, Now));
    PerSecond += share(Found->second);
  }
  if (Endpoints.empty())
    return Duration::zero();
  return Shortest + fromSeconds(static_cast<double>(Waiting) / PerSecond);
}

} // namespace sff::serving
