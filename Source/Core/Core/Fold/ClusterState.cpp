#include "Core/Fold/ClusterState.h"

#include <algorithm>

namespace sff::fold {

namespace {

/// A lease that owns no endpoint is removed this many offsets after its last
/// renewal. A delayed duplicate of its first renewal then creates a lease that
/// owns nothing, which is harmless.
constexpr Offset LeaseRetentionOffsets = 100000;
constexpr Offset PruneIntervalOffsets = 1024;
/// Upper bound on the lapsed owners stored per endpoint. A claim that would
/// exceed it is valid only if it names a lapsed owner that has terminated.
constexpr std::size_t MaxLapsedOwners = 8;

ApplyResult accepted() { return {{}, true}; }

ApplyResult rejected(std::string Subject, std::string Reason) {
  return {{{std::move(Subject), std::move(Reason)}}, false};
}

std::string slotName(const SlotItem &Item) {
  return Item.m_Entry.str() + "/" + std::to_string(Item.m_Index);
}

/// Validates the items in order and applies those that pass. Each item is
/// validated against the state left by the items before it.
template <typename Items, typename Check, typename Effect, typename Name>
ApplyResult applyEach(const Items &List, Check CheckItem, Effect ApplyItem,
                      Name ItemName) {
  ApplyResult Result;
  for (const auto &Item : List) {
    if (const char *Reason = CheckItem(Item)) {
      Result.m_Rejections.push_back({ItemName(Item), Reason});
      continue;
    }
    ApplyItem(Item);
    Result.m_Accepted = true;
  }
  return Result;
}

/// Returns the lapsed owners of an endpoint after \p Claimant has claimed it.
std::vector<IncarnationId> lapsedOwnersAfter(const Ownership &Current,
                                             const IncarnationId &Claimant,
                                             const ClaimItem &Item) {
  std::vector<IncarnationId> Result = Current.m_LapsedOwners;
  if (!Current.m_Owner.empty() &&
      std::ranges::find(Result, Current.m_Owner) == Result.end())
    Result.push_back(Current.m_Owner);
  std::erase_if(Result, [&](const IncarnationId &Owner) {
    return Owner == Claimant ||
           std::ranges::find(Item.m_TerminatedOwners, Owner) !=
               Item.m_TerminatedOwners.end();
  });
  return Result;
}

} // namespace

ApplyResult ClusterState::apply(Offset Position, const Record &Value) {
  if (Position <= m_AppliedOffset)
    return rejected("", "offset already applied");
  advanceTo(Position);
  return std::visit(
      [&](const auto &Item) { return applyRecord(Position, Item); }, Value);
}

void ClusterState::skip(Offset Position) {
  if (Position > m_AppliedOffset)
    advanceTo(Position);
}

void ClusterState::advanceTo(Offset Position) {
  // Prunes for the boundary even if its record was unusable or never read, so
  // that the result depends on offsets only and is the same in every process.
  const Offset Boundary = Position - Position % PruneIntervalOffsets;
  if (Boundary > m_AppliedOffset)
    pruneLeases(Boundary);
  m_AppliedOffset = Position;
}

ApplyResult ClusterState::applyRecord(Offset Position,
                                      const CatalogueChange &Change) {
  if (versionOf(Change.m_Entry) != Change.m_BaseVersion)
    return rejected(Change.m_Entry.str(),
                    "based on version " + std::to_string(Change.m_BaseVersion) +
                        " but the current version is " +
                        std::to_string(versionOf(Change.m_Entry)));
  if (Change.m_Spec && !catalogue::isWellFormed(Change.m_Entry, *Change.m_Spec))
    return rejected(Change.m_Entry.str(), "the specification is not valid");
  if (!Change.m_Spec && !findEntry(Change.m_Entry))
    return rejected(Change.m_Entry.str(), "there is no such entry");
  CatalogueItem &Item = m_Catalogue[Change.m_Entry];
  Item.m_Version = Position;
  Item.m_Spec = Change.m_Spec;
  if (Change.m_Spec)
    Item.m_LargestWeightBytes =
        std::max(Item.m_LargestWeightBytes, Change.m_Spec->m_WeightBytes);
  return accepted();
}

ApplyResult ClusterState::applyRecord(Offset Position,
                                      const LeaseRenewal &Renewal) {
  if (Renewal.m_Incarnation.empty())
    return rejected("", "no incarnation");
  const auto It = m_Leases.find(Renewal.m_Incarnation);
  if (It == m_Leases.end()) {
    if (Renewal.m_Previous != 0)
      return rejected(Renewal.m_Incarnation.str(), "the lease is unknown");
    m_Leases[Renewal.m_Incarnation] = {Renewal.m_Host,
                                       Renewal.m_Zone,
                                       Renewal.m_ControllerAddress,
                                       Renewal.m_RouterAddress,
                                       Position,
                                       Position,
                                       false};
    return accepted();
  }
  Lease &Current = It->second;
  if (Current.m_Released)
    return rejected(Renewal.m_Incarnation.str(), "the lease was released");
  if (Current.m_LastRenewal != Renewal.m_Previous)
    return rejected(Renewal.m_Incarnation.str(), "not the last renewal");
  Current.m_LastRenewal = Position;
  return accepted();
}

void ClusterState::clearOwner(Ownership &Item, Offset Position) {
  Item.m_Owner = {};
  Item.m_Offset = Position;
}

ApplyResult ClusterState::applyRecord(Offset Position,
                                      const LeaseRelease &Release) {
  const auto It = m_Leases.find(Release.m_Incarnation);
  if (It == m_Leases.end() || It->second.m_Released)
    return rejected(Release.m_Incarnation.str(), "no lease to release");
  It->second.m_Released = true;
  for (auto &[Endpoint, Item] : m_Ownerships)
    if (Item.m_Owner == Release.m_Incarnation)
      clearOwner(Item, Position);
  return accepted();
}

const char *ClusterState::checkClaim(const IncarnationId &Claimant,
                                     const ClaimItem &Item) const {
  if (Item.m_Endpoint.empty())
    return "no endpoint";
  const Ownership *Current = findOwnership(Item.m_Endpoint);
  if ((Current ? Current->m_Offset : 0) != Item.m_PreviousOwnership)
    return "the ownership has changed";
  if (!Current || Current->m_Owner.empty())
    return nullptr;
  if (Current->m_Owner == Claimant)
    return "the claimant owns the endpoint";
  if (lapsedOwnersAfter(*Current, Claimant, Item).size() > MaxLapsedOwners)
    return "too many lapsed owners";
  const Lease *Predecessor = findLease(Current->m_Owner);
  if (Predecessor && Predecessor->m_LastRenewal != Item.m_PredecessorRenewal)
    return "the owner has renewed its lease";
  return nullptr;
}

ApplyResult ClusterState::applyRecord(Offset Position,
                                      const OwnershipClaim &Claim) {
  const Lease *Claimant = findLease(Claim.m_Claimant);
  if (!Claimant || Claimant->m_Released)
    return rejected(Claim.m_Claimant.str(), "the claimant holds no lease");
  return applyEach(
      Claim.m_Items,
      [&](const ClaimItem &Item) { return checkClaim(Claim.m_Claimant, Item); },
      [&](const ClaimItem &Item) {
        Ownership &Current = m_Ownerships[Item.m_Endpoint];
        Current.m_LapsedOwners =
            lapsedOwnersAfter(Current, Claim.m_Claimant, Item);
        Current.m_Owner = Claim.m_Claimant;
        Current.m_Offset = Position;
        Current.m_Retired = false;
      },
      [](const ClaimItem &Item) { return Item.m_Endpoint.str(); });
}

ApplyResult ClusterState::applyRecord(Offset Position,
                                      const OwnershipRelease &Release) {
  return applyEach(
      Release.m_Items,
      [&](const OwnershipItem &Item) {
        return isOwner(Release.m_Author, Item.m_Endpoint, Item.m_Ownership)
                   ? nullptr
                   : "the author does not own the endpoint";
      },
      [&](const OwnershipItem &Item) {
        clearOwner(m_Ownerships[Item.m_Endpoint], Position);
      },
      [](const OwnershipItem &Item) { return Item.m_Endpoint.str(); });
}

ApplyResult ClusterState::applyRecord(Offset Position,
                                      const EndpointRetired &Retirement) {
  const OwnershipItem &Item = Retirement.m_Item;
  if (!isOwner(Retirement.m_Author, Item.m_Endpoint, Item.m_Ownership))
    return rejected(Item.m_Endpoint.str(),
                    "the author does not own the endpoint");
  for (const SlotKey &Key : slotsAt(Item.m_Endpoint))
    setSlot(Key, EndpointId(), Position);
  m_Ownerships[Item.m_Endpoint] = {IncarnationId(), Position, true, {}};
  return accepted();
}

bool ClusterState::holdsSlotAt(const EntryName &Entry,
                               const EndpointId &Endpoint) const {
  const auto It = m_SlotsByEndpoint.find(Endpoint);
  if (It == m_SlotsByEndpoint.end())
    return false;
  const auto Held = It->second.lower_bound({Entry, 0});
  return Held != It->second.end() && Held->first == Entry;
}

bool ClusterState::isBaseOfSlotsAt(const EntryName &Entry,
                                   const EndpointId &Endpoint) const {
  const auto IsAdapter = [](const catalogue::EntrySpec *Spec) {
    return Spec && Spec->m_Kind == catalogue::EntryKind::Adapter;
  };
  // An entry that was changed into an adapter no longer counts as a base.
  // Otherwise two adapters that name each other as base could never be
  // released.
  if (IsAdapter(findEntry(Entry)))
    return false;
  const auto It = m_SlotsByEndpoint.find(Endpoint);
  return It != m_SlotsByEndpoint.end() &&
         std::ranges::any_of(It->second, [&](const SlotKey &Key) {
           const catalogue::EntrySpec *Spec = findEntry(Key.first);
           return IsAdapter(Spec) && Spec->m_Base == Entry;
         });
}

bool ClusterState::hasUsableSlotAt(const EntryName &Entry,
                                   const EndpointId &Endpoint) const {
  const catalogue::EntrySpec *Spec = findEntry(Entry);
  const auto It = m_SlotsByEndpoint.find(Endpoint);
  if (!Spec || It == m_SlotsByEndpoint.end())
    return false;
  const auto Held = It->second.lower_bound({Entry, 0});
  return Held != It->second.end() && Held->first == Entry &&
         Held->second < Spec->m_Replicas;
}

void ClusterState::setSlot(const SlotKey &Key, const EndpointId &Endpoint,
                           Offset Position) {
  Slot &Current = m_Slots[Key];
  if (const auto It = m_SlotsByEndpoint.find(Current.m_Endpoint);
      It != m_SlotsByEndpoint.end()) {
    It->second.erase(Key);
    if (It->second.empty())
      m_SlotsByEndpoint.erase(It);
  }
  if (!Endpoint.empty())
    m_SlotsByEndpoint[Endpoint].insert(Key);
  Current = {Endpoint, Position};
}

const char *ClusterState::checkGrant(const IncarnationId &Author,
                                     const SlotItem &Item) const {
  const catalogue::EntrySpec *Spec = findEntry(Item.m_Entry);
  if (!Spec || !Spec->isLoadable())
    return "no such model or adapter";
  if (Item.m_Index < 0 || Item.m_Index >= Spec->m_Replicas)
    return "the index is not below the replica count";
  const Slot *Current = findSlot(Item.m_Entry, Item.m_Index);
  if ((Current ? Current->m_Offset : 0) != Item.m_Previous)
    return "the slot has changed";
  if (Current && !Current->m_Endpoint.empty())
    return "the slot is assigned";
  if (!isOwner(Author, Item.m_Endpoint, Item.m_Ownership))
    return "the author does not own the endpoint";
  const auto Assigned =
      static_cast<std::int64_t>(endpointsOf(Item.m_Entry).size());
  if (Assigned >= Spec->m_Replicas)
    return "slots above a lowered count are still assigned";
  if (holdsSlotAt(Item.m_Entry, Item.m_Endpoint))
    return "the endpoint already holds a slot of the entry";
  if (Spec->m_Kind != catalogue::EntryKind::Adapter)
    return nullptr;
  const catalogue::EntrySpec *Base = findEntry(Spec->m_Base);
  if (!Base || Base->m_Kind != catalogue::EntryKind::Model)
    return "the base is not a model";
  if (!holdsSlotAt(Spec->m_Base, Item.m_Endpoint))
    return "the base has no slot at the endpoint";
  return nullptr;
}

ApplyResult ClusterState::applyRecord(Offset Position, const SlotGrant &Grant) {
  return applyEach(
      Grant.m_Items,
      [&](const SlotItem &Item) { return checkGrant(Grant.m_Author, Item); },
      [&](const SlotItem &Item) {
        setSlot({Item.m_Entry, Item.m_Index}, Item.m_Endpoint, Position);
      },
      slotName);
}

const char *ClusterState::checkRelease(const IncarnationId &Author,
                                       const SlotItem &Item) const {
  const Slot *Current = findSlot(Item.m_Entry, Item.m_Index);
  if (!Current || Current->m_Endpoint.empty() ||
      Current->m_Offset != Item.m_Previous)
    return "the slot has changed";
  if (!isOwner(Author, Current->m_Endpoint, Item.m_Ownership))
    return "the author does not own the endpoint";
  if (isBaseOfSlotsAt(Item.m_Entry, Current->m_Endpoint))
    return "adapters of the entry have slots at the endpoint";
  return nullptr;
}

ApplyResult ClusterState::applyRecord(Offset Position,
                                      const SlotRelease &Release) {
  return applyEach(
      Release.m_Items,
      [&](const SlotItem &Item) {
        return checkRelease(Release.m_Author, Item);
      },
      [&](const SlotItem &Item) {
        setSlot({Item.m_Entry, Item.m_Index}, EndpointId(), Position);
      },
      slotName);
}

void ClusterState::pruneLeases(Offset Position) {
  std::set<IncarnationId> Owners;
  for (const auto &[Endpoint, Item] : m_Ownerships)
    Owners.insert(Item.m_Owner);
  std::erase_if(m_Leases, [&](const auto &Pair) {
    return !Owners.contains(Pair.first) &&
           Pair.second.m_LastRenewal + LeaseRetentionOffsets < Position;
  });
}

const catalogue::EntrySpec *
ClusterState::findEntry(const EntryName &Name) const {
  const auto It = m_Catalogue.find(Name);
  if (It == m_Catalogue.end() || !It->second.m_Spec)
    return nullptr;
  return &*It->second.m_Spec;
}

Offset ClusterState::versionOf(const EntryName &Name) const {
  const auto It = m_Catalogue.find(Name);
  return It == m_Catalogue.end() ? 0 : It->second.m_Version;
}

const Lease *ClusterState::findLease(const IncarnationId &Incarnation) const {
  const auto It = m_Leases.find(Incarnation);
  return It == m_Leases.end() ? nullptr : &It->second;
}

const Ownership *ClusterState::findOwnership(const EndpointId &Endpoint) const {
  const auto It = m_Ownerships.find(Endpoint);
  return It == m_Ownerships.end() ? nullptr : &It->second;
}

const Slot *ClusterState::findSlot(const EntryName &Entry,
                                   std::int64_t Index) const {
  const auto It = m_Slots.find({Entry, Index});
  return It == m_Slots.end() ? nullptr : &It->second;
}

bool ClusterState::isOwner(const IncarnationId &Incarnation,
                           const EndpointId &Endpoint, Offset Token) const {
  const Ownership *Current = findOwnership(Endpoint);
  return Current && !Incarnation.empty() && Current->m_Owner == Incarnation &&
         Current->m_Offset == Token;
}

std::vector<SlotKey> ClusterState::slotsAt(const EndpointId &Endpoint) const {
  const auto It = m_SlotsByEndpoint.find(Endpoint);
  if (It == m_SlotsByEndpoint.end())
    return {};
  return {It->second.begin(), It->second.end()};
}

std::vector<EndpointId>
ClusterState::endpointsOf(const EntryName &Entry) const {
  std::vector<EndpointId> Result;
  for (auto It = m_Slots.lower_bound({Entry, 0});
       It != m_Slots.end() && It->first.first == Entry; ++It)
    if (!It->second.m_Endpoint.empty())
      Result.push_back(It->second.m_Endpoint);
  return Result;
}

namespace {

/// Serialized form of ClusterState. Maps are stored as lists of pairs because
/// JSON object keys can only be strings.
struct SnapshotDocument {
  Offset m_AppliedOffset = 0;
  std::vector<std::pair<EntryName, CatalogueItem>> m_Catalogue;
  std::vector<std::pair<IncarnationId, Lease>> m_Leases;
  std::vector<std::pair<EndpointId, Ownership>> m_Ownerships;
  std::vector<std::pair<SlotKey, Slot>> m_Slots;

