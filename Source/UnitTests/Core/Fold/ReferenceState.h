#pragma once

#include "Core/Fold/ClusterState.h"

#include <algorithm>

namespace sff::test {

using namespace sff::fold;

/// Reference implementation of ClusterState for tests: stores every valid item
/// in a list and answers each query by scanning the whole list. It shares no
/// data structure with ClusterState.
class ReferenceState {
public:
  struct Effect {
    Offset m_At;
    /// Holds exactly one item if its type has a list of items.
    Record m_Record;
  };

  /// Returns the number of accepted items and of rejected items.
  std::pair<int, int> apply(Offset At, const Record &Value) {
    m_Head = At;
    int Valid = 0;
    int Rejected = 0;
    for (const Record &Single : splitItems(Value)) {
      const bool IsValid =
          std::visit([&](const auto &Item) { return isValid(Item); }, Single);
      ++(IsValid ? Valid : Rejected);
      if (IsValid)
        m_Effects.push_back({At, Single});
    }
    return {Valid, Rejected};
  }

  CatalogueItem entry(const EntryName &Name) const {
    CatalogueItem Result;
    for (const auto &[At, Value] : m_Effects)
      if (const auto *Item = std::get_if<CatalogueChange>(&Value);
          Item && Item->m_Entry == Name)
        Result = {At, Item->m_Spec,
                  std::max(Result.m_LargestWeightBytes,
                           Item->m_Spec ? Item->m_Spec->m_WeightBytes : 0)};
    return Result;
  }

  std::optional<Lease> lease(const IncarnationId &Id) const {
    std::optional<Lease> Result;
    for (std::size_t Index = 0; Index < m_Effects.size(); ++Index) {
      const auto &[At, Value] = m_Effects[Index];
      if (isPruned(Id, Result, Index, At))
        Result.reset();
      const auto *Renewal = std::get_if<LeaseRenewal>(&Value);
      if (Renewal && Renewal->m_Incarnation == Id) {
        if (!Result)
          Result = Lease{{}, {}, "", "", At, At, false};
        Result->m_LastRenewal = At;
      }
      const auto *End = std::get_if<LeaseRelease>(&Value);
      if (End && End->m_Incarnation == Id)
        Result->m_Released = true;
    }
    if (isPruned(Id, Result, m_Effects.size(), m_Head))
      Result.reset();
    return Result;
  }

  Ownership ownership(const EndpointId &Id) const {
    return ownershipAt(Id, m_Effects.size());
  }

  Slot slot(const EntryName &Entry, std::int64_t Index) const {
    Slot Result;
    for (const auto &[At, Value] : m_Effects) {
      const auto *Retired = std::get_if<EndpointRetired>(&Value);
      if (Retired && Retired->m_Item.m_Endpoint == Result.m_Endpoint)
        Result = {{}, At};
      const auto *Grant = std::get_if<SlotGrant>(&Value);
      if (Grant && isSlot(Grant->m_Items[0], Entry, Index))
        Result = {Grant->m_Items[0].m_Endpoint, At};
      const auto *Free = std::get_if<SlotRelease>(&Value);
      if (Free && isSlot(Free->m_Items[0], Entry, Index))
        Result = {{}, At};
    }
    return Result;
  }

private:
  static bool isSlot(const SlotItem &Item, const EntryName &Entry,
                     std::int64_t Index) {
    return Item.m_Entry == Entry && Item.m_Index == Index;
  }

  static std::vector<Record> splitItems(const Record &Value) {
    std::vector<Record> Result;
    std::visit(
        [&](const auto &Whole) {
          if constexpr (requires { Whole.m_Items; }) {
            for (const auto &Item : Whole.m_Items) {
              auto Single = Whole;
              Single.m_Items = {Item};
              Result.push_back(Single);
            }
          } else {
            Result.push_back(Whole);
          }
        },
        Value);
    return Result;
  }

  Ownership ownershipAt(const EndpointId &Id, std::size_t Count) const {
    Ownership Result;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const auto &[At, Value] = m_Effects[Index];
      if (const auto *Claim = std::get_if<OwnershipClaim>(&Value);
          Claim && Claim->m_Items[0].m_Endpoint == Id)
        Result = {Claim->m_Claimant, At, false,
                  lapsedOwners(Result, Claim->m_Claimant, Claim->m_Items[0])};
      const auto *Free = std::get_if<OwnershipRelease>(&Value);
      const auto *End = std::get_if<LeaseRelease>(&Value);
      if ((Free && Free->m_Items[0].m_Endpoint == Id) ||
          (End && End->m_Incarnation == Result.m_Owner))
        Result = {{}, At, Result.m_Retired, Result.m_LapsedOwners};
      const auto *Retired = std::get_if<EndpointRetired>(&Value);
      if (Retired && Retired->m_Item.m_Endpoint == Id)
        Result = {{}, At, true, {}};
    }
    return Result;
  }

  static std::vector<IncarnationId> lapsedOwners(const Ownership &Before,
                                                 const IncarnationId &Claimant,
                                                 const ClaimItem &Item) {
    std::vector<IncarnationId> All = Before.m_LapsedOwners;
    All.push_back(Before.m_Owner);
    std::vector<IncarnationId> Result;
    for (const IncarnationId &Owner : All)
      if (!Owner.empty() && Owner != Claimant &&
          !std::ranges::count(Result, Owner) &&
          !std::ranges::count(Item.m_TerminatedOwners, Owner))
        Result.push_back(Owner);
    return Result;
  }

