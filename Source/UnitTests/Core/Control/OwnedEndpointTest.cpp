#include "Core/Control/OwnedEndpoint.h"

#include <gtest/gtest.h>

namespace sff::control {
namespace {

using messages::BorrowCredits;
using messages::BorrowOutcome;
using std::chrono::seconds;

constexpr Offset Token = 3;
constexpr std::int64_t MemoryBytes = 1000;
const IncarnationId Self("self");
const EndpointId Endpoint("e1");

class OwnedEndpointTest : public ::testing::Test {
protected:
  OwnedEndpointTest() { makeOwned(true); }

  void makeOwned(bool EnforcesFencing) {
    messages::EndpointInfo Info;
    Info.m_Endpoint = Endpoint;
    Info.m_Kind = "engine";
    Info.m_State = "live";
    Info.m_MemoryBytes = MemoryBytes;
    m_Owned.emplace(Info, Token, EnforcesFencing, EndpointTimes{});
    m_State = fold::ClusterState();
    m_State.apply(1, fold::LeaseRenewal{RecordId("l"), Self, 0, HostId("h"),
                                        ZoneId("z"), "", ""});
    m_State.skip(2);
    m_State.apply(
        3, fold::OwnershipClaim{RecordId("c"), Self, {{Endpoint, 0, 0}}});
  }

  /// Publishes an entry with one replica and grants its slot at the endpoint.
  void addModel(const std::string &Name, std::int64_t WeightBytes,
                const std::string &Version = "1") {
    const EntryName Entry(Name);
    catalogue::EntrySpec Spec;
    Spec.m_Team = "team";
    Spec.m_Version = Version;
    Spec.m_WeightBytes = WeightBytes;
    Spec.m_BytesPerToken = 1;
    Spec.m_MaxTokens = 10;
    m_State.apply(nextOffset(),
                  fold::CatalogueChange{makeId<RecordId>(), Entry,
                                        m_State.versionOf(Entry), Spec, "op"});
    if (m_State.endpointsOf(Entry).empty())
      m_State.apply(nextOffset(),
                    fold::SlotGrant{makeId<RecordId>(),
                                    Self,
                                    {{Entry, 0, Endpoint, 0, Token}}});
  }

  void removeModel(const std::string &Name) {
    const EntryName Entry(Name);
    m_State.apply(
        nextOffset(),
        fold::CatalogueChange{
            makeId<RecordId>(), Entry, m_State.versionOf(Entry), {}, "op"});
  }

  Offset nextOffset() const { return m_State.appliedOffset() + 1; }

  Inventory inventory() {
    Inventory Result;
    Result.m_Incarnation = m_Incarnation;
    Result.m_MemoryBytes = MemoryBytes;
    Result.m_HighestToken = Token;
    return Result;
  }

  /// Completes the takeover, including the wait until the loans of the previous
  /// owner have expired.
  void takeOver() {
    m_Owned->onTokenRejected(m_Now);
    m_Now += seconds(5);
    m_Owned->onInventory(inventory(), m_Now);
  }

  std::optional<messages::BorrowCreditsReply> borrow(const std::string &Name) {
    BorrowCredits Request;
    Request.m_Loan = makeId<LoanId>();
    Request.m_Router = IncarnationId("router");
    Request.m_Entry = EntryName(Name);
    Request.m_Endpoint = Endpoint;
    Request.m_Waiting = 1;
    Request.m_Deadline = seconds(10);
    return m_Owned->tryBorrow(Request, m_State, m_Authority, m_Now);
  }

  std::vector<PlannedOrder> plan() {
    return m_Owned->planOrders(
        {m_State, m_Eviction, m_Authority, Self, {}, m_Now});
  }

  void load(const std::string &Name) {
    EXPECT_FALSE(borrow(Name));
    const auto Orders = plan();
    ASSERT_EQ(Orders.size(), 1u);
    m_Owned->onOrderResult(Orders[0].m_Request.m_OrderId, OrderResult::Done,
                           m_Now);
  }

