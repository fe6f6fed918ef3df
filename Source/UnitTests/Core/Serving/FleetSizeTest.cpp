#include "Core/Serving/FleetSize.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};

// After a restart of all hosts the new holder has received reports of few
// hosts. Guards against an undercount that lets each host use most of the retry
// budget (1,914 retries where 1,874 were allowed; listas-sul-grown, trouble-3,
// seed 173901108511).
TEST(FleetSizeTest, CountStartsAtTheAssumedFleetSize) {
  FleetSize Size;
  EXPECT_EQ(Size.count(Start), FleetSize::AssumedHostCount);
  Size.onReport(HostId("h1"), Start);
  EXPECT_EQ(Size.count(Start + milliseconds(1000)),
            FleetSize::AssumedHostCount);
}

// Guards against a small fleet that can never use its whole budget.
TEST(FleetSizeTest, CountIsExactAfterOneReportTimeout) {
  FleetSize Size;
  for (Instant Now = Start; Now <= Start + 2 * FleetSize::ReportTimeout;
       Now += milliseconds(1000)) {
    Size.onReport(HostId("h1"), Now);
    Size.onReport(HostId("h2"), Now);
  }
  EXPECT_EQ(Size.count(Start + 2 * FleetSize::ReportTimeout), 2U);
  EXPECT_EQ(Size.hosts().size(), 2U);
}

// Guards against counting hosts that have left.
TEST(FleetSizeTest, HostsThatStopReportingAreDropped) {
  FleetSize Size;
  Size.onReport(HostId("gone"), Start);
  const Instant Later = Start + 2 * FleetSize::ReportTimeout;
  Size.onReport(HostId("h1"), Later);
  EXPECT_EQ(Size.count(Later), 1U);
}

} // namespace
} // namespace sff::serving
