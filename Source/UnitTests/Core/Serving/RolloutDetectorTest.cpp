#include "Core/Serving/RolloutDetector.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};

// A rollout replaces the endpoints of a service without a change of version.
// Guards against treating the old endpoints as permanent: the last replica of
// the busiest model was removed with one of them.
TEST(RolloutDetectorTest, OldEndpointsAreReportedDuringARollout) {
  RolloutDetector Detector;
  Detector.onAdded("engine", Start);
  const Instant RolloutStart = Start + seconds(60);
  Detector.onAdded("engine", RolloutStart);
  EXPECT_FALSE(Detector.isBeingReplaced("engine", Start, RolloutStart));
  Detector.onLeaving("engine", RolloutStart + seconds(1));
  const Instant Next = RolloutStart + seconds(2);
  Detector.onAdded("engine", Next);
  EXPECT_TRUE(Detector.isBeingReplaced("engine", Start, Next));
  EXPECT_FALSE(Detector.isBeingReplaced("engine", RolloutStart, Next));
  EXPECT_FALSE(Detector.isBeingReplaced("other", Start, Next));
}

// Guards against additional replicas when endpoints are only removed, only
// added, or the rollout has ended.
TEST(RolloutDetectorTest, ScalingAndFinishedRolloutsAreNotReported) {
  RolloutDetector Detector;
  Detector.onAdded("shrinks", Start);
  const Instant Later = Start + seconds(60);
  Detector.onLeaving("shrinks", Later);
  EXPECT_FALSE(Detector.isBeingReplaced("shrinks", Start, Later));
  Detector.onAdded("grows", Start);
  Detector.onAdded("grows", Later);
  EXPECT_FALSE(Detector.isBeingReplaced("grows", Start, Later));
  Detector.onAdded("ended", Start);
  Detector.onAdded("ended", Later);
  Detector.onLeaving("ended", Later);
  EXPECT_TRUE(Detector.isBeingReplaced("ended", Start, Later));
  EXPECT_FALSE(Detector.isBeingReplaced("ended", Start, Later + seconds(30)));
}

} // namespace
} // namespace sff::serving
