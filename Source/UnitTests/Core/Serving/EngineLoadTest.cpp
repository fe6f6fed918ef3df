#include "Core/Serving/EngineLoad.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr double Capacity = 32; ///< Requests per second of one endpoint.

const EndpointId First("first");
const EndpointId Second("second");
const EndpointId Third("third");

EngineLoad makeLoad(const std::vector<EndpointPlacement> &Placements,
                    std::map<std::string, double, std::less<>> Rates) {
  return EngineLoad(
      Placements,
      [&Rates](std::string_view Model) {
        const auto Found = Rates.find(Model);
        return Found == Rates.end() ? 0 : Found->second;
      },
      Capacity);
}

// During a rolling replacement the two busiest models end up on one remaining
// endpoint. Each looks sustainable by itself, but together they overload the
// endpoint: 90 requests ran on it for 20 s, and 141 streams were cut off by
// their deadlines.
TEST(EngineLoadTest, BusyModelsOnOneEndpointAreOverloaded) {
  const EngineLoad Load =
      makeLoad({{First, {"a", "b"}, true, false}, {Second, {}, true, false}},
               {{"a", 20}, {"b", 15}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_EQ(Found.front().m_Model, "a");
  EXPECT_GT(Found.front().m_Utilization, 1);
  EXPECT_TRUE(Load.reducesLoadOf(Second, Found.front()));
}

// Guards against unnecessary replicas.
TEST(EngineLoadTest, QuietModelsAreNotOverloaded) {
  const EngineLoad Load =
      makeLoad({{First, {"a", "b"}, true, false}, {Second, {"a"}, true, false}},
               {{"a", 10}, {"b", 5}});
  EXPECT_TRUE(Load.overloads().empty());
}

// Guards against an additional replica of a model that has one with free
// capacity.
TEST(EngineLoadTest, OneReplicaWithRoomIsEnough) {
  const EngineLoad Load =
      makeLoad({{First, {"a", "b"}, true, false}, {Second, {"a"}, true, false}},
               {{"a", 20}, {"b", 40}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().m_Model, "b");
}

// Guards against placing a replica on an endpoint that is as loaded as the
// others.
TEST(EngineLoadTest, LoadedEndpointIsNoTargetForAReplica) {
  const EngineLoad Load = makeLoad({{First, {"a"}, true, false},
                                    {Second, {"b"}, true, false},
                                    {Third, {}, true, false}},
                                   {{"a", 30}, {"b", 25}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_FALSE(Load.reducesLoadOf(Second, Found.front()));
  EXPECT_TRUE(Load.reducesLoadOf(Third, Found.front()));
}

// A rollout replaces all endpoints of a service. Guards against losing the last
// replica of a busy model with an old endpoint: 58 of the 121 requests within
// two seconds were rejected while the model was loaded from the weight store.
TEST(EngineLoadTest, BusyModelOnlyOnLeavingEndpointsIsAtRisk) {
  const EngineLoad Load = makeLoad({{First, {"a", "rare"}, true, true},
                                    {Second, {"b"}, false, true},
                                    {Third, {}, true, false}},
                                   {{"a", 10}, {"b", 5}, {"rare", 0.1}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_EQ(Found.front().m_Model, "a");
  EXPECT_TRUE(Found.front().m_AtRisk);
  EXPECT_TRUE(Load.reducesLoadOf(Third, Found.front()));
  EXPECT_FALSE(Load.reducesLoadOf(Second, Found.front()));
}

// Guards against additional replicas of a model that has one on an endpoint
// that remains.
TEST(EngineLoadTest, ReplicaOnARemainingEndpointIsEnough) {
  const EngineLoad Load = makeLoad(
      {{First, {"a"}, true, true}, {Second, {"a"}, true, false}}, {{"a", 10}});
  EXPECT_TRUE(Load.overloads().empty());
}

// Guards against ranking a rarely used model on an overloaded endpoint as high
// as the model that causes the overload.
TEST(EngineLoadTest, BusiestModelComesFirst) {
  const EngineLoad Load = makeLoad({{First, {"rare", "zbusy"}, true, false}},
                                   {{"rare", 0.1}, {"zbusy", 40}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_EQ(Found.front().m_Model, "zbusy");
  EXPECT_LT(Found.back().m_SavedWaitSeconds, 2);
}

/// Requests per second of the model "a", which hosts find full.
std::vector<Overload> overloadsUnderPressure(double Rate, double Speed) {
  const std::vector<EndpointPlacement> Placements = {
      {First, {"a"}, true, false}, {Second, {"a"}, true, false}};
  const EngineLoad Load(Placements, [Rate](std::string_view) { return Rate; },
                        Capacity,
                        {[Speed](const EndpointId &) { return Speed; },
                         [](std::string_view) { return true; }});
  return Load.overloads();
}

// Guards against one replica at a time for a model that needs several.
TEST(EngineLoadTest, AllMissingReplicasAreKnownAtOnce) {
  const auto Found = overloadsUnderPressure(100, 1);
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_TRUE(Found.front().m_IsUnderPressure);
  EXPECT_GT(Found.front().m_Utilization, 1);
  EXPECT_EQ(Found.front().m_Replicas, 2);
  EXPECT_EQ(Found.front().m_MissingReplicas, 3);
  EXPECT_EQ(zoneShare(Found.front().m_MissingReplicas, 2), 2);
  EXPECT_EQ(zoneShare(1, 3), 1);
}

// Guards against slow endpoints that count as much as usual ones, so that their
// models get no further replica.
TEST(EngineLoadTest, SlowEndpointsServeLess) {
  EXPECT_TRUE(overloadsUnderPressure(25, 1).empty());
  const auto Slow = overloadsUnderPressure(25, 0.5);
  ASSERT_EQ(Slow.size(), 1U);
  EXPECT_GT(Slow.front().m_Utilization, 0.7);
}

// Guards against replicas on all endpoints while a backlog is worked off.
TEST(EngineLoadTest, PressureWithRoomElsewhereIsNoOverload) {
  EXPECT_TRUE(overloadsUnderPressure(20, 1).empty());
}

} // namespace
} // namespace sff::serving
