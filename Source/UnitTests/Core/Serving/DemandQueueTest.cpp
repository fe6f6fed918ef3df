#include "Core/Serving/DemandQueue.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};

HostDemand makeDemand(ModelName Name, std::int64_t Requests, Instant Since) {
  HostDemand Result;
  Result.m_Key = {ZoneId("zone-a"), "engine", std::move(Name)};
  Result.m_Requests = Requests;
  Result.m_Since = Since;
  return Result;
}

// One model becomes busy while twenty rarely used ones wait as well. With a
// first-come order the busy model was loaded late, and 254 of its callers had
// disconnected before.
TEST(DemandQueueTest, ModelWithMostWaitingRequestsComesFirst) {
  DemandQueue Queue;
  for (int Index = 0; Index < 20; ++Index)
    Queue.add(makeDemand({"rare" + std::to_string(Index), {}}, 1, Start));
  Queue.add(makeDemand({"busy", {}}, 15, Start));
  Queue.add(makeDemand({"busy", {}}, 10, Start));
  const auto Order = Queue.ordered(Start + milliseconds(100));
  ASSERT_EQ(Order.size(), 21U);
  EXPECT_EQ(Order.front().m_Key.m_Name.m_Model, "busy");
}

// Guards against starvation of a rarely used model.
TEST(DemandQueueTest, WaitingTimeRaisesThePriorityOfARareModel) {
  DemandQueue Queue;
  Queue.add(makeDemand({"rare", {}}, 1, Start));
  const Instant Later = Start + std::chrono::seconds(9);
  Queue.add(makeDemand({"newer", {}}, 5, Later));
  EXPECT_EQ(Queue.ordered(Later).front().m_Key.m_Name.m_Model, "rare");
}

// Endpoints swap models continuously. Guards against adapters of loaded models
// that queue behind all swaps; this left 112 of the 441 models and adapters of
// a day unserved.
TEST(DemandQueueTest, AdapterComesBeforeRareModels) {
  DemandQueue Queue;
  Queue.add(makeDemand({"rare", {}}, 2, Start));
  Queue.add(makeDemand({"busy", "a1"}, 1, Start));
  EXPECT_EQ(Queue.ordered(Start).front().m_Key.m_Name.m_Adapter, "a1");
}

// Guards against counting a demand after its host has stopped waiting.
TEST(DemandQueueTest, RemovedDemandDoesNotCount) {
  DemandQueue Queue;
  const auto Handle = Queue.add(makeDemand({"m", {}}, 3, Start));
  Queue.remove(Handle);
  EXPECT_TRUE(Queue.ordered(Start).empty());
}

// Guards against a replica request that hides a waiting request for the same
// model: the load would then be limited to the lower cost that is allowed for
// additional replicas.
TEST(DemandQueueTest, WaitingRequestTakesPrecedenceOverAReplicaRequest) {
  HostDemand ReplicaRequest = makeDemand({"m", {}}, 1, Start);
  ReplicaRequest.m_Replica = true;
  HostDemand Request = makeDemand({"m", {}}, 1, Start);
  Request.m_MayLoadRemote = true;
  DemandQueue Queue;
  Queue.add(Request);
  const auto ReplicaHandle = Queue.add(ReplicaRequest);
  const auto Both = Queue.ordered(Start);
  ASSERT_EQ(Both.size(), 1U);
  EXPECT_FALSE(Both.front().m_Replica);
  EXPECT_TRUE(Both.front().m_MayLoadRemote);
  Queue.remove(ReplicaHandle);
  Queue.remove(Queue.add(Request));
  EXPECT_FALSE(Queue.ordered(Start).front().m_Replica);
}

// Guards against treating a replica request as a waiting request.
TEST(DemandQueueTest, ReplicaRequestAloneIsMarkedAsSuch) {
  HostDemand ReplicaRequest = makeDemand({"m", {}}, 1, Start);
  ReplicaRequest.m_Replica = true;
  DemandQueue Queue;
  Queue.add(ReplicaRequest);
  EXPECT_TRUE(Queue.ordered(Start).front().m_Replica);
}

// Guards against a holder of two zones that loads a model in only one of them
// for the requests of both.
TEST(DemandQueueTest, ZonesAndServicesHaveSeparateDemand) {
  DemandQueue Queue;
  HostDemand Demand = makeDemand({"m", {}}, 1, Start);
  Queue.add(Demand);
  Demand.m_Key.m_Zone = ZoneId("zone-b");
  Queue.add(Demand);
  Demand.m_Key.m_Service = "other";
  Queue.add(Demand);
  EXPECT_EQ(Queue.ordered(Start).size(), 3U);
}

} // namespace
} // namespace sff::serving
