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
      makeLoad({{First, {"a", "b"}}, {Second, {}}}, {{"a", 20}, {"b", 15}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_EQ(Found.front().m_Model, "a");
  EXPECT_GT(Found.front().m_Utilization, 1);
  EXPECT_TRUE(Load.relieves(Second, Found.front()));
}

// Guards against replicas that nobody needs.
TEST(EngineLoadTest, QuietModelsAreNotOverloaded) {
  const EngineLoad Load =
      makeLoad({{First, {"a", "b"}}, {Second, {"a"}}}, {{"a", 10}, {"b", 5}});
  EXPECT_TRUE(Load.overloads().empty());
}

// Guards against a further replica of a model that has one with room.
TEST(EngineLoadTest, OneReplicaWithRoomIsEnough) {
  const EngineLoad Load =
      makeLoad({{First, {"a", "b"}}, {Second, {"a"}}}, {{"a", 20}, {"b", 40}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().m_Model, "b");
}

// Guards against a replica on an endpoint that is as loaded as the others.
TEST(EngineLoadTest, LoadedEndpointRelievesNothing) {
  const EngineLoad Load = makeLoad(
      {{First, {"a"}}, {Second, {"b"}}, {Third, {}}}, {{"a", 30}, {"b", 25}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_FALSE(Load.relieves(Second, Found.front()));
  EXPECT_TRUE(Load.relieves(Third, Found.front()));
}

// Guards against a rare model on a crowded endpoint that counts as much as the
// model that crowds it.
TEST(EngineLoadTest, BusiestModelComesFirst) {
  const EngineLoad Load =
      makeLoad({{First, {"rare", "zbusy"}}}, {{"rare", 0.1}, {"zbusy", 40}});
  const auto Found = Load.overloads();
  ASSERT_EQ(Found.size(), 2U);
  EXPECT_EQ(Found.front().m_Model, "zbusy");
  EXPECT_LT(Found.back().m_ReliefSeconds, 2);
}

} // namespace
} // namespace sff::serving
