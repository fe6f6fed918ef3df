#include "Core/Serving/FleetSize.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};

// Guards against hosts that each take most of the retry budget after all have
// restarted, because their new holder has heard of few (1,914 retries of 1,874
// allowed, listas-sul-grown trouble-3 seed 173901108511).
TEST(FleetSizeTest, NewHolderAssumesManyHosts) {
  FleetSize Size;
  EXPECT_EQ(Size.count(Start), FleetSize::Assumed);
  Size.onReport(HostId("h1"), Start);
  EXPECT_EQ(Size.count(Start + milliseconds(1000)), FleetSize::Assumed);
}

// Guards against a small fleet that never uses its budget.
TEST(FleetSizeTest, CountIsExactOnceAllHadTimeToReport) {
  FleetSize Size;
  for (Instant Now = Start; Now <= Start + 2 * FleetSize::Period;
       Now += milliseconds(1000)) {
    Size.onReport(HostId("h1"), Now);
    Size.onReport(HostId("h2"), Now);
  }
  EXPECT_EQ(Size.count(Start + 2 * FleetSize::Period), 2U);
  EXPECT_EQ(Size.hosts().size(), 2U);
}

// Guards against departed hosts that count for ever.
TEST(FleetSizeTest, SilentHostsNoLongerCount) {
  FleetSize Size;
  Size.onReport(HostId("gone"), Start);
  const Instant Later = Start + 2 * FleetSize::Period;
  Size.onReport(HostId("h1"), Later);
  EXPECT_EQ(Size.count(Later), 1U);
}

} // namespace
} // namespace sff::serving
