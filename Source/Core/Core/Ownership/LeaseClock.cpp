#include "Core/Ownership/LeaseClock.h"

#include <algorithm>

namespace sff::ownership {

void LeaseClock::onRenewalSent(const RecordId &Id, Instant Now) {
  // A renewal sent longer ago than the lease cannot extend it any more.
  std::erase_if(m_Pending, [&](const auto &Sent) {
    return Now - Sent.second >= m_Times.m_Duration;
  });
  m_Pending.emplace(Id, Now);
  m_LastSent = Now;
}

void LeaseClock::onRenewalAccepted(const RecordId &Id, Offset Position) {
  if (const auto It = m_Pending.find(Id); It != m_Pending.end())
    m_HeldFrom = std::max(m_HeldFrom.value_or(It->second), It->second);
  m_LastRenewal = std::max(m_LastRenewal, Position);
  // All others name an earlier renewal, so the fold rejects them.
  m_Pending.clear();
}

void LeaseClock::onRenewalRejected(const RecordId &Id) { m_Pending.erase(Id); }

void LeaseClock::onLeaseForgotten() {
  m_LastRenewal = 0;
  m_HeldFrom.reset();
  m_Pending.clear();
}

bool LeaseClock::isHeld(Instant Now) const {
  return m_HeldFrom && Now - *m_HeldFrom < m_Times.m_Duration;
}

bool LeaseClock::isRenewalDue(Instant Now) const {
  return !m_LastSent || Now - *m_LastSent >= m_Times.m_RenewEvery;
}

void LeaseObserver::onRenewalRead(const IncarnationId &Incarnation,
                                  Offset Position, Instant Now) {
  Observation &Seen = m_Observations[Incarnation];
  if (Position > Seen.m_Offset)
    Seen = {Position, Now};
}

void LeaseObserver::onLogRestored(Instant Now) {
  for (auto &[Incarnation, Seen] : m_Observations)
    Seen.m_ReadAt = std::max(Seen.m_ReadAt, Now);
}

bool LeaseObserver::isLapsed(const IncarnationId &Incarnation,
                             Instant Now) const {
  const auto It = m_Observations.find(Incarnation);
  return It != m_Observations.end() &&
         Now - It->second.m_ReadAt >= m_Times.m_Duration + m_Times.m_Margin;
}

Offset LeaseObserver::lastRead(const IncarnationId &Incarnation) const {
  const auto It = m_Observations.find(Incarnation);
  return It == m_Observations.end() ? 0 : It->second.m_Offset;
}

void LeaseObserver::forget(const IncarnationId &Incarnation) {
  m_Observations.erase(Incarnation);
}

std::vector<IncarnationId> LeaseObserver::known() const {
  std::vector<IncarnationId> Result;
  for (const auto &[Incarnation, Seen] : m_Observations)
    Result.push_back(Incarnation);
  return Result;
}

} // namespace sff::ownership
