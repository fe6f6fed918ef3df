#include "Core/Serving/SwapPlanner.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// Callers of an evicted model within this time are taken to wait for it.
constexpr double HorizonSeconds = 10;
/// Wait of one such caller: a swap from an endpoint's disk.
constexpr double ReloadWaitSeconds = 1.5;
/// An eviction waits for the requests that run on the model.
constexpr double InUseSeconds = 1;

/// Frees at least \p NeededMb by the cheapest models first, or returns nothing.
std::optional<SwapPlan> planOn(const SwapCandidate &Candidate, double SizeMb) {
  SwapPlan Plan{Candidate.m_Endpoint,
                {},
                Candidate.m_Location,
                Candidate.m_LoadSeconds,
                Candidate.m_LoadSeconds};
  double FreeMb = Candidate.m_CapacityMb;
  for (const HeldModel &Model : Candidate.m_Held)
    FreeMb -= Model.m_SizeMb;
  std::vector<const HeldModel *> Order;
  for (const HeldModel &Model : Candidate.m_Held)
    Order.push_back(&Model);
  std::ranges::sort(
      Order, {}, [](const HeldModel *Model) { return evictionCost(*Model); });
  for (const HeldModel *Model : Order) {
    if (FreeMb >= SizeMb)
      break;
    FreeMb += Model->m_SizeMb;
    Plan.m_Evict.push_back(Model->m_Name);
    Plan.m_Cost += evictionCost(*Model);
  }
  if (FreeMb < SizeMb)
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

double evictionCost(const HeldModel &Model) {
  // With other replicas left, waits grow with the load that falls to each.
  double Part = 1;
  if (Model.m_OtherReplicas > 0) {
    const double Load = Model.m_RequestRate / Model.m_OtherReplicas /
                        std::max(Model.m_ReplicaCapacity, 1e-6);
    Part = std::min(1.0, Load * Load);
  }
  const double Waits =
      Model.m_RequestRate * HorizonSeconds * ReloadWaitSeconds * Part;
  return Waits + (Model.m_InUse ? InUseSeconds : 0);
}

std::optional<SwapPlan> planSwap(double SizeMb,
                                 std::span<const SwapCandidate> Candidates) {
  std::optional<SwapPlan> Best;
  for (const SwapCandidate &Candidate : Candidates) {
    auto Plan = planOn(Candidate, SizeMb);
    if (Plan && (!Best || Plan->m_Cost < Best->m_Cost))
      Best = std::move(Plan);
  }
  return Best;
}

} // namespace sff::serving
