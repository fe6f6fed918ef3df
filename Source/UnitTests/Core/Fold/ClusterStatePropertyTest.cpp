#include "CoreFixtures.h"
#include "Fold/ReferenceState.h"

#include "StepGenerator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sff::fold {
namespace {

const std::vector<std::string> Incarnations = {"a", "b", ""};
const std::vector<std::string> Endpoints = {"e", "f", "g"};
const std::vector<std::string> Entries = {"m", "n", "s", "t"};
constexpr std::int64_t SlotCount = 3;

/// Decodes a sequence of bounded choices from one generated number.
class Choices {
public:
  explicit Choices(std::uint64_t Bits) : m_Bits(Bits) {}
  std::size_t pickBelow(std::size_t Bound) {
    const auto Result = static_cast<std::size_t>(m_Bits % Bound);
    m_Bits /= Bound;
    return Result;
  }
  const std::string &pickFrom(const std::vector<std::string> &List) {
    return List[pickBelow(List.size())];
  }

private:
  std::uint64_t m_Bits;
};

/// Generates records as a controller with the given state would write them.
/// Records that are appended later, or twice, meet a state that has changed in
/// the meantime.
class RecordGenerator {
public:
  RecordGenerator(const ClusterState &State, Choices &Pick)
      : m_State(State), m_Choices(Pick) {}

  Record make() {
    switch (m_Choices.pickBelow(15)) {
    case 0:
    case 1:
      return makeChange();
    case 2:
    case 3:
      return makeRenewal();
    case 4:
      return m_Choices.pickBelow(4)
                 ? makeRenewal()
                 : Record(LeaseRelease{{}, makeIncarnation()});
    case 5:
    case 6:
    case 7:
      return makeClaim();
    case 8:
      return makeReleaseOrRetirement();
    case 9:
    case 10:
      return makeSlots<SlotRelease>();
    default:
      return makeSlots<SlotGrant>();
    }
  }

private:
  IncarnationId makeIncarnation() {
    return IncarnationId(m_Choices.pickFrom(Incarnations));
  }
  /// Returns the owner in most cases, so that a large share of the records is
  /// valid.
  IncarnationId makeAuthor(const EndpointId &Endpoint) {
    const Ownership *Owned = m_State.findOwnership(Endpoint);
    return Owned && m_Choices.pickBelow(8) ? Owned->m_Owner : makeIncarnation();
  }
  template <typename T> Record makeSlots() {
    T Value{{}, {}, {makeSlot(), makeSlot()}};
    Value.m_Author = makeAuthor(Value.m_Items[0].m_Endpoint);
    return Value;
  }
  Record makeChange() {
    const EntryName Name(m_Choices.pickFrom(Entries));
    CatalogueChange Change{{}, Name, m_State.versionOf(Name), {}, ""};
    const auto Replicas =
        static_cast<std::int64_t>(m_Choices.pickBelow(SlotCount)) + 1;
    // Entries named "s" and above are mostly adapters of the other entries.
    const bool IsAdapterName = Name.str() >= "s";
    if (m_Choices.pickBelow(8) == 0)
      return Change;
    if (m_Choices.pickBelow(8) == 0)
      Change.m_Spec = test::makeAdapter(m_Choices.pickFrom(Entries), Replicas);
    else if (IsAdapterName)
      Change.m_Spec =
          test::makeAdapter(m_Choices.pickBelow(2) ? "m" : "n", Replicas);
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
        if (m_Choices.pickBelow(3) == 0)
          Item.m_TerminatedOwners = Owned->m_LapsedOwners;
      }
      if (m_Choices.pickBelow(2) || Name == Endpoints.back())
        Claim.m_Items.push_back(Item);
    }
    return Claim;
  }
  Record makeReleaseOrRetirement() {
    const std::string &Name = m_Choices.pickFrom(Endpoints);
    const OwnershipItem Item{EndpointId(Name), ownershipOf(Name)};
    const IncarnationId Id = makeAuthor(Item.m_Endpoint);
    if (m_Choices.pickBelow(2))
      return OwnershipRelease{{}, Id, {Item}};
    return EndpointRetired{{}, Id, Item};
  }
  SlotItem makeSlot() {
    const EntryName Name(m_Choices.pickFrom(Entries));
    const auto Index =
        static_cast<std::int64_t>(m_Choices.pickBelow(SlotCount));
    const Slot *Known = m_State.findSlot(Name, Index);
    std::string Endpoint = m_Choices.pickFrom(Endpoints);
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
  Choices &m_Choices;
};

