#include "Core/Placement/SlotPlanner.h"

#include <algorithm>
#include <set>

namespace sff::placement {

namespace {

using ReplicaKey = std::pair<EndpointId, EntryName>;

template <typename Range, typename Value>
bool contains(const Range &List, const Value &Item) {
  return std::ranges::find(List, Item) != List.end();
}

/// Number of lapsed owners of an endpoint whose delayed orders may still take
/// effect: it does not fence, and the owners are not known to be gone.
std::size_t countOwnersWithDelayedOrders(const PlanContext &Context,
                                         const EndpointId &Endpoint) {
  const fold::Ownership *Owned = Context.m_State.findOwnership(Endpoint);
  if (!Owned || contains(Context.m_Fencing, Endpoint))
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      Owned->m_LapsedOwners, [&](const IncarnationId &Owner) {
        return !contains(Context.m_TerminatedControllers, Owner);
      }));
}

bool isOwnedBySelf(const PlanContext &Context, const EndpointId &Endpoint) {
  const fold::Ownership *Owned = Context.m_State.findOwnership(Endpoint);
  return Owned && Owned->m_Owner == Context.m_Self;
}

bool isAdapter(const catalogue::EntrySpec *Spec) {
  return Spec && Spec->m_Kind == catalogue::EntryKind::Adapter;
}

/// True when the slot has to be released regardless of the other slots of the
/// endpoint.
bool mustBeReleased(const PlanContext &Context, const fold::SlotKey &Key,
                    const messages::EndpointInfo &Endpoint) {
  const catalogue::EntrySpec *Spec = Context.m_State.findEntry(Key.first);
  return Endpoint.m_State == "leaving" || !Spec || !Spec->isLoadable() ||
         Key.second >= Spec->m_Replicas ||
         neededBytes(Context.m_State, *Spec) > Endpoint.m_MemoryBytes;
}

/// Slots of one endpoint that have to be released, adapters first.
std::vector<fold::SlotKey>
slotsToReleaseAt(const PlanContext &Context,
                 const messages::EndpointInfo &Endpoint) {
  std::vector<fold::SlotKey> Adapters;
  std::vector<fold::SlotKey> Models;
  std::set<EntryName> KeptModels;
  const auto Slots = Context.m_State.slotsAt(Endpoint.m_Endpoint);
  for (const fold::SlotKey &Key : Slots) {
    if (isAdapter(Context.m_State.findEntry(Key.first)))
      continue;
    if (mustBeReleased(Context, Key, Endpoint))
      Models.push_back(Key);
    else
      KeptModels.insert(Key.first);
  }
  for (const fold::SlotKey &Key : Slots) {
    const catalogue::EntrySpec *Spec = Context.m_State.findEntry(Key.first);
    if (isAdapter(Spec) && (!KeptModels.contains(Spec->m_Base) ||
                            mustBeReleased(Context, Key, Endpoint)))
      Adapters.push_back(Key);
  }
  Adapters.insert(Adapters.end(), Models.begin(), Models.end());
  return Adapters;
}

std::optional<UnloadReason> findSpecChange(const catalogue::EntrySpec &Spec,
                                           const LoadedReplica &Replica) {
  if (Spec.m_Version != Replica.m_Version)
    return UnloadReason::VersionChanged;
  if (Spec.m_Base != Replica.m_Base)
    return UnloadReason::BaseChanged;
  if (Spec.m_WeightBytes != Replica.m_WeightBytes)
    return UnloadReason::WeightChanged;
  return std::nullopt;
}

std::optional<UnloadReason>
unloadReason(const PlanContext &Context,
             const std::set<ReplicaKey> &ReleasedSlots,
             const LoadedReplica &Replica) {
  const catalogue::EntrySpec *Spec = Context.m_State.findEntry(Replica.m_Entry);
  if (!Context.m_State.holdsSlotAt(Replica.m_Entry, Replica.m_Endpoint))
    return UnloadReason::SlotMissing;
  if (!Spec || !Spec->isLoadable() ||
      ReleasedSlots.contains({Replica.m_Endpoint, Replica.m_Entry}))
    return UnloadReason::SlotReleased;
  return findSpecChange(*Spec, Replica);
}

} // namespace

