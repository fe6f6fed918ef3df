#include "Core/Serving/EndpointSpeeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sff::serving {

namespace {

/// Weight of a new request in the mean time of its route.
constexpr double MeanWeight = 0.05;
/// Speeds change within seconds, so older work counts less.
constexpr milliseconds WorkTimeConstant{5000};
/// Expected seconds of work below which the speed is not known: single requests
/// of a route differ by more than endpoints do.
constexpr double MinExpectedSeconds = 2;
/// Bound the effect of requests that are not alike.
constexpr double MinSpeed = 0.4;
constexpr double MaxSpeed = 1.3;

} // namespace

void WorkMeter::onCompleted(std::string_view Route, const EndpointId &Endpoint,
                            Duration Taken) {
  const double Seconds = toSeconds(Taken);
  auto Found = m_MeanSeconds.find(Route);
  if (Found == m_MeanSeconds.end())
    Found = m_MeanSeconds.emplace(std::string(Route), Seconds).first;
  EndpointWork &Work = m_Work[Endpoint];
  Work.m_Seconds += Seconds;
  Work.m_ExpectedSeconds += Found->second;
  Found->second += MeanWeight * (Seconds - Found->second);
}

std::map<EndpointId, EndpointWork> WorkMeter::take() {
  return std::exchange(m_Work, {});
}

EndpointWork EndpointSpeeds::decayed(const Entry &State, Instant Now) {
  const double Share = std::exp(-toSeconds(Now - State.m_UpdatedAt) /
                                toSeconds(WorkTimeConstant));
  return {State.m_Work.m_Seconds * Share,
          State.m_Work.m_ExpectedSeconds * Share};
}

void EndpointSpeeds::add(const EndpointId &Endpoint, const EndpointWork &Work,
                         Instant Now) {
  Entry &State = m_Entries.try_emplace(Endpoint, Entry{{}, Now}).first->second;
  State.m_Work = decayed(State, Now);
  State.m_Work.m_Seconds += Work.m_Seconds;
  State.m_Work.m_ExpectedSeconds += Work.m_ExpectedSeconds;
  State.m_UpdatedAt = Now;
}

double EndpointSpeeds::speed(const EndpointId &Endpoint, Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return 1;
  const EndpointWork Work = decayed(Found->second, Now);
  if (Work.m_ExpectedSeconds < MinExpectedSeconds || Work.m_Seconds <= 0)
    return 1;
  return std::clamp(Work.m_ExpectedSeconds / Work.m_Seconds, MinSpeed,
                    MaxSpeed);
}

} // namespace sff::serving
