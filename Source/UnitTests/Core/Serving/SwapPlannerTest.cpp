#include "Core/Serving/SwapPlanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sff::serving {
namespace {

constexpr double ModelMb = 70000;
constexpr double CapacityMb = 220000;

EvictionCandidate makeHeld(std::string Name, double Rate, int OtherReplicas,
                           double RatePerReplica = 30) {
  return {std::move(Name), ModelMb, Rate, OtherReplicas, RatePerReplica, false};
}

SwapCandidate makeCandidate(std::string Id,
                            std::vector<EvictionCandidate> Held) {
  return {EndpointId(std::move(Id)), CapacityMb, std::move(Held),
          loading::WeightLocation::Disk, 1.0};
}

// A busy model shares a few endpoints with many rarely used ones. Guards
// against evicting the busy model's replicas for rarely used models, which left
// one overloaded replica for 80 requests per second.
TEST(SwapPlannerTest, EvictingABusyReplicaCostsMoreThanARareModel) {
  EXPECT_GT(evictionCost(makeHeld("busy", 80, 1)),
            100 * evictionCost(makeHeld("rare", 0.1, 0)));
  EXPECT_GT(evictionCost(makeHeld("busy", 80, 3)),
            10 * evictionCost(makeHeld("rare", 0.1, 0)));
}

// A model with many replicas is no longer in demand. Guards against unused
// replicas that occupy the memory needed by rarely used models.
TEST(SwapPlannerTest, IdleReplicasAreEvictedFirst) {
  const std::vector<SwapCandidate> List = {makeCandidate(
      "e1", {makeHeld("idle-replica", 0.2, 4), makeHeld("rare", 0.1, 0),
             makeHeld("other", 0.2, 0)})};
  const auto Plan = planSwap(ModelMb, List);
  ASSERT_TRUE(Plan);
  EXPECT_EQ(Plan->m_Evict, std::vector<std::string>{"idle-replica"});
}

// Guards against loading on the endpoint whose models are requested most.
TEST(SwapPlannerTest, EndpointWithTheLowestCostIsChosen) {
  const std::vector<SwapCandidate> List = {
      makeCandidate("used", {makeHeld("a", 1, 0), makeHeld("b", 1, 0),
                             makeHeld("c", 1, 0)}),
      makeCandidate("free", {makeHeld("d", 1, 0)})};
  const auto Plan = planSwap(ModelMb, List);
  ASSERT_TRUE(Plan);
  EXPECT_EQ(Plan->m_Endpoint, EndpointId("free"));
  EXPECT_TRUE(Plan->m_Evict.empty());
}

// Guards against a plan that exceeds an endpoint's memory, which would crash
// it.
RC_GTEST_PROP(SwapPlannerTest, PlanNeverExceedsEndpointCapacity, ()) {
  std::vector<SwapCandidate> List;
  const int Endpoints = *rc::gen::inRange(1, 4);
  for (int Index = 0; Index < Endpoints; ++Index) {
    SwapCandidate Candidate = makeCandidate("e" + std::to_string(Index), {});
    const int Models = *rc::gen::inRange(0, 5);
    for (int Model = 0; Model < Models; ++Model) {
      Candidate.m_LoadedModels.push_back(makeHeld(std::to_string(Model),
                                                  *rc::gen::inRange(0, 50),
                                                  *rc::gen::inRange(0, 3)));
      Candidate.m_LoadedModels.back().m_SizeMb = *rc::gen::inRange(1, 120000);
    }
    List.push_back(std::move(Candidate));
  }
  const double SizeMb = *rc::gen::inRange(1, 300000);
  const auto Plan = planSwap(SizeMb, List);
  if (!Plan) {
    RC_ASSERT(SizeMb > CapacityMb);
    return;
  }
  for (const SwapCandidate &Candidate : List) {
    if (Candidate.m_Endpoint != Plan->m_Endpoint)
      continue;
    double Used = SizeMb;
    for (const EvictionCandidate &Model : Candidate.m_LoadedModels)
      if (std::ranges::find(Plan->m_Evict, Model.m_Name) == Plan->m_Evict.end())
        Used += Model.m_SizeMb;
    RC_ASSERT(Used <= CapacityMb);
  }
}

// Guards against the eviction of the most popular model for a rarely used one
// while nothing was known of its demand.
TEST(SwapPlannerTest, ProtectedModelsAreNotEvicted) {
  std::vector<SwapCandidate> List = {
      makeCandidate("e1", {makeHeld("popular", 0, 0), makeHeld("b", 1, 0),
                           makeHeld("c", 1, 0)})};
  List.front().m_LoadedModels[0].m_IsProtected = true;
  const auto Plan = planSwap(ModelMb, List);
  ASSERT_TRUE(Plan);
  EXPECT_NE(Plan->m_Evict.front(), "popular");
  for (EvictionCandidate &Model : List.front().m_LoadedModels)
    Model.m_IsProtected = true;
  EXPECT_FALSE(planSwap(ModelMb, List));
}

// Guards against a replica beside other popular models while an endpoint has
// little work.
TEST(SwapPlannerTest, EndpointWithLittleWorkIsPreferred) {
  std::vector<SwapCandidate> List = {
      makeCandidate("busy", {makeHeld("a", 0, 0)}),
      makeCandidate("idle", {makeHeld("b", 0, 0)})};
  List.front().m_WorkSeconds = 3;
  const auto Plan = planSwap(ModelMb, List);
  ASSERT_TRUE(Plan);
  EXPECT_EQ(Plan->m_Endpoint, EndpointId("idle"));
  EXPECT_DOUBLE_EQ(Plan->m_Cost, 1);
}

} // namespace
} // namespace sff::serving
