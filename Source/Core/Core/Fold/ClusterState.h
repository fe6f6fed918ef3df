#pragma once

#include "Core/Fold/Records.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sff::fold {

/// State of a catalogue entry. Removed entries are kept without a
/// specification, so that a delayed change based on version 0 cannot recreate
/// them.
struct CatalogueItem {
  Offset m_Version = 0;
  std::optional<catalogue::EntrySpec> m_Spec;
  /// Largest weight size of any version so far. A delayed load order may name
  /// a version older than the current one.
  std::int64_t m_LargestWeightBytes = 0;

  static constexpr auto describe() {
    return std::make_tuple(
        field("v", &CatalogueItem::m_Version),
        field("spec", &CatalogueItem::m_Spec),
        field("max_weight", &CatalogueItem::m_LargestWeightBytes));
  }
};

/// Lease of a controller incarnation.
struct Lease {
  HostId m_Host;
  ZoneId m_Zone;
  std::string m_ControllerAddress;
  std::string m_RouterAddress;
  Offset m_FirstRenewal = 0;
  Offset m_LastRenewal = 0;
  bool m_Released = false;

  static constexpr auto describe() {
    return std::make_tuple(
        field("host", &Lease::m_Host), field("zone", &Lease::m_Zone),
        field("addr", &Lease::m_ControllerAddress),
        field("router", &Lease::m_RouterAddress),
        field("first", &Lease::m_FirstRenewal),
        field("last", &Lease::m_LastRenewal), field("rel", &Lease::m_Released));
  }
};

/// Ownership of an endpoint.
struct Ownership {
  IncarnationId m_Owner; ///< Empty when the endpoint has no owner.
  /// Offset of the last valid ownership record; serves as the fencing token.
  Offset m_Offset = 0;
  bool m_Retired = false;
  /// Earlier owners that were replaced without releasing the endpoint. An order
  /// that they sent may still reach an endpoint that does not check fencing
  /// tokens. Each is listed once, and not while it owns the endpoint again: an
  /// incarnation has at most one order outstanding at such an endpoint, counted
  /// over all periods in which it owned it.
  std::vector<IncarnationId> m_LapsedOwners;

  static constexpr auto describe() {
    return std::make_tuple(field("own", &Ownership::m_Owner),
                           field("off", &Ownership::m_Offset),
                           field("ret", &Ownership::m_Retired),
                           field("lapsed", &Ownership::m_LapsedOwners));
  }
};

/// Assignment of one replica slot of an entry.
struct Slot {
  EndpointId m_Endpoint; ///< Empty when the slot is free.
  Offset m_Offset = 0;   ///< Offset of the last valid grant or release.

  static constexpr auto describe() {
    return std::make_tuple(field("ep", &Slot::m_Endpoint),
                           field("off", &Slot::m_Offset));
  }
};

/// Entry and slot index.
using SlotKey = std::pair<EntryName, std::int64_t>;

/// Reason why a record, or one of its items, had no effect.
struct Rejection {
  /// Entry, endpoint, slot or incarnation that the reason concerns; empty when
  /// it concerns the record as a whole.
  std::string m_Subject;
  std::string m_Reason;
};

/// Result of applying one record. A record with several items may be accepted
/// in part.
struct ApplyResult {
  std::vector<Rejection> m_Rejections;
  bool m_Accepted = false; ///< True when at least one item took effect.
};

/// Replicated state machine that every process builds from the control stream.
///
/// apply() is deterministic: its result depends only on the state, the offset
/// and the record. Processes that have applied the same offsets therefore hold
/// the same state.
///
/// Thread safety: none; each process applies records on one thread and gives
/// copies to other threads.
class ClusterState {
public:
  /// Applies the record at \p Position. Records at or below appliedOffset() are
  /// rejected without effect, so the state never moves backwards.
  ApplyResult apply(Offset Position, const Record &Value);

  /// Advances past an offset that holds no usable record.
  void skip(Offset Position);

  Offset appliedOffset() const { return m_AppliedOffset; }

