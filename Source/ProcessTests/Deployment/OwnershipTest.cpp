#include "ProcessTests/Deployment/DeploymentFixture.h"

namespace sff::test {
namespace {

class OwnershipTest : public DeploymentFixture {
protected:
  int loadsStarted(const std::string &Model) {
    const auto Loads = m_Http.get(m_Weights, "/v1/loads").json();
    return Loads.at("started").value(Model, 0);
  }

  /// Pauses the owner until its lease has expired and another host has taken
  /// over, then resumes it. Checks the replica count and that no memory was
  /// overcommitted.
  void checkPausedOwner() {
    ASSERT_EQ(publish("m", modelSpec(1)), 0);
    ASSERT_TRUE(waitUntilServed(0, "warm-"));
    const int Engine = engineOf("m");
    ASSERT_GE(Engine, 0);
    const int Owner = ownerOf(Engine);
    controllerOf(Owner).pause();
    ASSERT_TRUE(waitUntil([&] { return ownerOf(Engine) != Owner; }));
    EXPECT_TRUE(waitUntilServed(1 - Owner, "after-"));
    controllerOf(Owner).resume();
    ASSERT_TRUE(waitUntil(
        [&] { return controllerOf(Owner).hasLogged("endpoint.lost"); }));
    for (int Index = 0; Index < 20; ++Index)
      EXPECT_EQ(complete(Index % 2, "late-" + std::to_string(Index)).status(),
                200);
    EXPECT_EQ(loadedReplicas("m"), 1);
    expectNoOvercommit();
  }
};

// Guards against each router starting its own load when a burst of requests
// reaches a model that is not loaded.
TEST_F(OwnershipTest, BurstAtAllRoutersLoadsSingleReplicaOnce) {
  deploy({.m_Zones = 2, .m_EnginesPerZone = 2});
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_TRUE(waitUntil([&] { return engineOf("m") >= 0; }));
  std::vector<std::future<HttpResult>> Burst;
  Burst.reserve(16);
  for (int Index = 0; Index < 16; ++Index)
    Burst.push_back(completeAsync(Index % 2, "b-" + std::to_string(Index), 4));
  for (auto &Item : Burst)
    EXPECT_EQ(Item.get().status(), 200);
  EXPECT_EQ(loadsStarted("m"), 1);
  EXPECT_EQ(loadedReplicas("m"), 1);
  expectNoOvercommit();
}

// Guards against a second replica, or overcommitted memory, when the owner is
// lost during a load and another host takes over.
TEST_F(OwnershipTest, OwnerKilledDuringLoadIsReplaced) {
  deploy({.m_Zones = 2, .m_EnginesPerZone = 2});
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_TRUE(waitUntil([&] { return engineOf("m") >= 0; }));
  const int Engine = engineOf("m");
  const int Owner = ownerOf(Engine);
  setFaults(m_Weights, {{"slowdown", 50}});
  auto First = completeAsync(1 - Owner, "first", 2, milliseconds(15000));
  ASSERT_TRUE(waitUntil([&] { return loadsStarted("m") > 0; }));
  killHost(Owner);
  setFaults(m_Weights, {{"slowdown", 1}});
  EXPECT_TRUE(waitUntilServed(1 - Owner, "again-"));
  const int Status = First.get().status();
  EXPECT_TRUE(Status == 200 || Status == 503 || Status == 504) << Status;
  EXPECT_EQ(loadedReplicas("m"), 1);
  expectNoOvercommit();
}

TEST_F(OwnershipTest, PausedOwnerOfFencingEndpointsIsHarmless) {
  deploy({.m_Zones = 1, .m_HostsPerZone = 2});
  checkPausedOwner();
}

TEST_F(OwnershipTest, PausedOwnerOfNonFencingEndpointsIsHarmless) {
  deploy({.m_Zones = 1, .m_HostsPerZone = 2, .m_Fencing = false});
  checkPausedOwner();
}

// Guards against exceeding the replica count when it is lowered and raised
// again.
TEST_F(OwnershipTest, LoweredCountUnloadsAndRaisedCountLoadsAgain) {
  deploy({.m_Zones = 2, .m_EnginesPerZone = 1});
  ASSERT_EQ(publish("m", modelSpec(2)), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  ASSERT_EQ(publish("m", modelSpec(0)), 0);
  EXPECT_TRUE(waitUntil([&] { return loadedReplicas("m") == 0; }));
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  EXPECT_TRUE(waitUntilServed(0, "b-"));
  EXPECT_EQ(loadedReplicas("m"), 1);
}

// Guards against new requests at an endpoint that is leaving, and against a
// model that stays unavailable after its endpoint has left.
TEST_F(OwnershipTest, LeavingEndpointIsDrainedAndItsSlotMoves) {
  deploy({.m_Zones = 1, .m_HostsPerZone = 1, .m_EnginesPerZone = 2});
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  const int Engine = engineOf("m");
  auto Running = completeAsync(0, "running", 60);
  ASSERT_TRUE(
      waitUntil([&] { return !inventory(Engine).at("running").empty(); }));
  setHostState(m_Engines[static_cast<std::size_t>(Engine)].m_Name, "leaving");
  EXPECT_EQ(Running.get().status(), 200);
  ASSERT_TRUE(waitUntil([&] {
    const int Now = engineOf("m");
    return Now >= 0 && Now != Engine;
  }));
  const auto Accepted = inventory(Engine).at("accepted");
  EXPECT_TRUE(waitUntilServed(0, "b-"));
  EXPECT_EQ(inventory(Engine).at("accepted"), Accepted);
  EXPECT_EQ(loadedReplicas("m"), 1);
}

} // namespace
} // namespace sff::test
