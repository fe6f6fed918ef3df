#include "Admission/DispatchSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace sff::admission {
namespace {

const SimulatedCaller Urgent{};
const SimulatedCaller Deferred{.m_Rank = 1,
                               .m_Target = milliseconds(4000),
                               .m_Patience = milliseconds(13000),
                               .m_Work = 400};

void addCallers(std::vector<SimulatedCaller> &Target, SimulatedCaller Caller,
                int PerSecond, milliseconds From, milliseconds Until) {
  for (milliseconds At = From; At < Until;
       At += milliseconds(1000 / PerSecond)) {
    Caller.m_Arrival = At;
    Target.push_back(Caller);
  }
}

/// The results of callers that satisfy \p Condition, in the order of their
/// arrival.
template <typename Predicate>
std::vector<CallerResult> resultsOf(const SimulatedService &Service,
                                    std::vector<SimulatedCaller> Callers,
                                    Predicate Condition) {
  std::ranges::stable_sort(Callers, std::less(), &SimulatedCaller::m_Arrival);
  const auto All = simulate(Service, Callers, SimulatedQueue::Dispatch);
  std::vector<CallerResult> Result;
  for (std::size_t Number = 0; Number < All.size(); ++Number)
    if (Condition(Callers[Number]))
      Result.push_back(All[Number]);
  return Result;
}

auto hasRank(std::int64_t Rank) {
  return
      [Rank](const SimulatedCaller &Caller) { return Caller.m_Rank == Rank; };
}

double share(const std::vector<CallerResult> &Results,
             bool CallerResult::*Property) {
  return static_cast<double>(std::ranges::count(Results, true, Property)) /
         static_cast<double>(Results.size());
}

// Guards against deferred work that fills the slots just before urgent work
// comes, and against deferred work that is lost because it had to wait.
TEST(DispatchQueueTest, BurstOfDeferredWorkBeforeUrgentWork) {
  std::vector<SimulatedCaller> Callers(40, Deferred);
  addCallers(Callers, Urgent, 20, milliseconds(50), milliseconds(3000));
  EXPECT_GE(share(resultsOf({.m_Slots = 16}, Callers, hasRank(0)),
                  &CallerResult::m_IsOnTime),
            0.95);
  EXPECT_EQ(share(resultsOf({.m_Slots = 16}, Callers, hasRank(1)),
                  &CallerResult::m_IsServed),
            1);
}

// Guards against a queue in which all requests become late, and against a
// priority that is served less often than a lower one.
TEST(DispatchQueueTest, TwiceTheCapacityForTenSeconds) {
  std::vector<SimulatedCaller> Callers;
  addCallers(Callers, Urgent, 50, milliseconds(0), milliseconds(10000));
  addCallers(Callers, Deferred, 15, milliseconds(0), milliseconds(10000));
  const SimulatedService Service{.m_Slots = 8};
  const auto OfUrgent = resultsOf(Service, Callers, hasRank(0));
  const auto OfDeferred = resultsOf(Service, Callers, hasRank(1));
  const double Served = share(OfUrgent, &CallerResult::m_IsServed);
  EXPECT_GE(share(OfUrgent, &CallerResult::m_IsOnTime), 0.6);
  EXPECT_GE(Served, share(OfDeferred, &CallerResult::m_IsServed) - 0.02);
  // Those that are not served get to know it early.
  for (const CallerResult &Result : OfUrgent)
    EXPECT_TRUE(Result.m_IsServed || Result.m_IsRejected);
}

// Guards against rejected callers that all return at the same time, find no
// room again, or come behind those that did not wait.
TEST(DispatchQueueTest, RetryStorm) {
  SimulatedCaller Impatient = Urgent;
  Impatient.m_AnswerPatience = milliseconds(2000);
  std::vector<SimulatedCaller> Callers(200, Impatient);
  addCallers(Callers, Impatient, 10, milliseconds(0), milliseconds(4000));
  auto Results = resultsOf({.m_Slots = 8}, Callers, hasRank(0));
  std::erase_if(Results, [](const CallerResult &Result) {
    return !Result.m_HasReturned;
  });
  ASSERT_GE(Results.size(), 10U);
  EXPECT_GE(share(Results, &CallerResult::m_IsServed), 0.9);
}

// Guards against urgent requests that wait behind deferred ones for the
// endpoints that are left.
TEST(DispatchQueueTest, HalfTheEndpointsGone) {
  std::vector<SimulatedCaller> Callers;
  addCallers(Callers, Urgent, 40, milliseconds(0), milliseconds(8000));
  addCallers(Callers, Deferred, 20, milliseconds(0), milliseconds(8000));
  const SimulatedService Service{
      .m_Endpoints = 4, .m_Slots = 6, .m_HalvedAt = milliseconds(3000)};
  EXPECT_GE(
      share(resultsOf(Service, Callers, hasRank(0)), &CallerResult::m_IsOnTime),
      0.9);
}

// Guards against long prompts that hold up many short requests, or never run.
TEST(DispatchQueueTest, LongPromptsBesideManyShortOnes) {
  std::vector<SimulatedCaller> Callers;
  SimulatedCaller Long = Urgent;
  Long.m_Target = milliseconds(600);
  Long.m_Work = 1200;
  addCallers(Callers, Urgent, 25, milliseconds(0), milliseconds(8000));
  addCallers(Callers, Long, 2, milliseconds(0), milliseconds(8000));
  const SimulatedService Service{.m_Slots = 8};
  const auto IsLong = [](const SimulatedCaller &Caller) {
    return Caller.m_Work > 1000;
  };
  EXPECT_GE(share(resultsOf(Service, Callers, std::not_fn(IsLong)),
                  &CallerResult::m_IsOnTime),
            0.9);
  EXPECT_GE(
      share(resultsOf(Service, Callers, IsLong), &CallerResult::m_IsServed),
      0.9);
}

// Guards against capacity that stays reserved for returning callers when the
// burst is over.
TEST(DispatchQueueTest, BurstThatEndsWhileReturnsAreDue) {
  std::vector<SimulatedCaller> Callers(200, Urgent);
  addCallers(Callers, Urgent, 20, milliseconds(5000), milliseconds(8000));
  const auto Later =
      resultsOf({.m_Slots = 8}, Callers, [](const SimulatedCaller &Caller) {
        return Caller.m_Arrival >= milliseconds(5000);
      });
  EXPECT_EQ(share(Later, &CallerResult::m_IsOnTime), 1);
  EXPECT_EQ(share(Later, &CallerResult::m_IsRejected), 0);
}

// Guards against places in the queue that callers who have left still hold.
TEST(DispatchQueueTest, CallersWhoLeave) {
  std::vector<SimulatedCaller> Callers(8, Urgent);
  for (SimulatedCaller &Running : Callers)
    Running.m_Work = 600;
  SimulatedCaller Leaving = Urgent;
  Leaving.m_Arrival = milliseconds(10);
  Leaving.m_LeavesAfter = milliseconds(300);
  for (int Number = 0; Number < 16; ++Number)
    Callers.push_back(Leaving);
  SimulatedCaller Last = Urgent;
  Last.m_Arrival = milliseconds(400);
  Callers.push_back(Last);
  const auto Results = resultsOf({.m_Slots = 8}, Callers, hasRank(0));
  EXPECT_TRUE(Results.back().m_IsOnTime);
}

// Guards against a delay where there is room.
TEST(DispatchQueueTest, FreeSlotIsUsedAtOnce) {
  std::vector<SimulatedCaller> Callers;
  addCallers(Callers, Urgent, 20, milliseconds(0), milliseconds(3000));
  for (const CallerResult &Result :
       simulate({.m_Slots = 16}, Callers, SimulatedQueue::Dispatch))
    EXPECT_EQ(Result.m_Wait.count(), 0);
}

// Guards against a sequence of rejections that closes an endpoint for good, and
// against reports that hold requests back when they are outdated.
TEST(EndpointRoomTrackerTest, EvidenceOfAFullEndpointExpires) {
  const EndpointId Id("e1");
  const Instant Now{std::chrono::hours(1)};
  EndpointRoomTracker Rooms(1);
  EXPECT_LT(Rooms.room(Id, 100, 16, Now).m_Load, 1);
  Rooms.onReport(Id, 20, 16, Now);
  EXPECT_EQ(Rooms.room(Id, 20, 16, Now).m_Load, 20);
  EXPECT_LT(Rooms.room(Id, 20, 16, Now + milliseconds(1100)).m_Load, 16);
  for (int Count = 0; Count < 10; ++Count)
    Rooms.onRejected(Id, {}, 16, Now + milliseconds(1000 * Count));
  const Instant Latest = Now + milliseconds(9000);
  EXPECT_GT(Rooms.room(Id, 1, 16, Latest).m_ClosedUntil, Latest);
  EXPECT_LE(Rooms.room(Id, 1, 16, Latest).m_ClosedUntil,
            Latest + milliseconds(720));
  Rooms.onAccepted(Id);
  EXPECT_LE(Rooms.room(Id, 1, 16, Latest).m_ClosedUntil, Latest);
}

// Guards against further requests to an endpoint that rejects them below its
// slots, and against a limit that is kept for good.
TEST(EndpointRoomTrackerTest, LoadOfARejectionIsALimitForATime) {
  const EndpointId Id("e1");
  const Instant Now{std::chrono::hours(1)};
  EndpointRoomTracker Rooms(1);
  Rooms.onRejected(Id, 6, 16, Now);
  EXPECT_EQ(Rooms.room(Id, 5, 16, Now).m_MaxLoad, 6);
  EXPECT_GT(Rooms.room(Id, 5, 16, Now + milliseconds(5100)).m_MaxLoad, 16);
  Rooms.onReport(Id, 7, 16, Now);
  EXPECT_GT(Rooms.room(Id, 5, 16, Now).m_MaxLoad, 16);
}

// Guards against deferred requests that fill the endpoints of which a host with
// few requests knows nothing, while the others report that they are full.
TEST(EndpointRoomTrackerTest, LoadOfTheOthersIsTypicalForATime) {
  const Instant Now{std::chrono::hours(1)};
  EndpointRoomTracker Rooms(1);
  const EndpointId Unknown("e2");
  EXPECT_EQ(Rooms.room(Unknown, 0, 16, Now).m_TypicalLoad, 0);
  Rooms.onReport(EndpointId("e1"), 24, 16, Now);
  EXPECT_EQ(Rooms.room(Unknown, 0, 16, Now).m_TypicalLoad, 24);
  EXPECT_EQ(Rooms.room(Unknown, 0, 16, Now).m_Load, 0);
  EXPECT_EQ(Rooms.room(EndpointId("e1"), 2, 16, Now).m_TypicalLoad, 0);
  EXPECT_EQ(Rooms.room(Unknown, 0, 16, Now + milliseconds(3100)).m_TypicalLoad,
            0);
}

} // namespace
} // namespace sff::admission
