#include "Core/Serving/EndpointHealth.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// Weight of the latest result or latency in the moving averages, and of one
/// that comes from a trial.
constexpr double SmoothingFactor = 0.15;
constexpr double TrialSmoothingFactor = 0.5;
/// Observations that are older say little of an endpoint.
constexpr milliseconds ObservationValidity{10000};
/// Consecutive connection failures after which an endpoint is suspended.
constexpr int SuspensionThreshold = 2;
constexpr milliseconds InitialSuspension{1000};
constexpr int MaxDoublings = 2;

bool isConnectionFailure(CallResult Result) {
  return Result == CallResult::Silent || Result == CallResult::Unreachable ||
         Result == CallResult::Broken;
}

/// The weight of an observation at an endpoint that was last observed at
/// \p LastAt and tried at \p TriedAt.
double weightOfNext(Instant LastAt, Instant TriedAt) {
  return TriedAt > LastAt ? TrialSmoothingFactor : SmoothingFactor;
}

} // namespace

void EndpointHealth::onResult(const EndpointId &Endpoint, CallResult Result,
                              Instant Now) {
  Entry &State = m_Entries[Endpoint];
  const double Failed = Result == CallResult::Success ? 0 : 1;
  State.m_FailureRate += weightOfNext(State.m_ResultAt, State.m_TriedAt) *
                         (Failed - State.m_FailureRate);
  State.m_ResultAt = Now;
  if (!isConnectionFailure(Result)) {
    State.m_ConsecutiveFailures = 0;
    return;
  }
  ++State.m_ConsecutiveFailures;
  const int Threshold =
      Result == CallResult::Unreachable ? 1 : SuspensionThreshold;
  if (State.m_ConsecutiveFailures < Threshold)
    return;
  const int Doublings =
      std::min(State.m_ConsecutiveFailures - Threshold, MaxDoublings);
  State.m_SuspendedUntil = Now + InitialSuspension * (1 << Doublings);
}

void EndpointHealth::onLatency(const EndpointId &Endpoint, Duration Latency,
                               Instant Now) {
  Entry &State = m_Entries[Endpoint];
  // A faster second answer replaces the first one, which may include the setup
  // of the connection.
  const bool IsReplaced =
      State.m_LatencySamples == 0 ||
      (State.m_LatencySamples == 1 && Latency < State.m_Latency);
  const double Weight =
      IsReplaced ? 1 : weightOfNext(State.m_LatencyAt, State.m_TriedAt);
  State.m_LatencySamples = std::min(State.m_LatencySamples + 1, 2);
  const auto Difference = Latency - State.m_Latency;
  State.m_Latency += std::chrono::duration_cast<Duration>(Difference * Weight);
  State.m_LatencyAt = Now;
}

void EndpointHealth::onNotRun(const EndpointId &Endpoint) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found != m_Entries.end())
    Found->second.m_TriedAt = Instant();
}

bool EndpointHealth::isUnconfirmed(const EndpointId &Endpoint,
                                   Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end() || Found->second.m_LatencySamples != 1)
    return false;
  const Entry &State = Found->second;
  return State.m_TriedAt < State.m_LatencyAt &&
         Now - State.m_LatencyAt <= ObservationValidity;
}

bool EndpointHealth::isOutdated(const EndpointId &Endpoint, Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return false;
  const Entry &State = Found->second;
  return Now -
             std::max({State.m_ResultAt, State.m_LatencyAt, State.m_TriedAt}) >
         ObservationValidity;
}

bool EndpointHealth::isSuspended(const EndpointId &Endpoint,
                                 Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found != m_Entries.end() && Now < Found->second.m_SuspendedUntil;
}

double EndpointHealth::failureRate(const EndpointId &Endpoint) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? 0 : Found->second.m_FailureRate;
}

Duration EndpointHealth::latency(const EndpointId &Endpoint) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? Duration::zero() : Found->second.m_Latency;
}

} // namespace sff::serving
