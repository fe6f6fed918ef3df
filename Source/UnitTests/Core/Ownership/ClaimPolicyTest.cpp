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

// Exactly one controller may claim each endpoint, and a controller without a
// lease must not claim any.
TEST_F(ClaimPolicyTest, OneControllerClaimsAndTheSameZoneComesFirst) {
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

// A claim must name the renewal whose lease the claimant has seen expire. If it
// named a later one that the claimant has not observed, it would take the
// endpoint from a live owner.
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

// An owner that is known to have terminated must be replaced without waiting
// for its lease, and must not be kept among the lapsed owners.
TEST_F(ClaimPolicyTest, TerminatedOwnersAreReplacedAtOnce) {
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

// A gone endpoint must be claimed so that it can be retired, and must not be
// claimed again afterwards.
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
