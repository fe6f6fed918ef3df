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
  EXPECT_TRUE(History.mayRunElsewhereAfter(First));
  EXPECT_EQ(History.endpointsThatMayHaveRun(), 0U);
  EXPECT_FALSE(History.isExcluded(First));
}

// Guards against exceeding the limit by one: the endpoint that has the request
// now counts as soon as another one is considered.
TEST(AttemptHistoryTest, CurrentEndpointCountsTowardsTheLimit) {
  AttemptHistory Single(1);
  EXPECT_TRUE(Single.mayRunElsewhere());
  EXPECT_FALSE(Single.mayRunElsewhereAfter(First));
  AttemptHistory Two(2);
  Two.onMayHaveRun(First);
  EXPECT_TRUE(Two.mayRunElsewhereAfter(First));
  EXPECT_FALSE(Two.mayRunElsewhereAfter(Second));
  Two.onMayHaveRun(Second);
  EXPECT_FALSE(Two.mayRunElsewhere());
}

// Guards against executing a non-repeatable request twice.
TEST(AttemptHistoryTest, EndpointThatMayHaveExecutedStaysExcluded) {
  AttemptHistory History(3);
  History.exclude(First);
  History.exclude(Second);
  History.onMayHaveRun(Second);
  History.readmit(false);
  EXPECT_FALSE(History.isExcluded(First));
  EXPECT_TRUE(History.isExcluded(Second));
  History.readmit(true);
  EXPECT_FALSE(History.isExcluded(Second));
}

} // namespace
} // namespace sff::serving
