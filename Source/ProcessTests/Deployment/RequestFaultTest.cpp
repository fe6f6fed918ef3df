#include "ProcessTests/Deployment/DeploymentFixture.h"

#include <set>

namespace sff::test {
namespace {

class RequestFaultTest : public DeploymentFixture {
protected:
  void publishService() {
    ASSERT_EQ(publish("svc", serviceSpec()), 0);
    ASSERT_TRUE(waitUntil([&] {
      return reserve(0, "probe-0").status() == 200 &&
             reserve(1, "probe-1").status() == 200;
    }));
  }
};

// Guards against executing a call twice when it reaches two hosts concurrently.
TEST_F(RequestFaultTest, SameKeyAtTwoHostsConcurrentlyExecutesOnce) {
  deploy();
  publishService();
  for (int Round = 0; Round < 5; ++Round) {
    const std::string Key = "key-" + std::to_string(Round);
    auto Other =
        std::async(std::launch::async, [&] { return reserve(1, Key); });
    const HttpResult First = reserve(0, Key);
    const HttpResult Second = Other.get();
    EXPECT_EQ(executions(Key), 1);
    EXPECT_TRUE(First.status() == 200 || Second.status() == 200);
    if (First.status() == 200 && Second.status() == 200) {
      EXPECT_EQ(First.m_Response.m_Body, Second.m_Response.m_Body);
    }
  }
}

// Guards against a second execution after the host that handled the first one
// was lost.
TEST_F(RequestFaultTest, KeyOfLostHostIsNotExecutedAgain) {
  deploy();
  publishService();
  ASSERT_EQ(reserve(0, "key").status(), 200);
  killHost(0);
  const HttpResult Repeat = reserve(1, "key");
  EXPECT_NE(Repeat.status(), 200);
  EXPECT_EQ(Repeat.json().at("outcome"), "outcome_unknown");
  EXPECT_EQ(executions("key"), 1);
}

// Guards against waiting indefinitely on a connection that a device on the path
// has silently dropped while new connections work.
TEST_F(RequestFaultTest, SilentConnectionsAreReplaced) {
  deploy();
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  for (Engine &Item : m_Engines)
    Item.m_Proxy->setExistingStalled(true);
  for (int Index = 0; Index < 6; ++Index)
    EXPECT_EQ(complete(Index % 2, "s-" + std::to_string(Index)).status(), 200);
}

// Guards against a request that crashes one endpoint after another because its
// caller retries it at other hosts.
TEST_F(RequestFaultTest, CrashingRequestCrashesAtMostTwoEndpoints) {
  deploy({.m_Zones = 2, .m_HostsPerZone = 1, .m_EnginesPerZone = 2});
  ASSERT_EQ(publish("m", modelSpec(4)), 0);
  ASSERT_TRUE(waitUntil([&] { return engineOf("m") >= 0; }));
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  for (const Engine &Item : m_Engines)
    setFaults(Item.m_Address, {{"crash_on", "poison"}});
  for (int Index = 0; Index < 6; ++Index) {
    const HttpResult Result = complete(Index % 2, "p-" + std::to_string(Index),
                                       4, milliseconds(6000), "poison");
    EXPECT_NE(Result.status(), 200);
  }
  int Crashed = 0;
  for (const Engine &Item : m_Engines)
    Crashed += process(Item.m_Name).isRunning() ? 0 : 1;
  EXPECT_GE(Crashed, 1);
  EXPECT_LE(Crashed, 2);
}

// Guards against delivering the response of one request to another caller.
TEST_F(RequestFaultTest, CrossedResponsesNeverReachTheWrongCaller) {
  deploy({.m_Zones = 1, .m_HostsPerZone = 2});
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  const HttpResult Expected = complete(0, "x-0", 4);
  for (const Engine &Item : m_Engines)
    setFaults(Item.m_Address, {{"crossed_answers", true}});
  std::vector<std::future<HttpResult>> Calls;
  Calls.reserve(8);
  for (int Index = 0; Index < 8; ++Index)
    Calls.push_back(completeAsync(Index % 2, "x-" + std::to_string(Index), 4,
                                  milliseconds(6000)));
  std::set<std::string> Texts;
  int CompleteResponses = 0;
  for (std::size_t Index = 0; Index < Calls.size(); ++Index) {
    const HttpResult Result = Calls[Index].get();
    if (Result.status() != 200)
      continue;
    ++CompleteResponses;
    // The text depends on the request id, so equal texts mean that a response
    // was delivered to the wrong caller.
    Texts.insert(Result.json().at("choices").at(0).at("text"));
    EXPECT_EQ(Result.json().at("id"), "cmpl-x-" + std::to_string(Index));
    if (Index == 0) {
      EXPECT_EQ(Result.m_Response.m_Body, Expected.m_Response.m_Body);
    }
  }
  EXPECT_EQ(static_cast<int>(Texts.size()), CompleteResponses);
}

// Guards against dropping active requests when a host shuts down.
TEST_F(RequestFaultTest, GracefulStopFinishesAllRequests) {
  deploy({.m_Zones = 1, .m_HostsPerZone = 2});
  ASSERT_EQ(publish("m", modelSpec(1)), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  std::vector<std::future<HttpResult>> Calls;
  Calls.reserve(8);
  for (int Index = 0; Index < 8; ++Index)
    Calls.push_back(completeAsync(0, "g-" + std::to_string(Index), 60));
  ASSERT_TRUE(waitUntil(
      [&] { return !inventory(engineOf("m")).at("running").empty(); }));
  routerOf(0).terminate();
  controllerOf(0).terminate();
  for (auto &Call : Calls)
    EXPECT_EQ(Call.get().status(), 200);
  EXPECT_EQ(routerOf(0).waitForExit(), 0);
  EXPECT_EQ(controllerOf(0).waitForExit(), 0);
  EXPECT_TRUE(waitUntilServed(1, "b-"));
}

// Guards against a truncated response that looks complete when an engine dies
// while generating it.
TEST_F(RequestFaultTest, EngineKilledDuringResponseNeverTruncatesIt) {
  deploy({.m_Zones = 2, .m_HostsPerZone = 1, .m_EnginesPerZone = 1});
  ASSERT_EQ(publish("m", modelSpec(2)), 0);
  ASSERT_TRUE(waitUntilServed(0, "a-"));
  auto Call = completeAsync(0, "k", 60, milliseconds(15000));
  int Busy = -1;
  ASSERT_TRUE(waitUntil([&] {
    for (int Index = 0; Index < 2; ++Index)
      if (!inventory(Index).at("running").empty())
        Busy = Index;
    return Busy >= 0;
  }));
  process(m_Engines[static_cast<std::size_t>(Busy)].m_Name).kill();
  const HttpResult Result = Call.get();
  if (Result.status() == 200) {
    EXPECT_EQ(Result.json().at("usage").at("completion_tokens"), 60);
  } else {
    EXPECT_TRUE(Result.json().contains("outcome")) << Result.status();
  }
}

} // namespace
} // namespace sff::test
