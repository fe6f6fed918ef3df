#include "Core/Serving/ReleaseWatch.h"

namespace sff::serving {

namespace {

/// Steps of one replacement follow each other within this time.
constexpr std::chrono::seconds StepTime{8};

} // namespace

void ReleaseWatch::onAdded(const std::string &Service, Instant Now) {
  Wave &Known = m_Waves[Service];
  if (Known.m_FirstAdded == Instant() || Now - Known.m_LastAdded > StepTime)
    Known.m_FirstAdded = Now;
  Known.m_LastAdded = Now;
}

void ReleaseWatch::onLeaving(const std::string &Service, Instant Now) {
  m_Waves[Service].m_LastLeaving = Now;
}

bool ReleaseWatch::isReplacing(const std::string &Service, Instant AddedAt,
                               Instant Now) const {
  const auto Known = m_Waves.find(Service);
  if (Known == m_Waves.end())
    return false;
  const Wave &Latest = Known->second;
  const bool Adds =
      Latest.m_LastAdded != Instant() && Now - Latest.m_LastAdded <= StepTime;
  const bool Leaves = Latest.m_LastLeaving != Instant() &&
                      Now - Latest.m_LastLeaving <= StepTime;
  return Adds && Leaves && AddedAt < Latest.m_FirstAdded;
}

} // namespace sff::serving