std::int64_t neededBytes(const fold::ClusterState &State,
                         const catalogue::EntrySpec &Spec) {
  std::int64_t Needed = Spec.m_WeightBytes + Spec.requestBytes();
  if (Spec.m_Kind == catalogue::EntryKind::Adapter)
    if (const catalogue::EntrySpec *Base = State.findEntry(Spec.m_Base))
      Needed += Base->m_WeightBytes;
  return Needed;
}

bool mayReceiveDelayedOrders(const PlanContext &Context,
                             const EndpointId &Endpoint) {
  return countOwnersWithDelayedOrders(Context, Endpoint) > 0;
}

std::vector<fold::SlotItem> planReleases(const PlanContext &Context) {
  std::vector<fold::SlotItem> Result;
  for (const messages::EndpointInfo &Endpoint : Context.m_Endpoints) {
    const EndpointId &Id = Endpoint.m_Endpoint;
    // Retiring an endpoint that is gone frees its slots.
    if (Endpoint.m_State == "gone" || !isOwnedBySelf(Context, Id) ||
        mayReceiveDelayedOrders(Context, Id))
      continue;
    for (const fold::SlotKey &Key : slotsToReleaseAt(Context, Endpoint))
      Result.push_back(
          {Key.first, Key.second, Id,
           Context.m_State.findSlot(Key.first, Key.second)->m_Offset,
           Context.m_State.findOwnership(Id)->m_Offset});
  }
  return Result;
}

std::vector<UnloadItem> planUnloads(const PlanContext &Context,
                                    std::span<const LoadedReplica> Loaded) {
  std::set<ReplicaKey> ReleasedSlots;
  for (const fold::SlotItem &Item : planReleases(Context))
    ReleasedSlots.insert({Item.m_Endpoint, Item.m_Entry});
  std::vector<UnloadItem> Adapters;
  std::vector<UnloadItem> Models;
  std::set<ReplicaKey> KeptModels;
  for (const LoadedReplica &Replica : Loaded) {
    if (!Replica.m_Base.empty() || !isOwnedBySelf(Context, Replica.m_Endpoint))
      continue;
    if (const auto Reason = unloadReason(Context, ReleasedSlots, Replica))
      Models.push_back({Replica.m_Endpoint, Replica.m_Entry, *Reason});
    else
      KeptModels.insert({Replica.m_Endpoint, Replica.m_Entry});
  }
  for (const LoadedReplica &Replica : Loaded) {
    if (Replica.m_Base.empty() || !isOwnedBySelf(Context, Replica.m_Endpoint))
      continue;
    auto Reason = unloadReason(Context, ReleasedSlots, Replica);
    if (!Reason && !KeptModels.contains({Replica.m_Endpoint, Replica.m_Base}))
      Reason = UnloadReason::BaseUnloaded;
    if (Reason)
      Adapters.push_back({Replica.m_Endpoint, Replica.m_Entry, *Reason});
  }
  Adapters.insert(Adapters.end(), Models.begin(), Models.end());
  return Adapters;
}

std::int64_t requiredHeadroom(const PlanContext &Context,
                              const EndpointId &Endpoint,
                              std::span<const EntryName> Loaded) {
  const auto OwnerCount = static_cast<std::int64_t>(
      countOwnersWithDelayedOrders(Context, Endpoint));
  if (OwnerCount == 0)
    return 0;
  std::int64_t LargestWeightBytes = 0;
  for (const fold::SlotKey &Key : Context.m_State.slotsAt(Endpoint))
    if (!contains(Loaded, Key.first))
      LargestWeightBytes = std::max(
          LargestWeightBytes,
          Context.m_State.catalogue().at(Key.first).m_LargestWeightBytes);
  return LargestWeightBytes * OwnerCount;
}

} // namespace sff::placement
