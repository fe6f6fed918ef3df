#include "Core/Serving/ConnectionLimits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sff::serving {
namespace {

// Guards against callers that leave no descriptor for connections to endpoints
// and the store.
RC_GTEST_PROP(ConnectionLimitsProperty, ReserveIsKept, ()) {
  const auto Descriptors =
      static_cast<std::size_t>(*rc::gen::inRange(100, 100000));
  const ConnectionLimits Limits = divideDescriptors(Descriptors);
  RC_ASSERT(Limits.sum() <= Descriptors * 3 / 5 + 1);
  RC_ASSERT(Limits.m_Readiness > 0U);
  RC_ASSERT(Limits.m_Metrics > 0U);
  RC_ASSERT(Limits.m_Peers > 0U);
}

// Guards against small hosts that accept too few connections for their callers.
TEST(ConnectionLimitsTest, SmallestHostOfTheDeployments) {
  EXPECT_GE(divideDescriptors(3075).m_Callers, 1000U);
  EXPECT_GE(connectionsWithin(120UL * 1024 * 1024), 1000U);
}

// Guards against a service whose endpoints do not answer and whose requests
// take all connections to endpoints.
TEST(SendLimitTest, ServiceLeavesRoomForOthers) {
  SendLimit Limit(40);
  int First = 0;
  for (; Limit.allows("first"); ++First)
    Limit.onSent("first");
  EXPECT_EQ(First, 30);
  int Second = 0;
  for (; Limit.allows("second"); ++Second)
    Limit.onSent("second");
  EXPECT_EQ(Second, 10);
  EXPECT_FALSE(Limit.allows("third"));
  Limit.onEnded("first");
  EXPECT_TRUE(Limit.allows("third"));
  EXPECT_FALSE(Limit.allows("first"));
}

// Guards against a limit where the settings name none.
TEST(SendLimitTest, NoDescriptorsAreNoLimit) {
  SendLimit Limit(0);
  Limit.onSent("first");
  EXPECT_TRUE(Limit.allows("first"));
}

// Guards against listeners and requests at endpoints that take more descriptors
// together than there are.
RC_GTEST_PROP(ConnectionLimitsProperty, SendsLeaveAReserve, ()) {
  const auto Descriptors =
      static_cast<std::size_t>(*rc::gen::inRange(100, 100000));
  const std::size_t Used =
      divideDescriptors(Descriptors).sum() + sendsWithin(Descriptors);
  RC_ASSERT(Used + Descriptors / 12 <= Descriptors);
}

} // namespace
} // namespace sff::serving
