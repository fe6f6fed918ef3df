#include "Core/Placement/SlotPlanner.h"

#include "CoreFixtures.h"

#include <gtest/gtest.h>

#include <set>

namespace sff::placement {
namespace {

using test::GiB;
using test::makeAdapter;
using test::makeEngine;
using test::makeModel;

const IncarnationId Self("c");

struct SlotPlannerTest : testing::Test {
  test::StateBuilder m_Log;
  std::vector<messages::EndpointInfo> m_Endpoints;
  std::vector<EndpointId> m_Fencing;
  std::vector<IncarnationId> m_Gone;

  SlotPlannerTest() { m_Log.renew("c"); }

  PlanContext context() const {
    return {m_Log.m_State, m_Endpoints, Self, m_Fencing, m_Gone};
  }
  void addEngine(const std::string &Name, const std::string &Zone,
                 std::int64_t MemoryBytes = 64 * GiB) {
    m_Endpoints.push_back(makeEngine(Name, Zone, "live", MemoryBytes));
    m_Log.claim("c", Name);
  }
  std::vector<fold::SlotItem> grant() {
    auto Items = planGrants(context());
    if (!Items.empty()) {
      const auto Result = m_Log.add(fold::SlotGrant{{}, Self, Items});
      EXPECT_TRUE(Result.m_Rejections.empty());
    }
    return Items;
  }
};

// Guards against placing all replicas of an entry in one availability zone,
// whose outage would take them all down.
TEST_F(SlotPlannerTest, SpreadsOverZonesAndEndpoints) {
  for (int Number = 0; Number < 12; ++Number)
    addEngine("e" + std::to_string(Number), "z" + std::to_string(Number % 4));
  for (int Number = 0; Number < 50; ++Number)
    m_Log.publish("m" + std::to_string(Number), makeModel(4));
  EXPECT_EQ(grant().size(), 200u);
  for (int Number = 0; Number < 50; ++Number) {
    std::set<ZoneId> Zones;
    for (const auto &Endpoint :
         m_Log.m_State.endpointsOf(EntryName("m" + std::to_string(Number))))
      for (const auto &Info : m_Endpoints)
        if (Info.m_Endpoint == Endpoint)
          Zones.insert(Info.m_Zone);
    EXPECT_EQ(Zones.size(), 4u);
  }
  for (const auto &Info : m_Endpoints) {
    const auto Count = m_Log.m_State.slotsAt(Info.m_Endpoint).size();
    EXPECT_GE(Count, 12u);
    EXPECT_LE(Count, 21u);
  }
  EXPECT_TRUE(grant().empty());
}

// Guards against assigning slots that can never be loaded: on an endpoint with
// too little memory, on one that is leaving, or without the base of an adapter.
TEST_F(SlotPlannerTest, SlotsNeedMemoryLiveEndpointAndBase) {
  addEngine("small", "z", 2 * GiB);
  addEngine("large", "z", 80 * GiB);
  m_Endpoints.push_back(makeEngine("leaving", "z", "leaving", 80 * GiB));
  m_Log.claim("c", "leaving");
  m_Log.publish("big", makeModel(3, 40 * GiB));
  m_Log.publish("tuned", makeAdapter("big", 2));
  EXPECT_EQ(grant().size(), 1u);
  const auto Adapters = grant();
  ASSERT_EQ(Adapters.size(), 1u);
  EXPECT_EQ(Adapters[0].m_Endpoint, EndpointId("large"));
  EXPECT_TRUE(grant().empty());
}

// Guards against moving assigned slots when an endpoint is added.
TEST_F(SlotPlannerTest, NewEndpointDoesNotMoveAssignedSlots) {
  addEngine("e1", "z");
  addEngine("e2", "z");
  m_Log.publish("m", makeModel(1));
  grant();
  addEngine("e3", "z");
  EXPECT_TRUE(planGrants(context()).empty());
  EXPECT_TRUE(planReleases(context()).empty());
}

// Guards against releasing a base before its adapters, which the cluster state
// rejects, and against keeping a slot after the base of its adapter has
// changed.
TEST_F(SlotPlannerTest, ReleasesAdaptersBeforeTheirBase) {
  addEngine("e", "z");
  m_Log.publish("a-base", makeModel(1));
  m_Log.publish("b-adapter", makeAdapter("a-base"));
  m_Log.publish("other", makeModel(1));
  grant();
  grant();
  m_Endpoints[0].m_State = "leaving";
  auto Items = planReleases(context());
  ASSERT_EQ(Items.size(), 3u);
  EXPECT_EQ(Items[0].m_Entry, EntryName("b-adapter"));
  EXPECT_TRUE(
      m_Log.add(fold::SlotRelease{{}, Self, Items}).m_Rejections.empty());
  m_Endpoints[0].m_State = "live";
  grant();
  grant();
  m_Log.publish("b-adapter", makeAdapter("missing"));
  Items = planReleases(context());
  ASSERT_EQ(Items.size(), 1u);
  EXPECT_EQ(Items[0].m_Entry, EntryName("b-adapter"));
}

// Guards against releasing a slot on an endpoint where a delayed order of a
// lapsed owner may load the replica again, and against loading without headroom
// for such an order.
TEST_F(SlotPlannerTest, NonFencingEndpointKeepsSlotsUntilLapsedOwnersAreGone) {
  m_Log.renew("old");
  m_Log.claim("old", "e");
  m_Endpoints = {makeEngine("e", "z")};
  m_Log.publish("m", makeModel(1, 4 * GiB));
  m_Log.publish("n", makeModel(1, 2 * GiB));
  m_Log.grant("old", "m", 0, "e");
  m_Log.grant("old", "n", 0, "e");
  m_Log.claim("c", "e");
  m_Log.publish("m", makeModel(1, GiB));
  m_Log.publish("m", std::nullopt);
  const EndpointId Endpoint("e");
  const std::vector<EntryName> Loaded = {EntryName("m")};
  EXPECT_TRUE(planReleases(context()).empty());
  EXPECT_EQ(requiredHeadroom(context(), Endpoint, {}), 4 * GiB);
  EXPECT_EQ(requiredHeadroom(context(), Endpoint, Loaded), 2 * GiB);
  m_Fencing = {Endpoint};
  EXPECT_EQ(planReleases(context()).size(), 1u);
  EXPECT_EQ(requiredHeadroom(context(), Endpoint, {}), 0);
  m_Fencing.clear();
  m_Gone = {IncarnationId("old")};
  EXPECT_EQ(planReleases(context()).size(), 1u);
  EXPECT_EQ(requiredHeadroom(context(), Endpoint, {}), 0);
}

// Guards against a replica that keeps serving an old version, and against an
// adapter that stays loaded while its base is unloaded.
TEST_F(SlotPlannerTest, ReplicasOfChangedEntriesAreUnloaded) {
  addEngine("e", "z");
  m_Log.publish("base", makeModel(1));
  m_Log.publish("adapter", makeAdapter("base"));
  grant();
  grant();
  const EndpointId Endpoint("e");
  std::vector<LoadedReplica> Loaded = {
      {Endpoint, EntryName("base"), "1", {}, GiB},
      {Endpoint, EntryName("adapter"), "1", EntryName("base"), GiB / 16}};
  EXPECT_TRUE(planUnloads(context(), Loaded).empty());
  auto Changed = makeModel(1);
  Changed.m_Version = "2";
  m_Log.publish("base", Changed);
  const auto Items = planUnloads(context(), Loaded);
  ASSERT_EQ(Items.size(), 2u);
  EXPECT_EQ(Items[0].m_Entry, EntryName("adapter"));
  EXPECT_EQ(Items[0].m_Reason, UnloadReason::BaseUnloaded);
  EXPECT_EQ(Items[1].m_Reason, UnloadReason::VersionChanged);
  Loaded[0].m_Version = "2";
  Loaded[1].m_WeightBytes = 1;
  ASSERT_EQ(planUnloads(context(), Loaded).size(), 1u);
  EXPECT_EQ(planUnloads(context(), Loaded)[0].m_Reason,
            UnloadReason::WeightChanged);
  Loaded.push_back({Endpoint, EntryName("stray"), "1", {}, GiB});
  EXPECT_EQ(planUnloads(context(), Loaded).back().m_Reason,
            UnloadReason::SlotMissing);
}

} // namespace
} // namespace sff::placement
