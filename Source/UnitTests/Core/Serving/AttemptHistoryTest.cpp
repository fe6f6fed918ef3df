#include "Core/Serving/AttemptHistory.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

const EndpointId First("first");
const EndpointId Second("second");

// Guards against a look at a silent endpoint that changes what is known of
// it: an endpoint that is still being connected to has not run the request.
TEST(AttemptHistoryTest, LookingAheadRecordsNothing) {
  AttemptHistory History(2);
  EXPECT_TRUE(History.mayRunElsewhereAfter(First));
  EXPECT_EQ(History.endpointsThatMayHaveRun(), 0U);
  EXPECT_FALSE(History.isExcluded(First));
}

// Guards against one endpoint too many: the one that has the request now
// counts as soon as another is considered.
TEST(AttemptHistoryTest, CurrentEndpointCountsAgainstTheLimit) {
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

// Guards against a second run of a request that must not run twice.
TEST(AttemptHistoryTest, EndpointThatMayHaveRunStaysExcluded) {
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
