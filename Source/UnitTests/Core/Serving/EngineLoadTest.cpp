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

// Load: the endpoints of a service are replaced one after the other, and the
// two busiest models end up on one that is left. Guards against two models
// that look bearable one by one while their endpoint is overloaded (90 requests
// ran on one endpoint for 20 s, 141 streams were cut by their deadlines).
TEST(EngineLoadTest, BusyModelsOnOneEndpointAreOverloaded) {
  const EngineLoad Load =
      makeLoad({{First, {"a", "b"}, true, false}, {Second, {}, true, false}},
               {{"a", 20}, {"b", 15}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_EQ(Found.front().m_Model, "a");
  EXPECT_GT(Found.front().m_Utilization, 1);
  EXPECT_TRUE(Load.relieves(Second, Found.front()));
}

// Guards against replicas that nobody needs.
TEST(EngineLoadTest, QuietModelsAreNotOverloaded) {
  const EngineLoad Load =
      makeLoad({{First, {"a", "b"}, true, false}, {Second, {"a"}, true, false}},
               {{"a", 10}, {"b", 5}});
  EXPECT_TRUE(Load.overloads().empty());
}

// Guards against a further replica of a model that has one with room.
TEST(EngineLoadTest, OneReplicaWithRoomIsEnough) {
  const EngineLoad Load =
      makeLoad({{First, {"a", "b"}, true, false}, {Second, {"a"}, true, false}},
               {{"a", 20}, {"b", 40}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().m_Model, "b");
}

// Guards against a replica on an endpoint that is as loaded as the others.
TEST(EngineLoadTest, LoadedEndpointRelievesNothing) {
  const EngineLoad Load = makeLoad({{First, {"a"}, true, false},
                                    {Second, {"b"}, true, false},
                                    {Third, {}, true, false}},
                                   {{"a", 30}, {"b", 25}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_FALSE(Load.relieves(Second, Found.front()));
  EXPECT_TRUE(Load.relieves(Third, Found.front()));
}

// Load: a release replaces all endpoints of a service. Guards against a busy
// model whose last replica leaves with an old endpoint (58 of 121 callers of
// two seconds were refused while it was loaded from the weight store).
TEST(EngineLoadTest, BusyModelOnLeavingEndpointsIsAtRisk) {
  const EngineLoad Load = makeLoad({{First, {"a", "rare"}, true, true},
                                    {Second, {"b"}, false, true},
                                    {Third, {}, true, false}},
                                   {{"a", 10}, {"b", 5}, {"rare", 0.1}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_EQ(Found.front().m_Model, "a");
  EXPECT_TRUE(Found.front().m_AtRisk);
  EXPECT_TRUE(Load.relieves(Third, Found.front()));
  EXPECT_FALSE(Load.relieves(Second, Found.front()));
}

// Guards against replicas of a model that has one on an endpoint that stays.
TEST(EngineLoadTest, ReplicaThatStaysIsEnough) {
  const EngineLoad Load = makeLoad(
      {{First, {"a"}, true, true}, {Second, {"a"}, true, false}}, {{"a", 10}});
  EXPECT_TRUE(Load.overloads().empty());
}

// Guards against a rare model on a crowded endpoint that counts as much as the
// model that crowds it.
TEST(EngineLoadTest, BusiestModelComesFirst) {
  const EngineLoad Load = makeLoad({{First, {"rare", "zbusy"}, true, false}},
                                   {{"rare", 0.1}, {"zbusy", 40}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_EQ(Found.front().m_Model, "zbusy");
  EXPECT_LT(Found.back().m_ReliefSeconds, 2);
}

} // namespace
} // namespace sff::serving
