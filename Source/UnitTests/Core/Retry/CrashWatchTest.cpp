#include "Core/Retry/CrashWatch.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
const EndpointId First("e1");
const EndpointId Second("e2");

// Guards against rejecting callers because one of their answers was lost in
// transit while the endpoint was alive.
TEST(CrashWatchTest, LostAnswerDoesNotCountAsACrash) {
  CrashWatch Watch;
  Watch.onBroken(First, "f", Start);
  EXPECT_TRUE(Watch.onDown(Second, Start).empty());
  EXPECT_TRUE(Watch
                  .onDown(First, Start + CrashWatch::CorrelationWindow +
                                     milliseconds(1))
                  .empty());
}

// Guards against a request that crashes one endpoint after another without
// being noticed.
TEST(CrashWatchTest, RequestsLostWithTheEndpointAreReportedOnce) {
  CrashWatch Watch;
  Watch.onBroken(First, "a", Start);
  Watch.onBroken(First, "b", Start + milliseconds(10));
  const std::vector<std::string> Expected = {"a", "b"};
  EXPECT_EQ(Watch.onDown(First, Start + milliseconds(500)), Expected);
  EXPECT_TRUE(Watch.onDown(First, Start + milliseconds(600)).empty());
}

// Guards against unbounded memory for requests whose connection was lost.
TEST(CrashWatchTest, RecordedRequestsAreBounded) {
  CrashWatch Watch;
  for (int Index = 0; Index < 1000; ++Index)
    Watch.onBroken(First, std::to_string(Index), Start);
  EXPECT_LE(Watch.onDown(First, Start).size(), 100U);
}

} // namespace
} // namespace sff::retry