  static constexpr auto describe() {
    return std::make_tuple(field("applied", &SnapshotDocument::m_AppliedOffset),
                           field("catalogue", &SnapshotDocument::m_Catalogue),
                           field("leases", &SnapshotDocument::m_Leases),
                           field("ownerships", &SnapshotDocument::m_Ownerships),
                           field("slots", &SnapshotDocument::m_Slots));
  }
};

} // namespace

nlohmann::json ClusterState::toSnapshot() const {
  return SnapshotDocument{m_AppliedOffset,
                          {m_Catalogue.begin(), m_Catalogue.end()},
                          {m_Leases.begin(), m_Leases.end()},
                          {m_Ownerships.begin(), m_Ownerships.end()},
                          {m_Slots.begin(), m_Slots.end()}};
}

boost::leaf::result<ClusterState>
ClusterState::fromSnapshot(const nlohmann::json &Input) {
  BOOST_LEAF_AUTO(Document, codec::fromJson<SnapshotDocument>(Input));
  ClusterState Result;
  Result.m_AppliedOffset = Document.m_AppliedOffset;
  Result.m_Catalogue = {Document.m_Catalogue.begin(),
                        Document.m_Catalogue.end()};
  Result.m_Leases = {Document.m_Leases.begin(), Document.m_Leases.end()};
  Result.m_Ownerships = {Document.m_Ownerships.begin(),
                         Document.m_Ownerships.end()};
  for (const auto &[Key, Item] : Document.m_Slots)
    Result.setSlot(Key, Item.m_Endpoint, Item.m_Offset);
  return Result;
}

} // namespace sff::fold
