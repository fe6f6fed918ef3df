#include "ProcessTests/Deployment/DeploymentFixture.h"

#include <sstream>

namespace sff::test {
namespace {

using PlatformFaultTest = DeploymentFixture;

constexpr int RejectedExitCode = 3;

// Guards against a change that stays out of force where only the path to the
// log is cut.
TEST_F(PlatformFaultTest, ChangeReachesAHostThatIsCutFromTheLog) {
  deploy();
  m_Hosts[1].m_LogPath->setNewConnections(CutProxy::Mode::Refuse);
  m_Hosts[1].m_LogPath->cutExisting();
  EXPECT_EQ(publish("m", modelSpec(1)), 0);
  EXPECT_TRUE(waitUntilServed(1, "cut-"));
}

// Guards against stopping work that does not need the log, and against running
// work whose safety depends on it.
TEST_F(PlatformFaultTest, LogOutageKeepsModelsServingAndRefusesReservations) {
  deploy();
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_EQ(publish("svc", serviceSpec()), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  ASSERT_TRUE(waitUntil([&] { return reserve(0, "before").status() == 200; }));
  setFaults(m_Log, {{"outage", true}});
  ASSERT_TRUE(waitUntil([&] { return reserve(0, "during").status() == 503; }));
  const Reply Refused = reserve(0, "during");
  EXPECT_EQ(Refused.json().at("outcome"), "not_run");
  EXPECT_GT(Refused.json().at("retry_after_ms"), 0);
  EXPECT_EQ(executions("during"), 0);
  // Longer than lease and margin of the fixture.
  const auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  for (int Index = 0; std::chrono::steady_clock::now() < Until; ++Index)
    EXPECT_EQ(complete(Index % 2, "o-" + std::to_string(Index)).status(), 200);
  setFaults(m_Log, {{"outage", false}});
  EXPECT_TRUE(waitUntil([&] { return reserve(0, "after").status() == 200; }));
  EXPECT_EQ(executions("after"), 1);
  EXPECT_EQ(loadedReplicas("m"), 1);
}

// Guards against appending again after an answer was lost.
TEST_F(PlatformFaultTest, LostAppendAnswersNeitherDoubleNorLoseAnything) {
  deploy();
  setFaults(m_Log, {{"lose_answers", true}});
  EXPECT_EQ(publish("m", modelSpec(1)), 0);
  EXPECT_EQ(publish("svc", serviceSpec()), 0);
  EXPECT_TRUE(waitUntilServed(0, "a-"));
  const Reply First = reserve(0, "key");
  if (First.status() == 200) {
    EXPECT_EQ(executions("key"), 1);
  }
  setFaults(m_Log, {{"lose_answers", false}});
  (void)reserve(1, "key");
  EXPECT_LE(executions("key"), 1);
}

// Guards against two operators who are both told that their change is in force.
TEST_F(PlatformFaultTest, RacingOperatorsGetOneAcceptedAndOneRejected) {
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

// Guards against a takeover that needs what two failures at once have taken.
TEST_F(PlatformFaultTest, OwnerLostDuringALogOutageIsReplacedAfterIt) {
  deploy({.m_Zones = 1, .m_HostsPerZone = 2});
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  const int Engine = engineOf("m");
  const int Owner = ownerOf(Engine);
  setFaults(m_Log, {{"outage", true}});
  killHost(Owner);
  const Reply During = complete(1 - Owner, "during", 2, milliseconds(4000));
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
