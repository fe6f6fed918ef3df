#include "Core/Admission/AdmissionQueue.h"

#include <gtest/gtest.h>

namespace sff::admission {
namespace {

using catalogue::TrafficClass;
using execution::Reason;
using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};
const CapacityEstimate OneReadyReplica{Duration{0}, 1};

Waiting makeItem(const char *Name, TrafficClass Class, seconds Deadline) {
  return {RequestId(Name), Class, Start + Deadline, Start, false};
}

std::string takeName(AdmissionQueue &Queue) {
  const auto Item = Queue.takeNext(Start);
  return Item ? Item->m_Request.str() : "";
}

// Guards against running batch requests before interactive ones, and against
// first-in-first-out order within a class.
TEST(AdmissionQueueTest, OrdersByClassThenDeadline) {
  AdmissionQueue Queue(8);
  EXPECT_FALSE(Queue.offer(makeItem("b", TrafficClass::Batch, seconds(50)),
                           OneReadyReplica, Start));
  EXPECT_FALSE(
      Queue.offer(makeItem("late", TrafficClass::Interactive, seconds(90)),
                  OneReadyReplica, Start));
  EXPECT_FALSE(
      Queue.offer(makeItem("soon", TrafficClass::Interactive, seconds(80)),
                  OneReadyReplica, Start));
  EXPECT_EQ(Queue.earliestDeadline(), Start + seconds(50));
  EXPECT_EQ(takeName(Queue), "soon");
  EXPECT_EQ(takeName(Queue), "late");
  EXPECT_EQ(takeName(Queue), "b");
  EXPECT_EQ(takeName(Queue), "");
}

// Guards against queueing a request whose model cannot be loaded before the
// deadline.
TEST(AdmissionQueueTest, UnreachableDeadlineIsRefusedAtArrival) {
  AdmissionQueue Queue(8);
  const CapacityEstimate Loading{seconds(10), 1};
  const auto Refused = Queue.offer(
      makeItem("r", TrafficClass::Interactive, seconds(9)), Loading, Start);
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->m_Reason, Reason::DeadlineUnreachable);
  // The expected load time, and as much again for loads scheduled first.
  EXPECT_EQ(Refused->m_RetryAfter, seconds(20));
  EXPECT_TRUE(Queue.empty());
}

// Guards against accepting an urgent request that makes one accepted earlier
// miss its deadline.
TEST(AdmissionQueueTest, AcceptedRequestIsNotDelayedPastItsDeadline) {
  AdmissionQueue Queue(8);
  Queue.onServed(seconds(2));
  EXPECT_FALSE(Queue.offer(makeItem("a", TrafficClass::Batch, seconds(5)),
                           OneReadyReplica, Start));
  EXPECT_FALSE(Queue.offer(makeItem("b", TrafficClass::Batch, seconds(1)),
                           OneReadyReplica, Start));
  EXPECT_TRUE(Queue.offer(makeItem("c", TrafficClass::Batch, seconds(0)),
                          OneReadyReplica, Start));
  EXPECT_EQ(Queue.size(), 2u);
}

// Guards against an unbounded queue, and against refusing interactive requests
// because batch requests fill it.
TEST(AdmissionQueueTest, FullQueueDisplacesTheLastBatchRequest) {
  AdmissionQueue Queue(2);
  Queue.offer(makeItem("b1", TrafficClass::Batch, seconds(500)),
              OneReadyReplica, Start);
  Queue.offer(makeItem("b2", TrafficClass::Batch, seconds(600)),
              OneReadyReplica, Start);
  const auto Refused =
      Queue.offer(makeItem("b3", TrafficClass::Batch, seconds(600)),
                  OneReadyReplica, Start);
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->m_Reason, Reason::QueueFull);
  EXPECT_GT(Refused->m_RetryAfter.count(), 0);
  EXPECT_FALSE(
      Queue.offer(makeItem("i", TrafficClass::Interactive, seconds(60)),
                  OneReadyReplica, Start));
  const auto Displaced = Queue.takeDisplaced();
  ASSERT_EQ(Displaced.size(), 1u);
  EXPECT_EQ(Displaced[0].m_Request, RequestId("b2"));
  EXPECT_TRUE(Queue.takeDisplaced().empty());
  EXPECT_EQ(Queue.size(), 2u);
}

// Guards against keeping a request until its deadline when the load has been
// delayed past it.
TEST(AdmissionQueueTest, DelayedLoadExpiresRequestsThatCannotStart) {
  AdmissionQueue Queue(8);
  Queue.offer(makeItem("soon", TrafficClass::Batch, seconds(10)),
              OneReadyReplica, Start);
  Queue.offer(makeItem("later", TrafficClass::Batch, seconds(60)),
              OneReadyReplica, Start);
  const auto Expired = Queue.takeExpired({seconds(20), 1}, Start + seconds(1));
  ASSERT_EQ(Expired.size(), 1u);
  EXPECT_EQ(Expired[0].m_Request, RequestId("soon"));
  EXPECT_TRUE(Queue.remove(RequestId("later")));
  EXPECT_FALSE(Queue.remove(RequestId("later")));
}

// Guards against giving all refused callers the same retry time, and against
// refusing a caller that kept its retry time because new callers took its
// place.
TEST(AdmissionQueueTest, RetryTimesAreStaggeredAndKept) {
  AdmissionQueue Queue(5); // Accepts four batch requests.
  Queue.onServed(seconds(1));
  for (const char *Name : {"1", "2", "3", "4"})
    EXPECT_FALSE(Queue.offer(makeItem(Name, TrafficClass::Batch, seconds(99)),
                             OneReadyReplica, Start));
  const auto First = Queue.offer(
      makeItem("5", TrafficClass::Batch, seconds(99)), OneReadyReplica, Start);
  const auto Second = Queue.offer(
      makeItem("6", TrafficClass::Batch, seconds(99)), OneReadyReplica, Start);
  ASSERT_TRUE(First && Second);
  EXPECT_GE(Second->m_RetryAfter, First->m_RetryAfter + seconds(1));
  takeName(Queue);
  EXPECT_TRUE(Queue.offer(makeItem("new", TrafficClass::Batch, seconds(99)),
                          OneReadyReplica, Start));
  auto Back = makeItem("5", TrafficClass::Batch, seconds(99));
  Back.m_KeptRetryTime = true;
  EXPECT_FALSE(Queue.offer(Back, OneReadyReplica, Start));
}

} // namespace
} // namespace sff::admission
