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

} // namespace
} // namespace sff::serving
