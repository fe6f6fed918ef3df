#include "CoreFixtures.h"

#include <gtest/gtest.h>

namespace sff::fold {
namespace {

using test::makeAdapter;
using test::makeModel;

const IncarnationId First("a");
const IncarnationId Second("b");
const EndpointId Endpoint("e");

/// A model "m" with a slot at endpoint "e", which "a" owns.
struct LateRecordTest : testing::Test {
  test::StateBuilder m_Log;

  LateRecordTest() {
    m_Log.renew("a");
    m_Log.renew("b");
    m_Log.claim("a", "e");
    m_Log.publish("m", makeModel(1));
    m_Log.grant("a", "m", 0, "e");
  }
  const ClusterState &state() const { return m_Log.m_State; }
  std::vector<IncarnationId> lapsed() const {
    return state().findOwnership(Endpoint)->m_LapsedOwners;
  }
};

// A delayed duplicate of a release must not free a slot that the author uses
// again after it lost the endpoint and claimed it back.
TEST_F(LateRecordTest, ReleaseOfAnEarlierOwnershipIsRejected) {
  const SlotRelease Late{{}, First, {m_Log.item("m", 0, "e")}};
  m_Log.claim("b", "e");
  EXPECT_FALSE(m_Log.add(Late).m_Accepted);
  m_Log.claim("a", "e");
  EXPECT_FALSE(m_Log.add(Late).m_Accepted);
  EXPECT_TRUE(m_Log.release("a", "m", 0, "e").m_Accepted);
}

// Records with an empty author must not match the empty owner of a free
// endpoint.
TEST_F(LateRecordTest, EmptyAuthorOwnsNothing) {
  m_Log.add(LeaseRelease{{}, First});
  EXPECT_FALSE(m_Log.release("", "m", 0, "e").m_Accepted);
  m_Log.publish("n", makeModel(1));
  EXPECT_FALSE(m_Log.grant("", "n", 0, "e").m_Accepted);
  EXPECT_FALSE(
      m_Log.add(EndpointRetired{{}, {}, {Endpoint, m_Log.m_Head}}).m_Accepted);
  EXPECT_FALSE(m_Log.renew("").m_Accepted);
  EXPECT_FALSE(m_Log.claim("b", "").m_Accepted);
}

// After the replica count is lowered, the slots above it may still be loaded.
// They must count against the new limit until they are released.
TEST_F(LateRecordTest, SlotsAboveALoweredCountStillCount) {
  m_Log.publish("m", makeModel(2));
  m_Log.claim("a", "f");
  m_Log.claim("a", "g");
  m_Log.grant("a", "m", 1, "f");
  m_Log.publish("m", makeModel(1));
  m_Log.release("a", "m", 0, "e");
  EXPECT_FALSE(m_Log.grant("a", "m", 0, "g").m_Accepted);
  m_Log.release("a", "m", 1, "f");
  EXPECT_TRUE(m_Log.grant("a", "m", 0, "g").m_Accepted);
}

// An adapter must not lose its base: the base keeps its slot at an endpoint
// until the adapters there are released.
TEST_F(LateRecordTest, BaseIsNotReleasedBeforeItsAdapters) {
  m_Log.publish("t", makeAdapter("m"));
  EXPECT_TRUE(m_Log.grant("a", "t", 0, "e").m_Accepted);
  EXPECT_FALSE(m_Log.release("a", "m", 0, "e").m_Accepted);
  m_Log.publish("m", std::nullopt);
  EXPECT_FALSE(m_Log.release("a", "m", 0, "e").m_Accepted);
  const SlotRelease Both{
      {}, First, {m_Log.item("t", 0, "e"), m_Log.item("m", 0, "e")}};
  EXPECT_TRUE(m_Log.add(Both).m_Rejections.empty());
}

// Two entries that were changed to name each other as base must still be
// releasable, and an adapter must not be granted on top of another adapter.
TEST_F(LateRecordTest, ChangedBasesNeverBlockEachOther) {
  m_Log.publish("t", makeAdapter("m"));
  m_Log.grant("a", "t", 0, "e");
  m_Log.publish("u", makeAdapter("t"));
  EXPECT_FALSE(m_Log.grant("a", "u", 0, "e").m_Accepted);
  m_Log.publish("m", makeAdapter("t"));
  EXPECT_TRUE(m_Log.release("a", "m", 0, "e").m_Accepted);
  EXPECT_TRUE(m_Log.release("a", "t", 0, "e").m_Accepted);
  EXPECT_FALSE(m_Log.grant("a", "m", 0, "e").m_Accepted);
}

// An endpoint must stay claimable when two owners take it from each other many
// times, so a repeated lapsed owner counts once.
TEST_F(LateRecordTest, LapsedOwnersAreCountedOnce) {
  for (int Round = 0; Round < 20; ++Round) {
    EXPECT_TRUE(m_Log.claim("b", "e").m_Accepted);
    EXPECT_EQ(lapsed(), std::vector{First});
    EXPECT_TRUE(m_Log.claim("a", "e").m_Accepted);
    EXPECT_EQ(lapsed(), std::vector{Second});
  }
  EXPECT_FALSE(m_Log.claim("a", "e").m_Accepted);
}

// An endpoint with eight crashed owners must become claimable again when the
// claim names owners that have terminated.
TEST_F(LateRecordTest, ClaimRemovesTerminatedOwners) {
  for (int Number = 0; Number < 8; ++Number) {
    m_Log.renew("c" + std::to_string(Number));
    EXPECT_TRUE(m_Log.claim("c" + std::to_string(Number), "e").m_Accepted);
  }
  EXPECT_FALSE(m_Log.claim("b", "e").m_Accepted);
  const ClaimItem Item{Endpoint,
                       state().findOwnership(Endpoint)->m_Offset,
                       state().findLease(IncarnationId("c7"))->m_LastRenewal,
                       {First, IncarnationId("c3")}};
  EXPECT_TRUE(m_Log.add(OwnershipClaim{{}, Second, {Item}}).m_Accepted);
  EXPECT_EQ(lapsed().size(), 7u);
}

// A stopped controller must not own endpoints because its claim was appended
// after its lease release.
TEST_F(LateRecordTest, ClaimAfterTheLeaseReleaseIsRejected) {
  m_Log.add(LeaseRelease{{}, First});
  EXPECT_FALSE(m_Log.claim("a", "f").m_Accepted);
  EXPECT_FALSE(m_Log.renew("a").m_Accepted);
  EXPECT_FALSE(m_Log.add(LeaseRelease{{}, First}).m_Accepted);
}

// All processes must prune the same leases, even if the record at the boundary
// is unusable or missing for some of them.
TEST_F(LateRecordTest, PruningDependsOnOffsetsOnly) {
  constexpr Offset Boundary = 1024 * 200;
  ClusterState Skipped = state();
  ClusterState Gap = state();
  Skipped.skip(Boundary);
  const CatalogueChange Next{RecordId("x"), EntryName("x"), 0, makeModel(1),
                             "op"};
  Skipped.apply(Boundary + 1, Next);
  Gap.apply(Boundary + 1, Next);
  EXPECT_EQ(Skipped.toSnapshot(), Gap.toSnapshot());
  EXPECT_FALSE(Gap.findLease(Second));
  EXPECT_TRUE(Gap.findLease(First));
  // A delayed duplicate of the first renewal creates a lease that owns nothing.
  Gap.apply(Boundary + 2, LeaseRenewal{{}, Second, 0, {}, {}, "", ""});
  EXPECT_TRUE(Gap.findLease(Second));
  EXPECT_TRUE(Gap.isOwner(First, Endpoint, 3));
}

} // namespace
} // namespace sff::fold
