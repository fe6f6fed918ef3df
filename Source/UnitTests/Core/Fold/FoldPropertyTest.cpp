#include "CoreFixtures.h"
#include "Fold/NaiveFold.h"

#include "StepGenerator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sff::fold {
namespace {

const std::vector<std::string> Incarnations = {"a", "b", ""};
const std::vector<std::string> Endpoints = {"e", "f", "g"};
const std::vector<std::string> Entries = {"m", "n", "s", "t"};
constexpr std::int64_t SlotCount = 3;

/// Reads small choices from one generated number.
class Choices {
public:
  explicit Choices(std::uint64_t Bits) : m_Bits(Bits) {}
  std::size_t below(std::size_t Bound) {
    const auto Result = static_cast<std::size_t>(m_Bits % Bound);
    m_Bits /= Bound;
    return Result;
  }
  const std::string &of(const std::vector<std::string> &List) {
    return List[below(List.size())];
  }

private:
  std::uint64_t m_Bits;
};

/// Makes records as an author would who has folded a given state. Records that
/// land later, or twice, act on a state that has changed since.
class Author {
public:
  Author(const ClusterState &State, Choices &Pick)
      : m_State(State), m_Pick(Pick) {}

  Record make() {
    switch (m_Pick.below(15)) {
    case 0:
    case 1:
      return makeChange();
    case 2:
    case 3:
      return makeRenewal();
    case 4:
      return m_Pick.below(4) ? makeRenewal()
                             : Record(LeaseRelease{{}, makeIncarnation()});
    case 5:
    case 6:
    case 7:
      return makeClaim();
    case 8:
      return makeFree();
    case 9:
    case 10:
      return makeSlots<SlotRelease>();
    default:
      return makeSlots<SlotGrant>();
    }
  }

private:
  IncarnationId makeIncarnation() {
    return IncarnationId(m_Pick.of(Incarnations));
  }
  /// Mostly the owner, so that a good part of the records is valid.
  IncarnationId makeAuthor(const EndpointId &Endpoint) {
    const Ownership *Owned = m_State.findOwnership(Endpoint);
    return Owned && m_Pick.below(8) ? Owned->m_Owner : makeIncarnation();
  }
  template <typename T> Record makeSlots() {
    T Value{{}, {}, {makeSlot(), makeSlot()}};
    Value.m_Author = makeAuthor(Value.m_Items[0].m_Endpoint);
    return Value;
  }
  Record makeChange() {
    const EntryName Name(m_Pick.of(Entries));
    CatalogueChange Change{{}, Name, m_State.versionOf(Name), {}, ""};
    const auto Replicas =
        static_cast<std::int64_t>(m_Pick.below(SlotCount)) + 1;
    // Names from "s" on are mostly adapters of the names before.
    const bool IsLate = Name.str() >= "s";
    if (m_Pick.below(8) == 0)
      return Change;
    if (m_Pick.below(8) == 0)
      Change.m_Spec = test::makeAdapter(m_Pick.of(Entries), Replicas);
    else if (IsLate)
      Change.m_Spec = test::makeAdapter(m_Pick.below(2) ? "m" : "n", Replicas);
    else
      Change.m_Spec = test::makeModel(Replicas);
    return Change;
  }
  Record makeRenewal() {
    const IncarnationId Id = makeIncarnation();
    const Lease *Known = m_State.findLease(Id);
    return LeaseRenewal{{}, Id, Known ? Known->m_LastRenewal : 0, {}, {},
                        "", ""};
  }
  Record makeClaim() {
    OwnershipClaim Claim{{}, makeIncarnation(), {}};
    for (const std::string &Name : Endpoints) {
      ClaimItem Item{EndpointId(Name), ownershipOf(Name), 0, {}};
      if (const Ownership *Owned = m_State.findOwnership(Item.m_Endpoint)) {
        if (const Lease *Known = m_State.findLease(Owned->m_Owner))
          Item.m_PredecessorRenewal = Known->m_LastRenewal;
        if (m_Pick.below(3) == 0)
          Item.m_GoneOwners = Owned->m_LapsedOwners;
      }
      if (m_Pick.below(2) || Name == Endpoints.back())
        Claim.m_Items.push_back(Item);
    }
    return Claim;
  }
  Record makeFree() {
    const std::string &Name = m_Pick.of(Endpoints);
    const OwnedEndpoint Item{EndpointId(Name), ownershipOf(Name)};
    const IncarnationId Id = makeAuthor(Item.m_Endpoint);
    if (m_Pick.below(2))
      return OwnershipRelease{{}, Id, {Item}};
    return EndpointRetired{{}, Id, Item};
  }
  SlotItem makeSlot() {
    const EntryName Name(m_Pick.of(Entries));
    const auto Index = static_cast<std::int64_t>(m_Pick.below(SlotCount));
    const Slot *Known = m_State.findSlot(Name, Index);
    std::string Endpoint = m_Pick.of(Endpoints);
    if (Known && !Known->m_Endpoint.empty())
      Endpoint = Known->m_Endpoint.str();
    return {Name, Index, EndpointId(Endpoint), Known ? Known->m_Offset : 0,
            ownershipOf(Endpoint)};
  }
  Offset ownershipOf(const std::string &Endpoint) const {
    const Ownership *Owned = m_State.findOwnership(EndpointId(Endpoint));
    return Owned ? Owned->m_Offset : 0;
  }

