#include "Core/Ownership/LeaseClock.h"

#include <algorithm>

namespace sff::ownership {

void LeaseClock::onRenewalSent(const RecordId &Id, Instant Now) {
  // A renewal that was sent a full lease duration ago can no longer extend the
  // lease.
  std::erase_if(m_PendingRenewals, [&](const auto &Sent) {
    return Now - Sent.second >= m_Times.m_Duration;
  });
  m_PendingRenewals.emplace(Id, Now);
  m_LastSent = Now;
}

void LeaseClock::onRenewalAccepted(const RecordId &Id, Offset Position) {
  if (const auto It = m_PendingRenewals.find(Id); It != m_PendingRenewals.end())
    m_HeldSince = std::max(m_HeldSince.value_or(It->second), It->second);
  m_LastRenewal = std::max(m_LastRenewal, Position);
  // All other pending renewals name an earlier renewal as the previous one, so
  // ClusterState rejects them.
  m_PendingRenewals.clear();
}

void LeaseClock::onRenewalRejected(const RecordId &Id) {
  m_PendingRenewals.erase(Id);
}

void LeaseClock::onLeasePruned() {
  m_LastRenewal = 0;
  m_HeldSince.reset();
  m_PendingRenewals.clear();
}

bool LeaseClock::isHeld(Instant Now) const {
  return m_HeldSince && Now - *m_HeldSince < m_Times.m_Duration;
}

bool LeaseClock::isRenewalDue(Instant Now) const {
  return !m_LastSent || Now - *m_LastSent >= m_Times.m_RenewalInterval;
}

void LeaseObserver::onRenewalRead(const IncarnationId &Incarnation,
                                  Offset Position, Instant Now) {
  Observation &Latest = m_Observations[Incarnation];
  if (Position > Latest.m_Offset)
    Latest = {Position, Now};
}

void LeaseObserver::onLogRestored(Instant Now) {
  for (auto &[Incarnation, Latest] : m_Observations)
    Latest.m_ReadAt = std::max(Latest.m_ReadAt, Now);
}

bool LeaseObserver::isExpired(const IncarnationId &Incarnation,
                              Instant Now) const {
  const auto It = m_Observations.find(Incarnation);
  return It != m_Observations.end() &&
         Now - It->second.m_ReadAt >=
             m_Times.m_Duration + m_Times.m_ClockRateMargin;
}

Offset LeaseObserver::lastRenewalRead(const IncarnationId &Incarnation) const {
  const auto It = m_Observations.find(Incarnation);
  return It == m_Observations.end() ? 0 : It->second.m_Offset;
}

void LeaseObserver::forget(const IncarnationId &Incarnation) {
  m_Observations.erase(Incarnation);
}

std::vector<IncarnationId> LeaseObserver::observedIncarnations() const {
  std::vector<IncarnationId> Result;
  for (const auto &[Incarnation, Latest] : m_Observations)
    Result.push_back(Incarnation);
  return Result;
}

} // namespace sff::ownership
