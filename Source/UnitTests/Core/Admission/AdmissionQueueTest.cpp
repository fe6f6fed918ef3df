#include "Core/Admission/AdmissionQueue.h"

#include <gtest/gtest.h>

namespace sff::admission {
namespace {

using catalogue::TrafficClass;
using execution::Reason;
using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};
const CapacityEstimate One{Duration{0}, 1};

Waiting makeItem(const char *Name, TrafficClass Class, seconds Deadline) {
  return {RequestId(Name), Class, Start + Deadline, Start, false};
}

std::string takeName(AdmissionQueue &Queue) {
  const auto Item = Queue.takeNext(Start);
  return Item ? Item->m_Request.str() : "";
}

// Guards against batch requests that run before interactive ones, and against
// first-come order inside a class.
TEST(AdmissionQueueTest, InteractiveThenEarliestDeadline) {
  AdmissionQueue Queue(8);
  EXPECT_FALSE(
      Queue.offer(makeItem("b", TrafficClass::Batch, seconds(50)), One, Start));
  EXPECT_FALSE(Queue.offer(
      makeItem("late", TrafficClass::Interactive, seconds(90)), One, Start));
  EXPECT_FALSE(Queue.offer(
      makeItem("soon", TrafficClass::Interactive, seconds(80)), One, Start));
  EXPECT_EQ(Queue.earliestDeadline(), Start + seconds(50));
  EXPECT_EQ(takeName(Queue), "soon");
  EXPECT_EQ(takeName(Queue), "late");
  EXPECT_EQ(takeName(Queue), "b");
  EXPECT_EQ(takeName(Queue), "");
}

// Guards against a request that waits although its model cannot be ready.
TEST(AdmissionQueueTest, UnreachableDeadlineIsRefusedAtArrival) {
  AdmissionQueue Queue(8);
  const CapacityEstimate Loading{seconds(10), 1};
  const auto Refused = Queue.offer(
      makeItem("r", TrafficClass::Interactive, seconds(9)), Loading, Start);
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->m_Reason, Reason::DeadlineUnreachable);
  // The expected time of the load, and as much for loads that go ahead.
  EXPECT_EQ(Refused->m_RetryAfter, seconds(20));
  EXPECT_TRUE(Queue.empty());
}

// Guards against an accepted request that a later, more urgent one makes miss
// its deadline.
TEST(AdmissionQueueTest, AcceptedRequestIsNotPushedPastItsDeadline) {
  AdmissionQueue Queue(8);
  Queue.onServed(seconds(2));
  EXPECT_FALSE(
      Queue.offer(makeItem("a", TrafficClass::Batch, seconds(5)), One, Start));
  EXPECT_FALSE(
      Queue.offer(makeItem("b", TrafficClass::Batch, seconds(1)), One, Start));
  EXPECT_TRUE(
      Queue.offer(makeItem("c", TrafficClass::Batch, seconds(0)), One, Start));
  EXPECT_EQ(Queue.size(), 2u);
}

// Guards against an unbounded queue, and against batch requests that keep
// interactive ones out of it.
TEST(AdmissionQueueTest, FullQueueDisplacesTheLastBatchRequest) {
  AdmissionQueue Queue(2);
  Queue.offer(makeItem("b1", TrafficClass::Batch, seconds(500)), One, Start);
  Queue.offer(makeItem("b2", TrafficClass::Batch, seconds(600)), One, Start);
  const auto Refused = Queue.offer(
      makeItem("b3", TrafficClass::Batch, seconds(600)), One, Start);
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->m_Reason, Reason::QueueFull);
  EXPECT_GT(Refused->m_RetryAfter.count(), 0);
  EXPECT_FALSE(Queue.offer(
      makeItem("i", TrafficClass::Interactive, seconds(60)), One, Start));
  const auto Displaced = Queue.takeDisplaced();
  ASSERT_EQ(Displaced.size(), 1u);
  EXPECT_EQ(Displaced[0].m_Request, RequestId("b2"));
  EXPECT_TRUE(Queue.takeDisplaced().empty());
  EXPECT_EQ(Queue.size(), 2u);
}

// Guards against a request that is held until its deadline although the load
// has been delayed past it.
TEST(AdmissionQueueTest, DelayedLoadRefusesWhatCannotStart) {
  AdmissionQueue Queue(8);
  Queue.offer(makeItem("soon", TrafficClass::Batch, seconds(10)), One, Start);
  Queue.offer(makeItem("later", TrafficClass::Batch, seconds(60)), One, Start);
  const auto Expired = Queue.takeExpired({seconds(20), 1}, Start + seconds(1));
  ASSERT_EQ(Expired.size(), 1u);
  EXPECT_EQ(Expired[0].m_Request, RequestId("soon"));
  EXPECT_TRUE(Queue.remove(RequestId("later")));
  EXPECT_FALSE(Queue.remove(RequestId("later")));
}

// Guards against refused callers that are all told to come back at the same
// moment, and against one that keeps its time and is refused again because
// new callers took the room.
TEST(AdmissionQueueTest, RetryTimesAreSpreadAndKept) {
  AdmissionQueue Queue(5); // Four batch requests.
  Queue.onServed(seconds(1));
  for (const char *Name : {"1", "2", "3", "4"})
    EXPECT_FALSE(Queue.offer(makeItem(Name, TrafficClass::Batch, seconds(99)),
                             One, Start));
  const auto First =
      Queue.offer(makeItem("5", TrafficClass::Batch, seconds(99)), One, Start);
  const auto Second =
      Queue.offer(makeItem("6", TrafficClass::Batch, seconds(99)), One, Start);
  ASSERT_TRUE(First && Second);
  EXPECT_GE(Second->m_RetryAfter, First->m_RetryAfter + seconds(1));
  takeName(Queue);
  EXPECT_TRUE(Queue.offer(makeItem("new", TrafficClass::Batch, seconds(99)),
                          One, Start));
  auto Back = makeItem("5", TrafficClass::Batch, seconds(99));
  Back.m_KeptRetryTime = true;
  EXPECT_FALSE(Queue.offer(Back, One, Start));
}

} // namespace
} // namespace sff::admission
