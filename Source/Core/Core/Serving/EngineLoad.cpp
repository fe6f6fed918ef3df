#include "Core/Serving/EngineLoad.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sff::serving {

namespace {

/// Sustainable requests per second and slot. Requests are short, but a full
/// batch slows each of them down.
constexpr double SustainableRatePerSlot = 0.5;
/// Utilization above which an endpoint's latency increases noticeably.
constexpr double OverloadThreshold = 0.7;
/// Maximum utilization of a new replica's endpoint, relative to that of the
/// overloaded ones. Above it, the replica would only move the overload.
constexpr double MaxReliefRatio = 0.5;
/// A new replica is credited with the requests of this period.
constexpr double PlanningHorizonSeconds = 10;
/// Waiting time that a replica saves for each of these requests.
constexpr double SavedWaitSeconds = 1.5;
/// The same if the model would otherwise be loaded from the weight store while
/// its callers wait or are rejected.
constexpr double SavedColdLoadSeconds = 5;
/// Minimum requests per second for which a model gets a replica before its last
/// endpoints leave.
constexpr double MinEarlyReplicaRate = 1;
/// Assumed utilization of an overloaded model whose endpoints hosts find full:
/// the capacity of an endpoint is only an assumption.
constexpr double PressureUtilization = 1.2;
/// Hosts also find endpoints full that work off a backlog, or that too many of
/// them have chosen at once. Below this utilization another replica does not
/// help; with a lower limit, models got replicas on all endpoints.
constexpr double MinPressureUtilization = 0.45;
/// Most replicas that are missing at once. Rates right after a change of the
/// demand are rough.
constexpr int MaxMissingReplicas = 6;

} // namespace

double sustainableRate(int Slots) { return SustainableRatePerSlot * Slots; }

int zoneShare(int Missing, std::size_t Zones) {
  const int Count = std::max(1, static_cast<int>(Zones));
  return (Missing + Count - 1) / Count;
}

EngineLoad::EngineLoad(std::span<const EndpointPlacement> Placements,
                       const RateLookup &Rate, double Capacity,
                       const LoadObservations &Observations)
    : m_Capacity(std::max(Capacity, 1e-6)) {
  for (const EndpointPlacement &Placement : Placements) {
    const double EndpointCapacity =
        m_Capacity *
        (Observations.m_Speed ? Observations.m_Speed(Placement.m_Endpoint) : 1);
    m_Utilization[Placement.m_Endpoint] = 0;
    if (Placement.m_Leaving)
      m_Leaving.insert(Placement.m_Endpoint);
    for (const std::string &Model : Placement.m_Models) {
      ReplicaSet &Replicas = m_Models[Model];
      Replicas.m_RemainingEndpoints += Placement.m_Leaving ? 0 : 1;
      if (!Placement.m_AcceptsRequests)
        continue;
      Replicas.m_Endpoints.push_back(Placement.m_Endpoint);
      Replicas.m_Capacity += EndpointCapacity;
    }
  }
  for (auto &[Model, Replicas] : m_Models) {
    Replicas.m_Rate = Rate(Model);
    Replicas.m_IsUnderPressure =
        Observations.m_IsUnderPressure && Observations.m_IsUnderPressure(Model);
    for (const EndpointId &Endpoint : Replicas.m_Endpoints)
      m_Utilization[Endpoint] += Replicas.utilization();
  }
}

double EngineLoad::ReplicaSet::ratePerReplica() const {
  return m_Rate /
         static_cast<double>(std::max<std::size_t>(1, m_Endpoints.size()));
}

double EngineLoad::ReplicaSet::utilization() const {
  return m_Rate / std::max(m_Capacity, 1e-6);
}

int EngineLoad::missingReplicas(const ReplicaSet &Replicas) const {
  const double Missing = std::ceil(
      (Replicas.m_Rate / OverloadThreshold - Replicas.m_Capacity) / m_Capacity);
  return static_cast<int>(std::clamp<double>(Missing, 1, MaxMissingReplicas));
}

double EngineLoad::utilization(const EndpointId &Endpoint) const {
  const auto Found = m_Utilization.find(Endpoint);
  return Found == m_Utilization.end() ? 0 : Found->second;
}

std::optional<Overload>
EngineLoad::findOverload(const std::string &Model,
                         const ReplicaSet &Replicas) const {
  double LowestUtilization = std::numeric_limits<double>::infinity();
  for (const EndpointId &Endpoint : Replicas.m_Endpoints)
    LowestUtilization = std::min(LowestUtilization, utilization(Endpoint));
  const bool IsUnderPressure =
      Replicas.m_IsUnderPressure && LowestUtilization >= MinPressureUtilization;
  if (IsUnderPressure && LowestUtilization > OverloadThreshold)
    LowestUtilization = std::max(LowestUtilization, PressureUtilization);
  const auto Count = static_cast<int>(Replicas.m_Endpoints.size());
  const int Missing = missingReplicas(Replicas);
  if (Replicas.m_RemainingEndpoints == 0 &&
      Replicas.m_Rate >= MinEarlyReplicaRate)
    return Overload{Model,
                    LowestUtilization,
                    true,
                    Replicas.m_Rate * PlanningHorizonSeconds *
                        SavedColdLoadSeconds,
                    IsUnderPressure,
                    Count,
                    Missing};
  const bool IsOverloaded =
      LowestUtilization > OverloadThreshold || IsUnderPressure;
  if (Replicas.m_Endpoints.empty() || !IsOverloaded)
    return std::nullopt;
  const double UsedUtilization =
      IsUnderPressure ? std::max(LowestUtilization, PressureUtilization)
                      : LowestUtilization;
  // A replica takes over at most the model's own requests.
  const double ExcessRate =
      std::min((UsedUtilization - OverloadThreshold) * m_Capacity,
               Replicas.ratePerReplica());
  return Overload{
      Model,           LowestUtilization,
      false,           ExcessRate * PlanningHorizonSeconds * SavedWaitSeconds,
      IsUnderPressure, Count,
      Missing};
}

std::vector<Overload> EngineLoad::overloads() const {
  std::vector<Overload> Result;
  for (const auto &[Model, Replicas] : m_Models)
    if (auto Found = findOverload(Model, Replicas))
      Result.push_back(std::move(*Found));
  std::ranges::stable_sort(Result, std::greater<>(),
                           &Overload::m_SavedWaitSeconds);
  return Result;
}

bool EngineLoad::reducesLoadOf(const EndpointId &Endpoint,
                               const Overload &Overloaded) const {
  if (m_Leaving.contains(Endpoint))
    return false;
  if (Overloaded.m_AtRisk)
    return utilization(Endpoint) < 1;
  return utilization(Endpoint) < MaxReliefRatio * Overloaded.m_Utilization;
}

} // namespace sff::serving