  /// Current specification of an entry; null when the entry does not exist or
  /// was removed.
  const catalogue::EntrySpec *findEntry(const EntryName &Name) const;
  /// Version of an entry; 0 when it never existed.
  Offset versionOf(const EntryName &Name) const;
  const Lease *findLease(const IncarnationId &Incarnation) const;
  const Ownership *findOwnership(const EndpointId &Endpoint) const;
  const Slot *findSlot(const EntryName &Entry, std::int64_t Index) const;
  /// True when \p Incarnation owns \p Endpoint under the fencing token
  /// \p Token.
  bool isOwner(const IncarnationId &Incarnation, const EndpointId &Endpoint,
               Offset Token) const;

  const std::map<EntryName, CatalogueItem> &catalogue() const {
    return m_Catalogue;
  }
  const std::map<IncarnationId, Lease> &leases() const { return m_Leases; }
  const std::map<EndpointId, Ownership> &ownerships() const {
    return m_Ownerships;
  }
  const std::map<SlotKey, Slot> &slots() const { return m_Slots; }

  /// Slots that are assigned to \p Endpoint.
  std::vector<SlotKey> slotsAt(const EndpointId &Endpoint) const;
  /// True when \p Endpoint holds a slot of \p Entry.
  bool holdsSlotAt(const EntryName &Entry, const EndpointId &Endpoint) const;
  /// True when \p Endpoint holds a slot of \p Entry whose index is below the
  /// entry's replica count.
  bool hasUsableSlotAt(const EntryName &Entry,
                       const EndpointId &Endpoint) const;
  /// Endpoints that hold a slot of \p Entry, in index order.
  std::vector<EndpointId> endpointsOf(const EntryName &Entry) const;

  /// Serializes the whole state for a snapshot.
  nlohmann::json toSnapshot() const;
  /// Restores the state from the result of toSnapshot(). Fails with
  /// codec::DecodeError.
  static boost::leaf::result<ClusterState>
  fromSnapshot(const nlohmann::json &Input);

private:
  /// Sets the applied offset and prunes leases when a pruning boundary was
  /// passed.
  void advanceTo(Offset Position);
  ApplyResult applyRecord(Offset Position, const CatalogueChange &Change);
  ApplyResult applyRecord(Offset Position, const LeaseRenewal &Renewal);
  ApplyResult applyRecord(Offset Position, const LeaseRelease &Release);
  ApplyResult applyRecord(Offset Position, const OwnershipClaim &Claim);
  ApplyResult applyRecord(Offset Position, const OwnershipRelease &Release);
  ApplyResult applyRecord(Offset Position, const EndpointRetired &Retirement);
  ApplyResult applyRecord(Offset Position, const SlotGrant &Grant);
  ApplyResult applyRecord(Offset Position, const SlotRelease &Release);

  // These return the reason for a rejection, or null when the item is valid.
  const char *checkClaim(const IncarnationId &Claimant,
                         const ClaimItem &Item) const;
  const char *checkGrant(const IncarnationId &Author,
                         const SlotItem &Item) const;
  const char *checkRelease(const IncarnationId &Author,
                           const SlotItem &Item) const;
  /// True when \p Endpoint holds a slot of an adapter whose base is \p Entry.
  bool isBaseOfSlotsAt(const EntryName &Entry,
                       const EndpointId &Endpoint) const;
  void setSlot(const SlotKey &Key, const EndpointId &Endpoint, Offset Position);
  void clearOwner(Ownership &Item, Offset Position);
  void pruneLeases(Offset Position);

  Offset m_AppliedOffset = 0;
  std::map<EntryName, CatalogueItem> m_Catalogue;
  std::map<IncarnationId, Lease> m_Leases;
  std::map<EndpointId, Ownership> m_Ownerships;
  std::map<SlotKey, Slot> m_Slots;
  /// Index of m_Slots by endpoint. It is derived and therefore not part of the
  /// snapshot.
  std::map<EndpointId, std::set<SlotKey>> m_SlotsByEndpoint;
};

} // namespace sff::fold