  const ClusterState &m_State;
  Choices &m_Pick;
};

void compare(const ClusterState &State, const test::NaiveFold &Naive) {
  std::size_t Assigned = 0;
  for (const std::string &Name : Entries) {
    const CatalogueItem Item = Naive.entry(EntryName(Name));
    RC_ASSERT(State.versionOf(EntryName(Name)) == Item.m_Version);
    RC_ASSERT((State.findEntry(EntryName(Name)) != nullptr) ==
              Item.m_Spec.has_value());
    for (std::int64_t Index = 0; Index < SlotCount; ++Index) {
      const Slot *Known = State.findSlot(EntryName(Name), Index);
      const Slot Expected = Naive.slot(EntryName(Name), Index);
      RC_ASSERT((Known ? Known->m_Endpoint : EndpointId()) ==
                Expected.m_Endpoint);
      Assigned += !Expected.m_Endpoint.empty();
      RC_ASSERT((Known ? Known->m_Offset : 0) == Expected.m_Offset);
    }
  }
  for (const std::string &Name : Endpoints) {
    const Ownership *Known = State.findOwnership(EndpointId(Name));
    const Ownership Expected = Naive.ownership(EndpointId(Name));
    RC_ASSERT((Known ? nlohmann::json(*Known) : nlohmann::json(Ownership{})) ==
              nlohmann::json(Expected));
  }
  for (const std::string &Name : Endpoints)
    Assigned -= State.slotsAt(EndpointId(Name)).size();
  RC_ASSERT(Assigned == 0u);
  for (const std::string &Name : Incarnations) {
    const Lease *Known = State.findLease(IncarnationId(Name));
    const auto Expected = Naive.lease(IncarnationId(Name));
    RC_ASSERT((Known != nullptr) == Expected.has_value());
    if (Known)
      RC_ASSERT(nlohmann::json(*Known) == nlohmann::json(*Expected));
  }
}

/// Slots of every entry lie on different endpoints and, once a grant has taken
/// effect, do not outnumber the replicas.
void checkSlots(const ClusterState &State, const Record &Value,
                const ApplyResult &Result) {
  for (const std::string &Name : Entries) {
    auto Holders = State.endpointsOf(EntryName(Name));
    const auto Count = std::ssize(Holders);
    std::ranges::sort(Holders);
    RC_ASSERT(std::ranges::adjacent_find(Holders) == Holders.end());
    for (const EndpointId &Holder : Holders)
      RC_ASSERT(State.holdsSlotAt(EntryName(Name), Holder));
    const auto *Grant = std::get_if<SlotGrant>(&Value);
    if (!Grant || Result.m_Rejections.size() == Grant->m_Items.size())
      continue;
    for (const SlotItem &Item : Grant->m_Items)
      if (const Slot *Known = State.findSlot(Item.m_Entry, Item.m_Index);
          Known && Known->m_Offset == State.appliedOffset() &&
          Item.m_Entry.str() == Name)
        RC_ASSERT(Count <= State.findEntry(EntryName(Name))->m_Replicas);
  }
}

void checkNothingReverts(const ClusterState &Before,
                         const ClusterState &After) {
  for (const auto &[Name, Item] : Before.catalogue())
    RC_ASSERT(After.versionOf(Name) >= Item.m_Version);
  for (const auto &[Key, Item] : Before.slots())
    RC_ASSERT(After.findSlot(Key.first, Key.second)->m_Offset >= Item.m_Offset);
  for (const auto &[Endpoint, Item] : Before.ownerships()) {
    const Ownership *Now = After.findOwnership(Endpoint);
    RC_ASSERT(Now->m_Owner == Item.m_Owner || Now->m_Offset > Item.m_Offset);
    RC_ASSERT(Now->m_Offset >= Item.m_Offset);
  }
  for (const auto &[Id, Item] : Before.leases())
    if (const Lease *Now = After.findLease(Id))
      RC_ASSERT(Now->m_LastRenewal >= Item.m_LastRenewal);
}

// Guards against a fold that judges a late, repeated or shuffled record in
// another way than the record table says. Authors whose append answer was lost
// act again on the state they see, while their first record is still under way.
RC_GTEST_PROP(FoldPropertyTest, AgreesWithTheDirectDefinition, ()) {
  const auto Steps = *test::genSteps(400);
  ClusterState State;
  test::NaiveFold Naive;
  std::vector<Record> UnderWay;
  Offset Head = 0;
  int Released = 0;
  for (const std::uint64_t Bits : Steps) {
    Choices Pick(Bits);
    UnderWay.push_back(Author(State, Pick).make());
    // Half of the time the newest record lands, else an older one does.
    const std::size_t Index =
        Pick.below(2) ? UnderWay.size() - 1 : Pick.below(UnderWay.size());
    const Record Value = UnderWay[Index];
    if (Pick.below(4) != 0)
      UnderWay.erase(UnderWay.begin() + static_cast<std::ptrdiff_t>(Index));
    Head += Pick.below(40) == 0 ? 70000 : 1;
    const ClusterState Before = State;
    const ApplyResult Result = State.apply(Head, Value);
    const auto [Valid, Rejected] = Naive.apply(Head, Value);
    RC_ASSERT(Result.m_Accepted == (Valid > 0));
    // A claim without a lease is rejected as a whole, with one reason.
    if (Valid > 0)
      RC_ASSERT(std::ssize(Result.m_Rejections) == Rejected);
    else
      RC_ASSERT(!Result.m_Rejections.empty());
    Released += std::holds_alternative<SlotRelease>(Value) ? Valid : 0;
    compare(State, Naive);
    checkSlots(State, Value, Result);
    checkNothingReverts(Before, State);
    RC_ASSERT(!State.apply(Head, Value).m_Accepted);
    if (Pick.below(8) == 0) {
      const auto Restored = ClusterState::fromSnapshot(State.toSnapshot());
      RC_ASSERT(static_cast<bool>(Restored));
      RC_ASSERT(Restored->toSnapshot() == State.toSnapshot());
      State = *Restored;
    }
  }
  RC_CLASSIFY(Released > 0, "slots released");
}

} // namespace
} // namespace sff::fold
