#include "Core/Ownership/ClaimPolicy.h"

#include "CoreFixtures.h"

#include <gtest/gtest.h>

namespace sff::ownership {
namespace {

using namespace std::chrono_literals;
using test::makeEngine;

const Instant Start{1h};

struct ClaimPolicyTest : testing::Test {
  test::StateBuilder m_Log;
  LeaseObserver m_Observer{LeaseTimes{6000ms, 2000ms, 1500ms}};
  std::vector<IncarnationId> m_Gone;
  std::vector<messages::EndpointInfo> m_Endpoints;

  std::vector<fold::ClaimItem> plan(const std::string &Self, Instant Now) {
    return planClaims({m_Log.m_State, m_Observer, m_Gone, m_Endpoints,
                       IncarnationId(Self), Now});
  }
  void observe(Instant Now) { observeLeases(m_Log.m_State, m_Observer, Now); }
};

// Guards against controllers that all claim the same endpoint, and against
// claims without a lease of one's own.
TEST_F(ClaimPolicyTest, OneLiveControllerClaimsAndTheZoneComesFirst) {
  m_Log.renew("a", "z1");
  m_Log.renew("b", "z2");
  m_Log.renew("c", "z2");
  for (int Number = 0; Number < 40; ++Number)
    m_Endpoints.push_back(makeEngine("e" + std::to_string(Number), "z2"));
  observe(Start);
  EXPECT_TRUE(plan("a", Start).empty());
  const auto First = plan("b", Start).size();
  const auto Second = plan("c", Start).size();
  EXPECT_EQ(First + Second, 40u);
  EXPECT_GT(First, 8u);
  EXPECT_GT(Second, 8u);
  EXPECT_TRUE(plan("unknown", Start).empty());
}

// Guards against a claim that names a renewal which the claimant has not read,
// which would take the endpoint from a living owner.
TEST_F(ClaimPolicyTest, NamesTheRenewalWhosePeriodHasPassed) {
  m_Log.renew("a", "z1");
  m_Log.renew("b", "z1");
  m_Endpoints = {makeEngine("e", "z1")};
  m_Log.claim("a", "e");
  observe(Start);
  EXPECT_TRUE(plan("b", Start + 7s).empty());
  const auto Claims = plan("b", Start + 8s);
  ASSERT_EQ(Claims.size(), 1u);
  EXPECT_EQ(Claims[0].m_PreviousOwnership, 3u);
  EXPECT_EQ(Claims[0].m_PredecessorRenewal, 1u);
  m_Log.renew("a");
  EXPECT_TRUE(plan("b", Start + 8s).empty());
}

// Guards against waiting for the lease of an owner that is known to be gone,
// and against keeping it among the lapsed owners.
TEST_F(ClaimPolicyTest, OwnersKnownToBeGoneAreReplacedAtOnce) {
  m_Log.renew("a", "z1");
  m_Log.renew("b", "z1");
  m_Endpoints = {makeEngine("e", "z1")};
  m_Log.claim("a", "e");
  observe(Start);
  m_Gone = {IncarnationId("a")};
  const auto Claims = plan("b", Start);
  ASSERT_EQ(Claims.size(), 1u);
  EXPECT_TRUE(m_Log.add(fold::OwnershipClaim{{}, IncarnationId("b"), Claims})
                  .m_Accepted);
  EXPECT_TRUE(
      m_Log.m_State.findOwnership(EndpointId("e"))->m_LapsedOwners.empty());
}

// Guards against an endpoint that nobody retires, and against claiming a
// retired one over and over.
TEST_F(ClaimPolicyTest, GoneEndpointsAreClaimedUntilRetired) {
  m_Log.renew("a", "z1");
  m_Log.claim("a", "e");
  m_Log.add(
      fold::OwnershipRelease{{}, IncarnationId("a"), {{EndpointId("e"), 2}}});
  m_Endpoints = {makeEngine("e", "z1", "gone"), makeEngine("n", "z1", "gone")};
  observe(Start);
  ASSERT_EQ(plan("a", Start).size(), 1u);
  m_Log.claim("a", "e");
  m_Log.add(
      fold::EndpointRetired{{}, IncarnationId("a"), {EndpointId("e"), 4}});
  EXPECT_TRUE(plan("a", Start).empty());
}

} // namespace
} // namespace sff::ownership
