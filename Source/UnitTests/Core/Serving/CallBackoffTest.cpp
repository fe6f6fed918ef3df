#include "Core/Serving/CallBackoff.h"

#include <gtest/gtest.h>

#include <set>

namespace sff::serving {
namespace {

constexpr milliseconds First{100};
constexpr milliseconds Longest{1000};

// Guards against calls at a fixed rate to a store that rejects them.
TEST(CallBackoffTest, DelaysDoubleUpToTheLongest) {
  std::mt19937_64 Random(1);
  CallBackoff Backoff(First);
  Duration Limit = First;
  for (int Failure = 0; Failure < 100; ++Failure) {
    const Duration Delay = Backoff.onFailure(Random, Duration::zero(), Longest);
    EXPECT_LE(Delay, Limit);
    EXPECT_GE(toSeconds(Delay), 0.79 * toSeconds(Limit));
    Limit = std::min<Duration>(2 * Limit, Longest);
  }
  Backoff.onAnswer();
  EXPECT_LE(Backoff.onFailure(Random, Duration::zero(), Longest), First);
}

// Guards against hosts that failed together and call again together.
TEST(CallBackoffTest, DelaysDiffer) {
  std::mt19937_64 Random(1);
  std::set<Duration> Delays;
  for (int Host = 0; Host < 20; ++Host)
    Delays.insert(CallBackoff(First).onFailure(Random, Longest, Longest));
  EXPECT_GT(Delays.size(), 15U);
}

} // namespace
} // namespace sff::serving
