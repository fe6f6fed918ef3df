#include "Core/Serving/EngineLoad.h"

#include <algorithm>
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

} // namespace

double sustainableRate(int Slots) { return SustainableRatePerSlot * Slots; }

EngineLoad::EngineLoad(std::span<const EndpointPlacement> Placements,
                       const RateLookup &Rate, double Capacity)
    : m_Capacity(std::max(Capacity, 1e-6)) {
  for (const EndpointPlacement &Placement : Placements) {
    m_Utilization[Placement.m_Endpoint] = 0;
    if (Placement.m_Leaving)
      m_Leaving.insert(Placement.m_Endpoint);
    for (const std::string &Model : Placement.m_Models) {
      ReplicaSet &Replicas = m_Models[Model];
      Replicas.m_RemainingEndpoints += Placement.m_Leaving ? 0 : 1;
      if (Placement.m_AcceptsRequests)
        Replicas.m_Endpoints.push_back(Placement.m_Endpoint);
    }
  }
  for (auto &[Model, Replicas] : m_Models) {
    Replicas.m_Rate = Rate(Model);
    for (const EndpointId &Endpoint : Replicas.m_Endpoints)
      m_Utilization[Endpoint] += Replicas.ratePerReplica() / m_Capacity;
  }
}

double EngineLoad::ReplicaSet::ratePerReplica() const {
  return m_Rate /
         static_cast<double>(std::max<std::size_t>(1, m_Endpoints.size()));
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
  if (Replicas.m_RemainingEndpoints == 0 &&
      Replicas.m_Rate >= MinEarlyReplicaRate)
    return Overload{Model, LowestUtilization, true,
                    Replicas.m_Rate * PlanningHorizonSeconds *
                        SavedColdLoadSeconds};
  if (Replicas.m_Endpoints.empty() || LowestUtilization <= OverloadThreshold)
    return std::nullopt;
  // A replica takes over at most the model's own requests.
  const double ExcessRate =
      std::min((LowestUtilization - OverloadThreshold) * m_Capacity,
               Replicas.ratePerReplica());
  return Overload{Model, LowestUtilization, false,
                  ExcessRate * PlanningHorizonSeconds * SavedWaitSeconds};
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
