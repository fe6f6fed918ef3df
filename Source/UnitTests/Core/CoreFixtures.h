#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Messages/ControllerMessages.h"

namespace sff::test {

constexpr std::int64_t GiB = std::int64_t(1) << 30;

inline catalogue::EntrySpec makeModel(std::int64_t Replicas,
                                      std::int64_t WeightBytes = GiB) {
  catalogue::EntrySpec Spec;
  Spec.m_Team = "team";
  Spec.m_Replicas = Replicas;
  Spec.m_WeightBytes = WeightBytes;
  Spec.m_BytesPerToken = 1;
  return Spec;
}

inline catalogue::EntrySpec makeAdapter(const std::string &Base,
                                        std::int64_t Replicas = 1) {
  catalogue::EntrySpec Spec = makeModel(Replicas, GiB / 16);
  Spec.m_Kind = catalogue::EntryKind::Adapter;
  Spec.m_Base = EntryName(Base);
  return Spec;
}

inline messages::EndpointInfo makeEngine(const std::string &Name,
                                         const std::string &Zone,
                                         const std::string &State = "live",
                                         std::int64_t MemoryBytes = 64 * GiB) {
  return {EndpointId(Name), "", ZoneId(Zone), "engine", State, "", MemoryBytes};
}

/// Applies records to a state under consecutive offsets.
struct StateBuilder {
  fold::ClusterState m_State;
  Offset m_Head = 0;

  template <typename T> fold::ApplyResult add(T Value) {
    Value.m_Id = RecordId(std::to_string(++m_Head));
    return m_State.apply(m_Head, Value);
  }
  fold::ApplyResult publish(const std::string &Name,
                            std::optional<catalogue::EntrySpec> Spec) {
    const EntryName Entry(Name);
    return add(fold::CatalogueChange{
        {}, Entry, m_State.versionOf(Entry), std::move(Spec), "op"});
  }
  fold::ApplyResult renew(const std::string &Incarnation,
                          const std::string &Zone = "") {
    const IncarnationId Id(Incarnation);
    const fold::Lease *Lease = m_State.findLease(Id);
    return add(fold::LeaseRenewal{{},
                                  Id,
                                  Lease ? Lease->m_LastRenewal : 0,
                                  HostId(Incarnation),
                                  ZoneId(Zone),
                                  "",
                                  ""});
  }
  /// Claims the endpoint with the ownership and renewal offsets of the current
  /// state.
  fold::ApplyResult claim(const std::string &Claimant,
                          const std::string &Endpoint) {
    fold::ClaimItem Item{EndpointId(Endpoint)};
    if (const auto *Owned = m_State.findOwnership(Item.m_Endpoint)) {
      Item.m_PreviousOwnership = Owned->m_Offset;
      if (const auto *Lease = m_State.findLease(Owned->m_Owner))
        Item.m_PredecessorRenewal = Lease->m_LastRenewal;
    }
    return add(fold::OwnershipClaim{{}, IncarnationId(Claimant), {Item}});
  }
  fold::SlotItem item(const std::string &Entry, std::int64_t Index,
                      const std::string &Endpoint) const {
    const EndpointId Id(Endpoint);
    const fold::Slot *Slot = m_State.findSlot(EntryName(Entry), Index);
    const fold::Ownership *Owned = m_State.findOwnership(Id);
    return {EntryName(Entry), Index, Id, Slot ? Slot->m_Offset : 0,
            Owned ? Owned->m_Offset : 0};
  }
  fold::ApplyResult grant(const std::string &Author, const std::string &Entry,
                          std::int64_t Index, const std::string &Endpoint) {
    return add(fold::SlotGrant{
        {}, IncarnationId(Author), {item(Entry, Index, Endpoint)}});
  }
  fold::ApplyResult release(const std::string &Author, const std::string &Entry,
                            std::int64_t Index, const std::string &Endpoint) {
    return add(fold::SlotRelease{
        {}, IncarnationId(Author), {item(Entry, Index, Endpoint)}});
  }
};

} // namespace sff::test
