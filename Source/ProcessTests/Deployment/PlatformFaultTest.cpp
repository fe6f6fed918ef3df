#include "ProcessTests/Deployment/DeploymentFixture.h"

#include <sstream>

namespace sff::test {
namespace {

using PlatformFaultTest = DeploymentFixture;

constexpr int RejectedExitCode = 3;

// Guards against a catalogue change that does not take effect at a host that
// has lost only its own connection to the log.
TEST_F(PlatformFaultTest, ChangeReachesHostWithoutLogConnection) {
  deploy();
  m_Hosts[1].m_LogProxy->setNewConnections(FaultProxy::Mode::Refuse);
  m_Hosts[1].m_LogProxy->closeExisting();
  EXPECT_EQ(publish("m", modelSpec(1)), 0);
  EXPECT_TRUE(waitUntilServed(1, "cut-"));
}

// Guards against rejecting requests that do not need the log during an outage,
// and against executing calls whose at-most-once guarantee depends on it.
TEST_F(PlatformFaultTest, LogOutageKeepsModelsServingAndRejectsReservations) {
  deploy();
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_EQ(publish("svc", serviceSpec()), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  ASSERT_TRUE(waitUntil([&] { return reserve(0, "before").status() == 200; }));
  setFaults(m_Log, {{"outage", true}});
  ASSERT_TRUE(waitUntil([&] { return reserve(0, "during").status() == 503; }));
  const HttpResult Rejected = reserve(0, "during");
  EXPECT_EQ(Rejected.json().at("outcome"), "not_run");
  EXPECT_GT(Rejected.json().at("retry_after_ms"), 0);
  EXPECT_EQ(executions("during"), 0);
  // Longer than the lease duration plus the lease margin of the fixture.
  const auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  for (int Index = 0; std::chrono::steady_clock::now() < Until; ++Index)
    EXPECT_EQ(complete(Index % 2, "o-" + std::to_string(Index)).status(), 200);
  setFaults(m_Log, {{"outage", false}});
  EXPECT_TRUE(waitUntil([&] { return reserve(0, "after").status() == 200; }));
  EXPECT_EQ(executions("after"), 1);
  EXPECT_EQ(loadedReplicas("m"), 1);
}

// Guards against appending a record again after the response to the first
// append was lost.
TEST_F(PlatformFaultTest, LostAppendResponsesNeitherDuplicateNorLoseRecords) {
  deploy();
  setFaults(m_Log, {{"lose_answers", true}});
  EXPECT_EQ(publish("m", modelSpec(1)), 0);
  EXPECT_EQ(publish("svc", serviceSpec()), 0);
  EXPECT_TRUE(waitUntilServed(0, "a-"));
  const HttpResult First = reserve(0, "key");
  if (First.status() == 200) {
    EXPECT_EQ(executions("key"), 1);
  }
  setFaults(m_Log, {{"lose_answers", false}});
  (void)reserve(1, "key");
  EXPECT_LE(executions("key"), 1);
}

// Guards against reporting success to both of two operators whose changes
// conflict.
TEST_F(PlatformFaultTest, SecondOfTwoConflictingChangesIsRejected) {
  deploy();
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  std::istringstream Printed(m_PublishOutput);
  std::string Entry;
  std::string Id;
  std::string Base;
  Printed >> Entry >> Id >> Base;
  nlohmann::json Left = modelSpec(1);
  Left["max_queue"] = 10;
  nlohmann::json Right = modelSpec(1);
  Right["max_queue"] = 20;
  const int First = publish("m", Left, {"--base", Base});
  const int Second = publish("m", Right, {"--base", Base});
  EXPECT_EQ(First, 0);
  EXPECT_EQ(Second, RejectedExitCode);
}

// Guards against a takeover that never completes when the owner of an endpoint
// is lost during a log outage.
TEST_F(PlatformFaultTest, OwnerLostDuringLogOutageIsReplacedAfterIt) {
  deploy({.m_Zones = 1, .m_HostsPerZone = 2});
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  const int Engine = engineOf("m");
  const int Owner = ownerOf(Engine);
  setFaults(m_Log, {{"outage", true}});
  killHost(Owner);
  const HttpResult During =
      complete(1 - Owner, "during", 2, milliseconds(4000));
  if (During.status() != 200) {
    EXPECT_EQ(During.json().at("outcome"), "not_run");
  }
  setFaults(m_Log, {{"outage", false}});
  EXPECT_TRUE(waitUntilServed(1 - Owner, "after-"));
  EXPECT_EQ(loadedReplicas("m"), 1);
  expectNoOvercommit();
}

} // namespace
} // namespace sff::test
