#include "Core/Retry/CrashDetector.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
const EndpointCrash First{EndpointId("e1"), IncarnationId("1")};
const RequestId FirstRun("r1");
const EndpointCrash Second{EndpointId("e2"), IncarnationId("1")};

// Guards against rejecting callers because one of their answers was lost in
// transit while the endpoint was alive.
TEST(CrashDetectorTest, LostAnswerDoesNotCountAsACrash) {
  CrashDetector Detector;
  Detector.onRequestLost(First, "f", FirstRun, Start);
  EXPECT_TRUE(Detector.popLostRequests(Second.m_Endpoint, Start).empty());
  EXPECT_TRUE(Detector
                  .popLostRequests(First.m_Endpoint,
                                   Start + CrashDetector::CorrelationWindow +
                                       milliseconds(1))
                  .empty());
}

// Guards against a request that crashes one endpoint after another without
// being noticed.
TEST(CrashDetectorTest, RequestsLostWithTheEndpointAreReportedOnce) {
  CrashDetector Detector;
  Detector.onRequestLost(First, "a", FirstRun, Start);
  Detector.onRequestLost(First, "b", FirstRun, Start + milliseconds(10));
  const auto Reports =
      Detector.popLostRequests(First.m_Endpoint, Start + milliseconds(500));
  ASSERT_EQ(Reports.size(), 2U);
  EXPECT_EQ(Reports[0].m_Fingerprint, "a");
  EXPECT_EQ(Reports[1].m_Fingerprint, "b");
  EXPECT_EQ(Reports[0].m_Crash, First);
  EXPECT_EQ(Reports[1].m_Crash, First);
  EXPECT_TRUE(
      Detector.popLostRequests(First.m_Endpoint, Start + milliseconds(600))
          .empty());
}

// Guards against connections that are opened to attribute requests though none
// was lost, or only some that are too old.
TEST(CrashDetectorTest, LostRequestsAreKnownWhileACrashCounts) {
  CrashDetector Detector;
  EXPECT_FALSE(Detector.hasLostRequests(First.m_Endpoint, Start));
  Detector.onRequestLost(First, "a", FirstRun, Start);
  const Instant Last = Start + CrashDetector::CorrelationWindow;
  EXPECT_TRUE(Detector.hasLostRequests(First.m_Endpoint, Last));
  EXPECT_FALSE(
      Detector.hasLostRequests(First.m_Endpoint, Last + milliseconds(1)));
  EXPECT_FALSE(Detector.hasLostRequests(Second.m_Endpoint, Start));
  Detector.popLostRequests(First.m_Endpoint, Start);
  EXPECT_FALSE(Detector.hasLostRequests(First.m_Endpoint, Start));
}

// Guards against a crash that only one host counts, because the others do not
// connect to the endpoint soon enough to find it down.
TEST(CrashDetectorTest, CrashNoticedByAnotherHostIsAttributed) {
  CrashDetector Detector;
  Detector.onRequestLost(First, "a", FirstRun, Start);
  const EndpointCrash LaterIncarnation{First.m_Endpoint, IncarnationId("2")};
  EXPECT_TRUE(Detector.popLostRequests(LaterIncarnation, Start).empty());
  EXPECT_EQ(Detector.popLostRequests(First, Start).size(), 1U);
  EXPECT_TRUE(Detector.popLostRequests(First, Start).empty());
}

// Guards against a crash of a silent endpoint that is not attributed to the
// requests that run there, and against counting those that have ended.
TEST(CrashDetectorTest, RunningRequestsAreReportedOnce) {
  CrashDetector Detector;
  const RequestId SecondRun("r2");
  Detector.onRequestSent(First, "a", FirstRun, Start);
  Detector.onRequestSent(First, "b", SecondRun, Start);
  Detector.onRequestEnded(First.m_Endpoint, SecondRun);
  EXPECT_TRUE(Detector.hasRunningRequests(First.m_Endpoint));
  EXPECT_TRUE(Detector.popLostRequests(First.m_Endpoint, Start).empty());
  const auto Reports = Detector.popRunningRequests(First.m_Endpoint, Start);
  ASSERT_EQ(Reports.size(), 1U);
  EXPECT_EQ(Reports[0].m_Run, FirstRun);
  EXPECT_FALSE(Detector.hasRunningRequests(First.m_Endpoint));
  EXPECT_TRUE(Detector.popRunningRequests(First.m_Endpoint, Start).empty());
}

// Guards against unbounded memory for requests whose connection was lost.
TEST(CrashDetectorTest, RecordedRequestsAreBounded) {
  CrashDetector Detector;
  for (int Index = 0; Index < 1000; ++Index)
    Detector.onRequestLost(First, std::to_string(Index), FirstRun, Start);
  EXPECT_LE(Detector.popLostRequests(First.m_Endpoint, Start).size(), 100U);
}

} // namespace
} // namespace sff::retry
