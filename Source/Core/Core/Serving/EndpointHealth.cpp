#include "Core/Serving/EndpointHealth.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// Weight of the newest result or latency in the averages.
constexpr double NewestWeight = 0.15;
/// Results in a row, other than answers, after which an endpoint rests.
constexpr int SuspendAfter = 2;
constexpr milliseconds FirstSuspension{1000};
constexpr int MaxDoublings = 2;

bool isDead(CallResult Result) {
  return Result == CallResult::Silent || Result == CallResult::Unreachable ||
         Result == CallResult::Broken;
}

} // namespace

void EndpointHealth::onResult(const EndpointId &Endpoint, CallResult Result,
                              Instant Now) {
  Entry &Known = m_Entries[Endpoint];
  const double Failed = Result == CallResult::Good ? 0 : 1;
  Known.m_FailureShare += NewestWeight * (Failed - Known.m_FailureShare);
  if (!isDead(Result)) {
    Known.m_InRow = 0;
    return;
  }
  ++Known.m_InRow;
  const int Needed = Result == CallResult::Unreachable ? 1 : SuspendAfter;
  if (Known.m_InRow < Needed)
    return;
  const int Doublings = std::min(Known.m_InRow - Needed, MaxDoublings);
  Known.m_SuspendedUntil = Now + FirstSuspension * (1 << Doublings);
}

void EndpointHealth::onLatency(const EndpointId &Endpoint, Duration Latency) {
  Entry &Known = m_Entries[Endpoint];
  if (Known.m_Latency == Duration::zero()) {
    Known.m_Latency = Latency;
    return;
  }
  const auto Difference = Latency - Known.m_Latency;
  Known.m_Latency +=
      std::chrono::duration_cast<Duration>(Difference * NewestWeight);
}

bool EndpointHealth::isSuspended(const EndpointId &Endpoint,
                                 Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found != m_Entries.end() && Now < Found->second.m_SuspendedUntil;
}

double EndpointHealth::failureShare(const EndpointId &Endpoint) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? 0 : Found->second.m_FailureShare;
}

Duration EndpointHealth::latency(const EndpointId &Endpoint) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? Duration::zero() : Found->second.m_Latency;
}

} // namespace sff::serving
