#include "Core/Retry/CrashDetector.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
const EndpointId First("e1");
const EndpointId Second("e2");

// Guards against rejecting callers because one of their answers was lost in
// transit while the endpoint was alive.
TEST(CrashWatchTest, LostAnswerDoesNotCountAsACrash) {
  CrashDetector Watch;
  Watch.onConnectionLost(First, "f", Start);
  EXPECT_TRUE(Watch.popLostRequests(Second, Start).empty());
  EXPECT_TRUE(Watch
                  .popLostRequests(First, Start +
                                              CrashDetector::CorrelationWindow +
                                              milliseconds(1))
                  .empty());
}

// Guards against a request that crashes one endpoint after another without
// being noticed.
TEST(CrashWatchTest, RequestsLostWithTheEndpointAreReportedOnce) {
  CrashDetector Watch;
  Watch.onConnectionLost(First, "a", Start);
  Watch.onConnectionLost(First, "b", Start + milliseconds(10));
  const std::vector<std::string> Expected = {"a", "b"};
  EXPECT_EQ(Watch.popLostRequests(First, Start + milliseconds(500)), Expected);
  EXPECT_TRUE(Watch.popLostRequests(First, Start + milliseconds(600)).empty());
}

// Guards against unbounded memory for requests whose connection was lost.
TEST(CrashWatchTest, RecordedRequestsAreBounded) {
  CrashDetector Watch;
  for (int Index = 0; Index < 1000; ++Index)
    Watch.onConnectionLost(First, std::to_string(Index), Start);
  EXPECT_LE(Watch.popLostRequests(First, Start).size(), 100U);
}

} // namespace
} // namespace sff::retry
