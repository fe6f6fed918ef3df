#include "Core/Serving/ReleaseWatch.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};

// Load: a release replaces the endpoints of a service, with the same version.
// Guards against old endpoints that count as lasting ones: the last replica of
// the busiest model left with one of them.
TEST(ReleaseWatchTest, OldEndpointsAreReplacedByNewOnes) {
  ReleaseWatch Watch;
  Watch.onAdded("engine", Start);
  const Instant Release = Start + seconds(60);
  Watch.onAdded("engine", Release);
  EXPECT_FALSE(Watch.isReplacing("engine", Start, Release));
  Watch.onLeaving("engine", Release + seconds(1));
  const Instant Next = Release + seconds(2);
  Watch.onAdded("engine", Next);
  EXPECT_TRUE(Watch.isReplacing("engine", Start, Next));
  EXPECT_FALSE(Watch.isReplacing("engine", Release, Next));
  EXPECT_FALSE(Watch.isReplacing("other", Start, Next));
}

// Guards against replicas for endpoints that stay: service that only shrinks
// or only grows, or a release that has ended.
TEST(ReleaseWatchTest, OtherChangesReplaceNothing) {
  ReleaseWatch Watch;
  Watch.onAdded("shrinks", Start);
  const Instant Later = Start + seconds(60);
  Watch.onLeaving("shrinks", Later);
  EXPECT_FALSE(Watch.isReplacing("shrinks", Start, Later));
  Watch.onAdded("grows", Start);
  Watch.onAdded("grows", Later);
  EXPECT_FALSE(Watch.isReplacing("grows", Start, Later));
  Watch.onAdded("ended", Start);
  Watch.onAdded("ended", Later);
  Watch.onLeaving("ended", Later);
  EXPECT_TRUE(Watch.isReplacing("ended", Start, Later));
  EXPECT_FALSE(Watch.isReplacing("ended", Start, Later + seconds(30)));
}

} // namespace
} // namespace sff::serving
