#pragma once

#include "Core/Fold/Records.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sff::fold {

/// An entry as folded. Removed entries stay, so that a late change based on
/// version 0 cannot bring them back.
struct CatalogueItem {
  Offset m_Version = 0;
  std::optional<catalogue::EntrySpec> m_Spec;
  /// Largest weights of any version so far. A late load order may name an
  /// earlier version than the present one.
  std::int64_t m_LargestWeightBytes = 0;

  static constexpr auto describe() {
    return std::make_tuple(
        field("v", &CatalogueItem::m_Version),
        field("spec", &CatalogueItem::m_Spec),
        field("max_weight", &CatalogueItem::m_LargestWeightBytes));
  }
};

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

struct Ownership {
  IncarnationId m_Owner; ///< Empty when the endpoint is free.
  Offset m_Offset = 0;   ///< Last valid ownership record; the fencing token.
  bool m_Retired = false;
  /// Earlier owners that lost the endpoint without giving it back. An order
  /// that they sent may still arrive at an endpoint that does not fence. Each
  /// is listed once, and not while it owns the endpoint again: an incarnation
  /// has at most one order outstanding at an endpoint, counted over all the
  /// times that it owned it.
  std::vector<IncarnationId> m_LapsedOwners;

  static constexpr auto describe() {
    return std::make_tuple(field("own", &Ownership::m_Owner),
                           field("off", &Ownership::m_Offset),
                           field("ret", &Ownership::m_Retired),
                           field("lapsed", &Ownership::m_LapsedOwners));
  }
};

struct Slot {
  EndpointId m_Endpoint; ///< Empty when the slot is free.
  Offset m_Offset = 0;   ///< Last valid grant or release.

  static constexpr auto describe() {
    return std::make_tuple(field("ep", &Slot::m_Endpoint),
                           field("off", &Slot::m_Offset));
  }
};

using SlotKey = std::pair<EntryName, std::int64_t>;

/// Why a record, or a part of it, had no effect.
struct Rejection {
  std::string m_Subject; ///< Entry, endpoint or slot; empty for the record.
  std::string m_Reason;
};

/// Effect of one record. A record of several items may be partly rejected.
struct ApplyResult {
  std::vector<Rejection> m_Rejections;
  bool m_Accepted = false; ///< At least one part took effect.
};

/// The state that all processes derive from the control stream.
///
/// apply() is a pure function of the state and the record, so every process
/// that has folded the same offsets holds the same state.
///
/// Thread safety: none; each process folds on one thread and hands out copies.
class ClusterState {
public:
  /// Folds the record at \p Position. Records at or below appliedOffset() are
  /// ignored, so the state never moves backwards.
  ApplyResult apply(Offset Position, const Record &Value);

  /// Moves past an offset that holds no usable record.
  void skip(Offset Position);

  Offset appliedOffset() const { return m_Applied; }

  /// The live specification of an entry, or null.
  const catalogue::EntrySpec *findEntry(const EntryName &Name) const;
  /// Version of an entry, 0 when it never existed.
  Offset versionOf(const EntryName &Name) const;
  const Lease *findLease(const IncarnationId &Incarnation) const;
  const Ownership *findOwnership(const EndpointId &Endpoint) const;
  const Slot *findSlot(const EntryName &Entry, std::int64_t Index) const;
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
  /// True when one of these slots is below the entry's replica count.
  bool hasUsableSlotAt(const EntryName &Entry,
                       const EndpointId &Endpoint) const;
  /// Endpoints that hold a slot of \p Entry, in index order.
  std::vector<EndpointId> endpointsOf(const EntryName &Entry) const;

  /// The whole state as a document, for snapshots.
  nlohmann::json toSnapshot() const;
  /// Fails with codec::DecodeError.
  static boost::leaf::result<ClusterState>
  fromSnapshot(const nlohmann::json &Input);

private:
  void advance(Offset Position);
  ApplyResult applyOne(Offset Position, const CatalogueChange &Value);
  ApplyResult applyOne(Offset Position, const LeaseRenewal &Value);
  ApplyResult applyOne(Offset Position, const LeaseRelease &Value);
  ApplyResult applyOne(Offset Position, const OwnershipClaim &Value);
  ApplyResult applyOne(Offset Position, const OwnershipRelease &Value);
  ApplyResult applyOne(Offset Position, const EndpointRetired &Value);
  ApplyResult applyOne(Offset Position, const SlotGrant &Value);
  ApplyResult applyOne(Offset Position, const SlotRelease &Value);

  const char *checkClaim(const IncarnationId &Claimant,
                         const ClaimItem &Item) const;
  const char *checkGrant(const IncarnationId &Author,
                         const SlotItem &Item) const;
  const char *checkRelease(const IncarnationId &Author,
                           const SlotItem &Item) const;
  bool isBaseOfSlotsAt(const EntryName &Entry,
                       const EndpointId &Endpoint) const;
  void setSlot(const SlotKey &Key, const EndpointId &Endpoint, Offset Position);
  void freeOwnership(Ownership &Item, Offset Position);
  void pruneLeases(Offset Position);

  Offset m_Applied = 0;
  std::map<EntryName, CatalogueItem> m_Catalogue;
  std::map<IncarnationId, Lease> m_Leases;
  std::map<EndpointId, Ownership> m_Ownerships;
  std::map<SlotKey, Slot> m_Slots;
  /// Index over m_Slots by endpoint; derived, so no part of the snapshot.
  std::map<EndpointId, std::set<SlotKey>> m_SlotsAt;
};

} // namespace sff::fold
