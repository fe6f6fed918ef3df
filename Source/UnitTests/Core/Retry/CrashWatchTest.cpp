#include "Core/Retry/CrashWatch.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
const EndpointId First("e1");
const EndpointId Second("e2");

// Guards against callers who are refused because an answer of theirs was lost
// on the way, while the endpoint lives.
TEST(CrashWatchTest, LostAnswerIsNoCrash) {
  CrashWatch Watch;
  Watch.onBroken(First, "f", Start);
  EXPECT_TRUE(Watch.onDown(Second, Start).empty());
  EXPECT_TRUE(Watch.onDown(First, Start + CrashWatch::Window + milliseconds(1))
                  .empty());
}

// Guards against a request that crashes one endpoint after another unseen.
TEST(CrashWatchTest, RequestsLostWithTheEndpointCountOnce) {
  CrashWatch Watch;
  Watch.onBroken(First, "a", Start);
  Watch.onBroken(First, "b", Start + milliseconds(10));
  const std::vector<std::string> Expected = {"a", "b"};
  EXPECT_EQ(Watch.onDown(First, Start + milliseconds(500)), Expected);
  EXPECT_TRUE(Watch.onDown(First, Start + milliseconds(600)).empty());
}

// Guards against memory that grows with the broken requests.
TEST(CrashWatchTest, BrokenRequestsAreBounded) {
  CrashWatch Watch;
  for (int Index = 0; Index < 1000; ++Index)
    Watch.onBroken(First, std::to_string(Index), Start);
  EXPECT_LE(Watch.onDown(First, Start).size(), 100U);
}

} // namespace
} // namespace sff::retry
