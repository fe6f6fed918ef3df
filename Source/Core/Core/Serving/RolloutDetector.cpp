#include "Core/Serving/RolloutDetector.h"

namespace sff::serving {

namespace {

/// Maximum time between two steps of the same rollout.
constexpr std::chrono::seconds MaxStepInterval{8};

bool isRecent(std::optional<Instant> Event, Instant Now) {
  return Event && Now - *Event <= MaxStepInterval;
}

} // namespace

void RolloutDetector::onAdded(const std::string &Service, Instant Now) {
  Rollout &Found = m_Rollouts[Service];
  if (!isRecent(Found.m_LastAdded, Now))
    Found.m_FirstAdded = Now;
  Found.m_LastAdded = Now;
}

void RolloutDetector::onLeaving(const std::string &Service, Instant Now) {
  m_Rollouts[Service].m_LastLeaving = Now;
}

bool RolloutDetector::isBeingReplaced(const std::string &Service,
                                      Instant AddedAt, Instant Now) const {
  const auto Found = m_Rollouts.find(Service);
  if (Found == m_Rollouts.end())
    return false;
  const Rollout &Latest = Found->second;
  return isRecent(Latest.m_LastAdded, Now) &&
         isRecent(Latest.m_LastLeaving, Now) && AddedAt < *Latest.m_FirstAdded;
}

} // namespace sff::serving
