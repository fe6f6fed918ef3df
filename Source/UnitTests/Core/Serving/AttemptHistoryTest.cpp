#include "Core/Serving/AttemptHistory.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

const EndpointId First("first");
const EndpointId Second("second");

// Querying whether another endpoint may be tried must not record an execution:
// an endpoint to which the connection is still being established has not
// executed the request.
TEST(AttemptHistoryTest, CheckingForAnotherEndpointRecordsNothing) {
  AttemptHistory History(2);
  EXPECT_TRUE(History.canTryAnotherEndpointAfter(First));
  EXPECT_EQ(History.possibleExecutionCount(), 0U);
  EXPECT_FALSE(History.isExcluded(First));
}

// Guards against exceeding the limit by one: the endpoint that has the request
// now counts as soon as another one is considered.
TEST(AttemptHistoryTest, CurrentEndpointCountsTowardsTheLimit) {
  AttemptHistory Single(1);
  EXPECT_TRUE(Single.canTryAnotherEndpoint());
  EXPECT_FALSE(Single.canTryAnotherEndpointAfter(First));
  AttemptHistory Two(2);
  Two.onPossiblyExecuted(First);
  EXPECT_TRUE(Two.canTryAnotherEndpointAfter(First));
  EXPECT_FALSE(Two.canTryAnotherEndpointAfter(Second));
  Two.onPossiblyExecuted(Second);
  EXPECT_FALSE(Two.canTryAnotherEndpoint());
}

// Guards against executing a non-repeatable request twice.
TEST(AttemptHistoryTest, EndpointThatMayHaveExecutedStaysExcluded) {
  AttemptHistory History(3);
  History.exclude(First);
  History.exclude(Second);
  History.onPossiblyExecuted(Second);
  History.clearExclusions(false);
  EXPECT_FALSE(History.isExcluded(First));
  EXPECT_TRUE(History.isExcluded(Second));
  History.clearExclusions(true);
  EXPECT_FALSE(History.isExcluded(Second));
}

} // namespace
} // namespace sff::serving