  Instant m_Now = Instant() + std::chrono::hours(1);
  std::string m_Incarnation = "first";
  fold::ClusterState m_State;
  loading::EvictionPolicy m_Eviction{loading::EvictionWeights{}};

  Authority m_Authority{true, false};
  std::optional<OwnedEndpoint> m_Owned;
};

// The controller must not send orders or lend credits before it has read the
// inventory and the loans of the previous owner have expired.
TEST_F(OwnedEndpointTest, DoesNothingUntilTheTakeoverIsComplete) {
  addModel("m", 100);
  EXPECT_FALSE(borrow("m"));
  EXPECT_TRUE(plan().empty());
  m_Owned->onTokenRejected(m_Now);
  EXPECT_TRUE(plan().empty());
  Inventory Report = inventory();
  Report.m_Models.push_back({EntryName("m"), "ready", "1", 100, {}});
  m_Owned->onInventory(Report, m_Now);
  EXPECT_FALSE(borrow("m")) << "the predecessor's loans may still be live";
  m_Now += seconds(5);
  m_Owned->onInventory(Report, m_Now);
  EXPECT_EQ(borrow("m")->m_Outcome, BorrowOutcome::Granted);
}

TEST_F(OwnedEndpointTest, LoadsOnceForManyRequestsAndThenLends) {
  takeOver();
  addModel("m", 100);
  EXPECT_FALSE(borrow("m"));
  EXPECT_FALSE(borrow("m"));
  const auto Orders = plan();
  ASSERT_EQ(Orders.size(), 1u);
  EXPECT_EQ(Orders[0].m_Request.m_Kind, "load");
  EXPECT_TRUE(Orders[0].m_NeedsPermit);
  EXPECT_TRUE(plan().empty()) << "the load is outstanding";
  m_Owned->onOrderResult(Orders[0].m_Request.m_OrderId, OrderResult::Done,
                         m_Now);
  EXPECT_EQ(borrow("m")->m_Outcome, BorrowOutcome::Granted);
}

// A load must not be ordered into memory that another replica still uses.
TEST_F(OwnedEndpointTest, UnloadsAnIdleReplicaBeforeLoadingAnother) {
  takeOver();
  addModel("a", 900);
  addModel("b", 900);
  load("a");
  m_Now += seconds(5); // The demand for the first model expires.
  EXPECT_FALSE(borrow("b"));
  auto Orders = plan();
  ASSERT_EQ(Orders.size(), 1u);
  EXPECT_EQ(Orders[0].m_Request.m_Kind, "unload");
  EXPECT_TRUE(plan().empty());
  m_Owned->onOrderResult(Orders[0].m_Request.m_OrderId, OrderResult::Done,
                         m_Now);
  Orders = plan();
  ASSERT_EQ(Orders.size(), 1u);
  EXPECT_EQ(Orders[0].m_Request.m_Model, EntryName("b"));
}

// A replica must not be unloaded while requests run on it.
TEST_F(OwnedEndpointTest, KeepsAReplicaWhileCreditsAreLent) {
  takeOver();
  addModel("a", 900);
  addModel("b", 900);
  load("a");
  ASSERT_EQ(borrow("a")->m_Outcome, BorrowOutcome::Granted);
  EXPECT_FALSE(borrow("b"));
  EXPECT_TRUE(plan().empty());
}

// A paused owner that resumes after its lease has expired must not act on an
// endpoint that would execute its orders.
TEST_F(OwnedEndpointTest, StopsWithoutLeaseWhereTokensAreIgnored) {
  makeOwned(false);
  takeOver();
  addModel("a", 100);
  addModel("b", 100);
  load("a");
  m_Authority.m_LeaseHeld = false;
  EXPECT_EQ(borrow("a")->m_Outcome, BorrowOutcome::Refused);
  EXPECT_FALSE(borrow("b"));
  EXPECT_TRUE(plan().empty());
}

// A loan granted without a lease must end before the next owner stops waiting
// for the loans of its predecessor.
TEST_F(OwnedEndpointTest, ShortensLoansWithoutLeaseWhereTokensAreChecked) {
  takeOver();
  addModel("a", 100);
  load("a");
  m_Authority.m_LeaseHeld = false;
  m_Now += seconds(1);
  const auto Granted = borrow("a");
  ASSERT_EQ(Granted->m_Outcome, BorrowOutcome::Granted);
  EXPECT_EQ(Granted->m_TimeToLive,
            EndpointTimes{}.m_LoanTimeToLive - milliseconds(1000));
  m_Now += seconds(3);
  EXPECT_EQ(borrow("a")->m_Outcome, BorrowOutcome::Refused);
}

// Replicas must not be treated as loaded after the engine has restarted.
TEST_F(OwnedEndpointTest, RestartOfTheEndpointEmptiesItAndFencesAgain) {
  takeOver();
  addModel("a", 100);
  load("a");
  m_Incarnation = "second";
  m_Owned->onInventory(inventory(), m_Now);
  EXPECT_EQ(m_Owned->stage(), Stage::Fencing);
  EXPECT_EQ(m_Owned->stateOf(EntryName("a")), ReplicaState::Cold);
}

// An inventory that was requested before an unload and arrives after it must
// not restore the replica.
TEST_F(OwnedEndpointTest, OldReportDoesNotBringBackAnUnloadedReplica) {
  takeOver();
  addModel("a", 100);
  load("a");
  const Instant AskedAt = m_Now;
  m_Now += seconds(1);
  removeModel("a");
  const auto Orders = plan();
  ASSERT_EQ(Orders.size(), 1u);
  m_Owned->onOrderResult(Orders[0].m_Request.m_OrderId, OrderResult::Done,
                         m_Now);
  Inventory Report = inventory();
  Report.m_Models.push_back({EntryName("a"), "ready", "1", 100, {}});
  m_Owned->onInventory(Report, AskedAt);
  EXPECT_EQ(m_Owned->stateOf(EntryName("a")), ReplicaState::Cold);
}

// A load without a known result may still take effect, so its memory must stay
// reserved.
TEST_F(OwnedEndpointTest, UnknownResultKeepsTheMemoryReserved) {
  takeOver();
  addModel("a", 100);
  EXPECT_FALSE(borrow("a"));
  const auto Orders = plan();
  ASSERT_EQ(Orders.size(), 1u);
  const std::int64_t Used = m_Owned->ledger().usedBytes();
  m_Owned->onOrderResult(Orders[0].m_Request.m_OrderId, OrderResult::Unknown,
                         m_Now);
  EXPECT_EQ(m_Owned->ledger().usedBytes(), Used);
  EXPECT_TRUE(m_Owned->isOutstanding(Orders[0].m_Request.m_OrderId));
}

// When the controller claims an endpoint again, it must not lose track of an
// order that it sent during its earlier ownership and that is still
// outstanding.
TEST_F(OwnedEndpointTest, OutstandingOrderIsAdoptedByTheNextOwnership) {
  takeOver();
  addModel("a", 100);
  EXPECT_FALSE(borrow("a"));
  const auto Orders = plan();
  ASSERT_EQ(Orders.size(), 1u);
  OwnedEndpoint Next(m_Owned->info(), Token + 10, true, EndpointTimes{});
  Next.adoptOrders(*m_Owned);
  EXPECT_EQ(Next.stateOf(EntryName("a")), ReplicaState::Loading);
  EXPECT_EQ(Next.ledger().usedBytes(), 100);
  ASSERT_EQ(Next.outstandingOrders().size(), 1u);
  EXPECT_EQ(Next.outstandingOrders()[0].m_OrderId,
            Orders[0].m_Request.m_OrderId);
  EXPECT_EQ(Next.outstandingOrders()[0].m_FencingToken, Token + 10);
}

// The memory reserved for a delayed order of a lapsed owner must not be used as
// soon as that owner has terminated, but only after an inventory has shown
// whether the order took effect.
TEST_F(OwnedEndpointTest, HeadroomIsKeptUntilAnInventoryAfterTheOwnerEnded) {
  makeOwned(false);
  const IncarnationId Next("next");
  m_State.apply(nextOffset(),
                fold::LeaseRenewal{RecordId("n"), Next, 0, {}, {}, "", ""});
  addModel("a", 400);
  m_State.apply(nextOffset(), fold::OwnershipClaim{
                                  RecordId("d"), Next, {{Endpoint, Token, 1}}});
  const Offset NewToken = m_State.appliedOffset();
  messages::EndpointInfo Info = m_Owned->info();
  m_Owned.emplace(Info, NewToken, false, EndpointTimes{});
  takeOver();
  const std::vector<IncarnationId> Gone{Self};
  const auto Plan = [&](std::span<const IncarnationId> TerminatedControllers) {
    (void)m_Owned->planOrders(
        {m_State, m_Eviction, m_Authority, Next, TerminatedControllers, m_Now});
    return m_Owned->ledger().usedBytes();
  };
  EXPECT_EQ(Plan({}), 400);
  EXPECT_EQ(Plan(Gone), 400);
  m_Now += seconds(1);
  m_Owned->onInventory(inventory(), m_Now);
  EXPECT_EQ(Plan(Gone), 0);
}

// A slot whose release was sent must not be used for a load when the replica
// count is raised again, because the release may be appended later.
TEST_F(OwnedEndpointTest, SlotWithASentReleaseIsNotUsedAgain) {
  takeOver();
  addModel("a", 100);
  const fold::Slot Slot = *m_State.findSlot(EntryName("a"), 0);
  m_Owned->onReleaseSent({EntryName("a"), 0, Endpoint, Slot.m_Offset, Token});
  EXPECT_EQ(borrow("a")->m_Outcome, BorrowOutcome::Refused);
  const PlanInput Input{m_State, m_Eviction, m_Authority, Self, {}, m_Now};
  EXPECT_EQ(m_Owned->releasableSlots(Input).size(), 1u);
  m_State.apply(
      nextOffset(),
      fold::SlotRelease{makeId<RecordId>(),
                        Self,
                        {{EntryName("a"), 0, {}, Slot.m_Offset, Token}}});
  const Offset Freed = m_State.findSlot(EntryName("a"), 0)->m_Offset;
  m_State.apply(nextOffset(),
                fold::SlotGrant{makeId<RecordId>(),
                                Self,
                                {{EntryName("a"), 0, Endpoint, Freed, Token}}});
  EXPECT_FALSE(borrow("a"));
  EXPECT_EQ(plan().size(), 1u);
}

// Demand recorded before the slot was released must not cause a load. It used
// to make the controller load and unload the model in turn, 11 times in two
// seconds in RightsTest.LoweredCountUnloads*, which is a replica beyond the
// configured count.
TEST_F(OwnedEndpointTest, DemandWithoutASlotLoadsNothing) {
  takeOver();
  addModel("a", 100);
  EXPECT_FALSE(borrow("a"));
  const fold::Slot Slot = *m_State.findSlot(EntryName("a"), 0);
  m_State.apply(
      nextOffset(),
      fold::SlotRelease{makeId<RecordId>(),
                        Self,
                        {{EntryName("a"), 0, {}, Slot.m_Offset, Token}}});
  EXPECT_TRUE(plan().empty());
}

TEST_F(OwnedEndpointTest, NewVersionReplacesTheLoadedOne) {
  takeOver();
  addModel("a", 100);
  load("a");
  addModel("a", 100, "2");
  auto Orders = plan();
  ASSERT_EQ(Orders.size(), 1u);
  EXPECT_EQ(Orders[0].m_Request.m_Kind, "unload");
  m_Owned->onOrderResult(Orders[0].m_Request.m_OrderId, OrderResult::Done,
                         m_Now);
  EXPECT_FALSE(borrow("a"));
  Orders = plan();
  ASSERT_EQ(Orders.size(), 1u);
  EXPECT_EQ(Orders[0].m_Request.m_Version, "2");
}

} // namespace
} // namespace sff::control
