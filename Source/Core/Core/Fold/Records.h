#pragma once

#include "Common/Codec/Codec.h"
#include "Core/Catalogue/EntrySpec.h"

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sff::fold {

using codec::field;

/// Creates, replaces or removes a catalogue entry.
struct CatalogueChange {
  RecordId m_Id;
  EntryName m_Entry;
  /// Version that the change is based on; 0 when the entry never existed.
  Offset m_BaseVersion = 0;
  /// The new specification; empty to remove the entry.
  std::optional<catalogue::EntrySpec> m_Spec;
  std::string m_Author;

  static constexpr const char *Type = "catalogue_change";
  static constexpr auto describe() {
    return std::make_tuple(field("id", &CatalogueChange::m_Id),
                           field("entry", &CatalogueChange::m_Entry),
                           field("base", &CatalogueChange::m_BaseVersion),
                           field("spec", &CatalogueChange::m_Spec),
                           field("author", &CatalogueChange::m_Author));
  }
};

/// Starts or renews the lease of a controller incarnation.
struct LeaseRenewal {
  RecordId m_Id;
  IncarnationId m_Incarnation;
  /// Offset of the previous renewal; 0 for the first.
  Offset m_Previous = 0;
  // Set in the first renewal only; later ones leave these four fields empty.
  HostId m_Host;
  ZoneId m_Zone;
  std::string m_ControllerAddress;
  std::string m_RouterAddress; ///< Peer address of the host's router.

  static constexpr const char *Type = "lease_renewal";
  static constexpr auto describe() {
    return std::make_tuple(field("id", &LeaseRenewal::m_Id),
                           field("inc", &LeaseRenewal::m_Incarnation),
                           field("prev", &LeaseRenewal::m_Previous),
                           field("host", &LeaseRenewal::m_Host),
                           field("zone", &LeaseRenewal::m_Zone),
                           field("addr", &LeaseRenewal::m_ControllerAddress),
                           field("router", &LeaseRenewal::m_RouterAddress));
  }
};

/// Ends a lease when its controller stops gracefully. Its endpoints become free
/// at once.
struct LeaseRelease {
  RecordId m_Id;
  IncarnationId m_Incarnation;

  static constexpr const char *Type = "lease_release";
  static constexpr auto describe() {
    return std::make_tuple(field("id", &LeaseRelease::m_Id),
                           field("inc", &LeaseRelease::m_Incarnation));
  }
};

/// Claim of one endpoint.
struct ClaimItem {
  EndpointId m_Endpoint;
  /// Offset of the endpoint's last valid ownership record; 0 when it never had
  /// an owner.
  Offset m_PreviousOwnership = 0;
  /// Offset of the last renewal that the claimant has read from the current
  /// owner; 0 when the endpoint is free.
  Offset m_PredecessorRenewal = 0;
  /// Current or earlier owners that the claimant knows to have terminated, so
  /// that no order of theirs can still arrive. They are removed from the lapsed
  /// owners.
  std::vector<IncarnationId> m_TerminatedOwners{};

  static constexpr auto describe() {
    return std::make_tuple(field("ep", &ClaimItem::m_Endpoint),
                           field("prev", &ClaimItem::m_PreviousOwnership),
                           field("seen", &ClaimItem::m_PredecessorRenewal),
                           field("gone", &ClaimItem::m_TerminatedOwners));
  }
};

/// Claims endpoints. The offset of this record is the fencing token of every
/// valid item.
struct OwnershipClaim {
  RecordId m_Id;
  IncarnationId m_Claimant;
  std::vector<ClaimItem> m_Items;

  static constexpr const char *Type = "ownership_claim";
  static constexpr auto describe() {
    return std::make_tuple(field("id", &OwnershipClaim::m_Id),
                           field("inc", &OwnershipClaim::m_Claimant),
                           field("items", &OwnershipClaim::m_Items));
  }
};

/// An endpoint and the ownership under which the author acts.
struct OwnershipItem {
  EndpointId m_Endpoint;
  Offset m_Ownership = 0; ///< Offset of the ownership record.

  static constexpr auto describe() {
    return std::make_tuple(field("ep", &OwnershipItem::m_Endpoint),
                           field("own", &OwnershipItem::m_Ownership));
  }
};

/// Releases endpoints, which become free.
struct OwnershipRelease {
  RecordId m_Id;
  IncarnationId m_Author;
  std::vector<OwnershipItem> m_Items;

  static constexpr const char *Type = "ownership_release";
  static constexpr auto describe() {
    return std::make_tuple(field("id", &OwnershipRelease::m_Id),
                           field("inc", &OwnershipRelease::m_Author),
                           field("items", &OwnershipRelease::m_Items));
  }
};

/// Records that an endpoint has been removed permanently, which frees its
/// slots.
struct EndpointRetired {
  RecordId m_Id;
  IncarnationId m_Author;
  OwnershipItem m_Item;

  static constexpr const char *Type = "endpoint_retired";
  static constexpr auto describe() {
    return std::make_tuple(field("id", &EndpointRetired::m_Id),
                           field("inc", &EndpointRetired::m_Author),
                           field("item", &EndpointRetired::m_Item));
  }
};

/// One slot in a grant or release.
struct SlotItem {
  EntryName m_Entry;
  std::int64_t m_Index = 0;
  EndpointId m_Endpoint;
  /// Offset of the slot's last valid record; 0 when it was never granted.
  Offset m_Previous = 0;
  /// Offset of the ownership record under which the author acts. It prevents a
  /// delayed duplicate from taking effect after the author has lost the
  /// endpoint and claimed it again.
  Offset m_Ownership = 0;

  static constexpr auto describe() {
    return std::make_tuple(field("e", &SlotItem::m_Entry),
                           field("i", &SlotItem::m_Index),
                           field("ep", &SlotItem::m_Endpoint),
                           field("prev", &SlotItem::m_Previous),
                           field("own", &SlotItem::m_Ownership));
  }
};

/// Assigns free slots to endpoints that the author owns.
struct SlotGrant {
  RecordId m_Id;
  IncarnationId m_Author;
  std::vector<SlotItem> m_Items;

  static constexpr const char *Type = "slot_grant";
  static constexpr auto describe() {
    return std::make_tuple(field("id", &SlotGrant::m_Id),
                           field("inc", &SlotGrant::m_Author),
                           field("items", &SlotGrant::m_Items));
  }
};

/// Frees slots. Precondition for the author: the endpoint has confirmed that
/// the replica is unloaded and that no load of it is in progress. Once the
/// author has sent the record, it must not order a load under the slot until
/// ClusterState has rejected the release, because the record may be appended
/// with a delay.
struct SlotRelease {
  RecordId m_Id;
  IncarnationId m_Author;
  std::vector<SlotItem> m_Items;

  static constexpr const char *Type = "slot_release";
  static constexpr auto describe() {
    return std::make_tuple(field("id", &SlotRelease::m_Id),
                           field("inc", &SlotRelease::m_Author),
                           field("items", &SlotRelease::m_Items));
  }
};

/// A record of the control stream.
using Record =
    std::variant<CatalogueChange, LeaseRenewal, LeaseRelease, OwnershipClaim,
                 OwnershipRelease, EndpointRetired, SlotGrant, SlotRelease>;

/// Encodes a record as an object with its fields and its type under "type".
nlohmann::json toJson(const Record &Value);

/// Decodes a record. Fails with codec::DecodeError when the record type is
/// unknown or a field has the wrong type.
boost::leaf::result<Record> fromJson(const nlohmann::json &Input);

const RecordId &idOf(const Record &Value);

} // namespace sff::fold
