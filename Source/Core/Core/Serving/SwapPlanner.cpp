#include "Core/Serving/SwapPlanner.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// Requests for an evicted model within this time are assumed to wait for its
/// reload.
constexpr double PlanningHorizonSeconds = 10;
/// Waiting time of each of these requests: a swap from the endpoint's disk.
constexpr double ReloadWaitSeconds = 1.5;
/// Time that an eviction waits for the model's running requests.
constexpr double DrainSeconds = 1;

/// Makes room for \p SizeMb by evicting the cheapest models first. Returns
/// nothing if the endpoint is too small.
std::optional<SwapPlan> planForEndpoint(const SwapCandidate &Candidate,
                                        double SizeMb) {
  SwapPlan Plan{Candidate.m_Endpoint,
                {},
                Candidate.m_Location,
                Candidate.m_LoadSeconds,
                Candidate.m_LoadSeconds};
  double AvailableMb = Candidate.m_CapacityMb;
  for (const EvictionCandidate &Model : Candidate.m_LoadedModels)
    AvailableMb -= Model.m_SizeMb;
  std::vector<const EvictionCandidate *> ByCost;
  for (const EvictionCandidate &Model : Candidate.m_LoadedModels)
    ByCost.push_back(&Model);
  std::ranges::sort(ByCost, {}, [](const EvictionCandidate *Model) {
    return evictionCost(*Model);
  });
  for (const EvictionCandidate *Model : ByCost) {
    if (AvailableMb >= SizeMb)
      break;
    if (Model->m_IsProtected)
      continue;
    AvailableMb += Model->m_SizeMb;
    Plan.m_Evict.push_back(Model->m_Name);
    Plan.m_Cost += evictionCost(*Model);
  }
  if (AvailableMb < SizeMb)
    return std::nullopt;
  return Plan;
}

} // namespace

loading::WeightLocation locationOf(const Inventory &Held,
                                   std::string_view Model) {
  if (Held.m_InHostMemory.contains(Model))
    return loading::WeightLocation::Memory;
  if (Held.m_OnDisk.contains(Model))
    return loading::WeightLocation::Disk;
  return loading::WeightLocation::Remote;
}

double loadSeconds(const ModelSpec &Model, loading::WeightLocation Location) {
  switch (Location) {
  case loading::WeightLocation::Memory:
    return Model.m_MemoryLoadSeconds;
  case loading::WeightLocation::Disk:
    return Model.m_DiskLoadSeconds;
  case loading::WeightLocation::Remote:
    return Model.m_RemoteLoadSeconds;
  }
  return Model.m_RemoteLoadSeconds;
}

double sizeMb(const ModelSpec &Spec, const ResidentModel &Loaded) {
  return Spec.m_WeightMb +
         Spec.m_AdapterMb * static_cast<double>(Loaded.m_Adapters.size());
}

double evictionCost(const EvictionCandidate &Model) {
  // If other replicas remain, the waiting time grows with the load on each of
  // them.
  double WaitShare = 1;
  if (Model.m_OtherReplicas > 0) {
    const double Load = Model.m_RequestRate / Model.m_OtherReplicas /
                        std::max(Model.m_RatePerReplica, 1e-6);
    WaitShare = std::min(1.0, Load * Load);
  }
  const double WaitSeconds = Model.m_RequestRate * PlanningHorizonSeconds *
                             ReloadWaitSeconds * WaitShare;
  return WaitSeconds + (Model.m_InUse ? DrainSeconds : 0);
}

std::optional<SwapPlan> planSwap(double SizeMb,
                                 std::span<const SwapCandidate> Candidates) {
  std::optional<SwapPlan> Best;
  double BestCost = 0;
  for (const SwapCandidate &Candidate : Candidates) {
    auto Plan = planForEndpoint(Candidate, SizeMb);
    if (!Plan)
      continue;
    const double Cost = Plan->m_Cost + Candidate.m_WorkSeconds;
    if (Best && Cost >= BestCost)
      continue;
    Best = std::move(Plan);
    BestCost = Cost;
  }
  return Best;
}

} // namespace sff::serving