void compareStates(const ClusterState &State,
                   const test::ReferenceState &Reference) {
  std::size_t Assigned = 0;
  for (const std::string &Name : Entries) {
    const CatalogueItem Item = Reference.entry(EntryName(Name));
    RC_ASSERT(State.versionOf(EntryName(Name)) == Item.m_Version);
    RC_ASSERT((State.findEntry(EntryName(Name)) != nullptr) ==
              Item.m_Spec.has_value());
    for (std::int64_t Index = 0; Index < SlotCount; ++Index) {
      const Slot *Known = State.findSlot(EntryName(Name), Index);
      const Slot Expected = Reference.slot(EntryName(Name), Index);
      RC_ASSERT((Known ? Known->m_Endpoint : EndpointId()) ==
                Expected.m_Endpoint);
      Assigned += !Expected.m_Endpoint.empty();
      RC_ASSERT((Known ? Known->m_Offset : 0) == Expected.m_Offset);
    }
  }
  for (const std::string &Name : Endpoints) {
    const Ownership *Known = State.findOwnership(EndpointId(Name));
    const Ownership Expected = Reference.ownership(EndpointId(Name));
    RC_ASSERT((Known ? nlohmann::json(*Known) : nlohmann::json(Ownership{})) ==
              nlohmann::json(Expected));
  }
  for (const std::string &Name : Endpoints)
    Assigned -= State.slotsAt(EndpointId(Name)).size();
  RC_ASSERT(Assigned == 0u);
  for (const std::string &Name : Incarnations) {
    const Lease *Known = State.findLease(IncarnationId(Name));
    const auto Expected = Reference.lease(IncarnationId(Name));
    RC_ASSERT((Known != nullptr) == Expected.has_value());
    if (Known)
      RC_ASSERT(nlohmann::json(*Known) == nlohmann::json(*Expected));
  }
}

/// Checks that the slots of every entry are at different endpoints and that
/// after an accepted grant there are no more slots than replicas.
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

// ClusterState must accept and reject delayed, duplicated and reordered records
// exactly as the reference does. Such records occur when the answer to an
// append is lost: the author acts again on the state it has, while its first
// record is still in flight.
RC_GTEST_PROP(ClusterStatePropertyTest, AgreesWithTheReferenceState, ()) {
  const auto Steps = *test::genSteps(400);
  ClusterState State;
  test::ReferenceState Reference;
  std::vector<Record> InFlight;
  Offset Head = 0;
  int ReleasedSlots = 0;
  for (const std::uint64_t Bits : Steps) {
    Choices Pick(Bits);
    InFlight.push_back(RecordGenerator(State, Pick).make());
    // Appends the newest record in half of the cases, otherwise any record that
    // is in flight.
    const std::size_t Index = Pick.pickBelow(2)
                                  ? InFlight.size() - 1
                                  : Pick.pickBelow(InFlight.size());
    const Record Value = InFlight[Index];
    if (Pick.pickBelow(4) != 0)
      InFlight.erase(InFlight.begin() + static_cast<std::ptrdiff_t>(Index));
    Head += Pick.pickBelow(40) == 0 ? 70000 : 1;
    const ClusterState Before = State;
    const ApplyResult Result = State.apply(Head, Value);
    const auto [Valid, Rejected] = Reference.apply(Head, Value);
    RC_ASSERT(Result.m_Accepted == (Valid > 0));
    // A claim without a lease is rejected as a whole, with one reason.
    if (Valid > 0)
      RC_ASSERT(std::ssize(Result.m_Rejections) == Rejected);
    else
      RC_ASSERT(!Result.m_Rejections.empty());
    ReleasedSlots += std::holds_alternative<SlotRelease>(Value) ? Valid : 0;
    compareStates(State, Reference);
    checkSlots(State, Value, Result);
    checkNothingReverts(Before, State);
    RC_ASSERT(!State.apply(Head, Value).m_Accepted);
    if (Pick.pickBelow(8) == 0) {
      const auto Restored = ClusterState::fromSnapshot(State.toSnapshot());
      RC_ASSERT(static_cast<bool>(Restored));
      RC_ASSERT(Restored->toSnapshot() == State.toSnapshot());
      State = *Restored;
    }
  }
  RC_CLASSIFY(ReleasedSlots > 0, "slots released");
}

} // namespace
} // namespace sff::fold