  /// True if the lease is pruned between the effect before \p Index and \p At:
  /// the interval contains a multiple of 1024 that is more than 100,000 offsets
  /// after the last renewal, and the incarnation owns no endpoint.
  bool isPruned(const IncarnationId &Id, const std::optional<Lease> &Known,
                std::size_t Index, Offset At) const {
    const Offset Before = Index == 0 ? 0 : m_Effects[Index - 1].m_At;
    const Offset Boundary = At / 1024 * 1024;
    if (!Known || Boundary <= Before ||
        Known->m_LastRenewal + 100000 >= Boundary)
      return false;
    return std::ranges::none_of(m_Effects, [&](const Effect &Item) {
      const auto *Claim = std::get_if<OwnershipClaim>(&Item.m_Record);
      return Claim &&
             ownershipAt(Claim->m_Items[0].m_Endpoint, Index).m_Owner == Id;
    });
  }

  bool owns(const IncarnationId &Id, const EndpointId &Endpoint,
            Offset At) const {
    const Ownership Current = ownership(Endpoint);
    return !Id.empty() && Current.m_Owner == Id && Current.m_Offset == At;
  }

  /// All assigned slots with their endpoints.
  std::vector<std::pair<SlotKey, EndpointId>> assignedSlots() const {
    std::vector<std::pair<SlotKey, EndpointId>> Result;
    for (const auto &[At, Value] : m_Effects)
      if (const auto *Grant = std::get_if<SlotGrant>(&Value)) {
        const SlotItem &Item = Grant->m_Items[0];
        const Slot Now = slot(Item.m_Entry, Item.m_Index);
        if (!Now.m_Endpoint.empty() && Now.m_Offset == At)
          Result.push_back({{Item.m_Entry, Item.m_Index}, Now.m_Endpoint});
      }
    return Result;
  }

  bool isValid(const CatalogueChange &Value) const {
    const CatalogueItem Current = entry(Value.m_Entry);
    return Current.m_Version == Value.m_BaseVersion &&
           (Value.m_Spec ? isWellFormed(Value.m_Entry, *Value.m_Spec)
                         : Current.m_Spec.has_value());
  }
  bool isValid(const LeaseRenewal &Value) const {
    const auto Known = lease(Value.m_Incarnation);
    return !Value.m_Incarnation.empty() &&
           (Known
                ? !Known->m_Released && Known->m_LastRenewal == Value.m_Previous
                : Value.m_Previous == 0);
  }
  bool isValid(const LeaseRelease &Value) const {
    const auto Known = lease(Value.m_Incarnation);
    return Known && !Known->m_Released;
  }
  bool isValid(const OwnershipClaim &Value) const {
    const ClaimItem &Item = Value.m_Items[0];
    const auto Claimant = lease(Value.m_Claimant);
    const Ownership Current = ownership(Item.m_Endpoint);
    const auto Owner = lease(Current.m_Owner);
    return Claimant && !Claimant->m_Released && !Item.m_Endpoint.empty() &&
           Current.m_Offset == Item.m_PreviousOwnership &&
           Current.m_Owner != Value.m_Claimant &&
           (!Owner || Owner->m_LastRenewal == Item.m_PredecessorRenewal);
  }
  bool isValid(const OwnershipRelease &Value) const {
    return owns(Value.m_Author, Value.m_Items[0].m_Endpoint,
                Value.m_Items[0].m_Ownership);
  }
  bool isValid(const EndpointRetired &Value) const {
    return owns(Value.m_Author, Value.m_Item.m_Endpoint,
                Value.m_Item.m_Ownership);
  }
  bool isValid(const SlotGrant &Value) const {
    const SlotItem &Item = Value.m_Items[0];
    const auto Spec = entry(Item.m_Entry).m_Spec;
    const Slot Current = slot(Item.m_Entry, Item.m_Index);
    if (!Spec || !Spec->isLoadable() || !Current.m_Endpoint.empty() ||
        Current.m_Offset != Item.m_Previous || Item.m_Index < 0 ||
        Item.m_Index >= Spec->m_Replicas ||
        !owns(Value.m_Author, Item.m_Endpoint, Item.m_Ownership))
      return false;
    std::int64_t SlotsOfEntry = 0;
    bool AlreadyApplied = false;
    bool HasBase = false;
    for (const auto &[Key, Endpoint] : assignedSlots()) {
      SlotsOfEntry += Key.first == Item.m_Entry;
      AlreadyApplied |=
          Key.first == Item.m_Entry && Endpoint == Item.m_Endpoint;
      HasBase |= Key.first == Spec->m_Base && Endpoint == Item.m_Endpoint;
    }
    const auto Base = entry(Spec->m_Base).m_Spec;
    const bool IsAdapter = Spec->m_Kind == catalogue::EntryKind::Adapter;
    return SlotsOfEntry < Spec->m_Replicas && !AlreadyApplied &&
           (!IsAdapter ||
            (HasBase && Base && Base->m_Kind == catalogue::EntryKind::Model));
  }
  bool isValid(const SlotRelease &Value) const {
    const SlotItem &Item = Value.m_Items[0];
    const Slot Current = slot(Item.m_Entry, Item.m_Index);
    if (Current.m_Endpoint.empty() || Current.m_Offset != Item.m_Previous ||
        !owns(Value.m_Author, Current.m_Endpoint, Item.m_Ownership))
      return false;
    const auto Own = entry(Item.m_Entry).m_Spec;
    if (Own && Own->m_Kind == catalogue::EntryKind::Adapter)
      return true;
    return std::ranges::none_of(assignedSlots(), [&](const auto &Pair) {
      const auto Spec = entry(Pair.first.first).m_Spec;
      return Pair.second == Current.m_Endpoint && Spec &&
             Spec->m_Kind == catalogue::EntryKind::Adapter &&
             Spec->m_Base == Item.m_Entry;
    });
  }

  Offset m_Head = 0;
  std::vector<Effect> m_Effects;
};

} // namespace sff::test
