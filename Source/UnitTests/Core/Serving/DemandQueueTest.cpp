#include "Core/Serving/DemandQueue.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};

WaitingDemand makeDemand(ModelName Name, std::int64_t Requests, Instant Since) {
  WaitingDemand Result;
  Result.m_Key = {ZoneId("zone-a"), "engine", std::move(Name)};
  Result.m_Requests = Requests;
  Result.m_Since = Since;
  return Result;
}

// Load: one model becomes busy while twenty rare ones wait as well. Guards
// against a queue in which the busy one waits for its turn (254 callers of
// one model had gone before it was loaded).
TEST(DemandQueueTest, ModelWithManyWaitingRequestsComesFirst) {
  DemandQueue Queue;
  for (int Index = 0; Index < 20; ++Index)
    Queue.add(makeDemand({"rare" + std::to_string(Index), {}}, 1, Start));
  Queue.add(makeDemand({"busy", {}}, 15, Start));
  Queue.add(makeDemand({"busy", {}}, 10, Start));
  const auto Order = Queue.ordered(Start + milliseconds(100));
  ASSERT_EQ(Order.size(), 21U);
  EXPECT_EQ(Order.front().m_Key.m_Name.m_Model, "busy");
}

// Guards against a rare model that never gets its turn.
TEST(DemandQueueTest, WaitingTimeRaisesARareModel) {
  DemandQueue Queue;
  Queue.add(makeDemand({"rare", {}}, 1, Start));
  const Instant Later = Start + std::chrono::seconds(9);
  Queue.add(makeDemand({"newer", {}}, 5, Later));
  EXPECT_EQ(Queue.ordered(Later).front().m_Key.m_Name.m_Model, "rare");
}

// Load: endpoints that swap models all the time. Guards against adapters of
// loaded models that wait behind all swaps (112 of 441 models and adapters of
// a day were never served).
TEST(DemandQueueTest, AdapterComesBeforeRareModels) {
  DemandQueue Queue;
  Queue.add(makeDemand({"rare", {}}, 2, Start));
  Queue.add(makeDemand({"busy", "a1"}, 1, Start));
  EXPECT_EQ(Queue.ordered(Start).front().m_Key.m_Name.m_Adapter, "a1");
}

// Guards against a demand that still counts after its host stopped waiting.
TEST(DemandQueueTest, RemovedDemandDoesNotCount) {
  DemandQueue Queue;
  const auto Item = Queue.add(makeDemand({"m", {}}, 3, Start));
  Queue.remove(Item);
  EXPECT_TRUE(Queue.ordered(Start).empty());
}

// Guards against a wish for a further replica that hides a waiting request of
// the same model: the load would then have to be as cheap as a wish demands.
TEST(DemandQueueTest, WaitingRequestsOutweighAWish) {
  WaitingDemand Wish = makeDemand({"m", {}}, 1, Start);
  Wish.m_Replica = true;
  WaitingDemand Request = makeDemand({"m", {}}, 1, Start);
  Request.m_MayLoadRemote = true;
  DemandQueue Queue;
  Queue.add(Request);
  const auto Wished = Queue.add(Wish);
  const auto Both = Queue.ordered(Start);
  ASSERT_EQ(Both.size(), 1U);
  EXPECT_FALSE(Both.front().m_Replica);
  EXPECT_TRUE(Both.front().m_MayLoadRemote);
  Queue.remove(Wished);
  Queue.remove(Queue.add(Request));
  EXPECT_FALSE(Queue.ordered(Start).front().m_Replica);
}

// Guards against a wish that is taken for a waiting request.
TEST(DemandQueueTest, WishAloneStaysAWish) {
  WaitingDemand Wish = makeDemand({"m", {}}, 1, Start);
  Wish.m_Replica = true;
  DemandQueue Queue;
  Queue.add(Wish);
  EXPECT_TRUE(Queue.ordered(Start).front().m_Replica);
}

// Guards against a holder of two zones that loads a model in one of them for
// the requests of both.
TEST(DemandQueueTest, ZonesAndServicesAreKeptApart) {
  DemandQueue Queue;
  WaitingDemand Demand = makeDemand({"m", {}}, 1, Start);
  Queue.add(Demand);
  Demand.m_Key.m_Zone = ZoneId("zone-b");
  Queue.add(Demand);
  Demand.m_Key.m_Service = "other";
  Queue.add(Demand);
  EXPECT_EQ(Queue.ordered(Start).size(), 3U);
}

} // namespace
} // namespace sff::serving
