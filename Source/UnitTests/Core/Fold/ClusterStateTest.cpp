#include "Core/Fold/ClusterState.h"

#include <gtest/gtest.h>

namespace sff::fold {
namespace {

catalogue::EntrySpec makeModel(std::int64_t Replicas) {
  catalogue::EntrySpec Spec;
  Spec.m_Team = "team";
  Spec.m_Replicas = Replicas;
  Spec.m_WeightBytes = 1;
  Spec.m_BytesPerToken = 1;
  return Spec;
}

// Of two operators who change the same version, only the first may be told
// that the change took effect.
TEST(ClusterStateTest, SecondChangeOnTheSameBaseIsRejected) {
  ClusterState State;
  const EntryName Name("m");
  EXPECT_TRUE(
      State.apply(1, CatalogueChange{RecordId("a"), Name, 0, makeModel(1), "x"})
          .m_Accepted);
  EXPECT_FALSE(
      State.apply(2, CatalogueChange{RecordId("b"), Name, 0, makeModel(2), "y"})
          .m_Accepted);
  EXPECT_EQ(State.findEntry(Name)->m_Replicas, 1);
  EXPECT_EQ(State.versionOf(Name), 1u);
}

// A claim must not take an endpoint from an owner that renewed its lease after
// the claimant read the state.
TEST(ClusterStateTest, ClaimIsRejectedAfterARenewal) {
  ClusterState State;
  const IncarnationId First("i1");
  const IncarnationId Second("i2");
  const EndpointId Endpoint("e1");
  State.apply(1, LeaseRenewal{RecordId("1"), First, 0, {}, {}, "", ""});
  State.apply(2, LeaseRenewal{RecordId("2"), Second, 0, {}, {}, "", ""});
  State.apply(3, OwnershipClaim{RecordId("3"), First, {{Endpoint, 0, 0}}});
  State.apply(4, LeaseRenewal{RecordId("4"), First, 1, {}, {}, "", ""});
  EXPECT_FALSE(
      State.apply(5, OwnershipClaim{RecordId("5"), Second, {{Endpoint, 3, 1}}})
          .m_Accepted);
  EXPECT_TRUE(
      State.apply(6, OwnershipClaim{RecordId("6"), Second, {{Endpoint, 3, 4}}})
          .m_Accepted);
  EXPECT_TRUE(State.isOwner(Second, Endpoint, 6));
}

// A snapshot must contain the whole state.
TEST(ClusterStateTest, SnapshotKeepsTheState) {
  ClusterState State;
  State.apply(
      1, CatalogueChange{RecordId("a"), EntryName("m"), 0, makeModel(1), "x"});
  State.apply(2, LeaseRenewal{RecordId("b"), IncarnationId("i"), 0, HostId("h"),
                              ZoneId("z"), "127.0.0.1:1", "127.0.0.1:2"});
  State.apply(3, OwnershipClaim{RecordId("c"),
                                IncarnationId("i"),
                                {{EndpointId("e"), 0, 0}}});
  State.apply(4, SlotGrant{RecordId("d"),
                           IncarnationId("i"),
                           {{EntryName("m"), 0, EndpointId("e"), 0, 3}}});
  const auto Document = State.toSnapshot();
  const auto Restored = ClusterState::fromSnapshot(Document);
  ASSERT_TRUE(Restored);
  EXPECT_EQ(Restored->toSnapshot(), Document);
  EXPECT_EQ(Restored->endpointsOf(EntryName("m")).size(), 1u);
}

} // namespace
} // namespace sff::fold
