#include "Core/Serving/ReleaseWatch.h"

namespace sff::serving {

namespace {

/// Steps of one replacement follow each other within this time.
constexpr std::chrono::seconds StepTime{8};

bool isRecent(std::optional<Instant> Event, Instant Now) {
  return Event && Now - *Event <= StepTime;
}

} // namespace

void ReleaseWatch::onAdded(const std::string &Service, Instant Now) {
  Wave &Known = m_Waves[Service];
  if (!isRecent(Known.m_LastAdded, Now))
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
  return isRecent(Latest.m_LastAdded, Now) &&
         isRecent(Latest.m_LastLeaving, Now) && AddedAt < *Latest.m_FirstAdded;
}

} // namespace sff::serving
