#include "RouterFixture.h"

namespace sff::router::testing {

namespace {

std::size_t countOf(FakeRelay &Relay, const std::string &Type) {
  std::size_t Count = 0;
  for (const auto &Item : Relay.records("intents"))
    Count += Item.m_Data.value("type", "") == Type;
  return Count;
}

} // namespace

// Guards against a second execution for a retried key, at the same router or at
// another one, and against different answers to the retries.
TEST_F(RouterTest, RepeatedKeyGetsTheSameAnswerOfOneExecution) {
  const auto First = startRouter(0);
  const auto Second = startRouter(1);
  const auto Answer = get(call("k1", "{\"seat\":1}"));
  EXPECT_EQ(Answer.m_Status, 200);
  EXPECT_EQ(get(call("k1", "{\"seat\":1}")).m_Body, Answer.m_Body);
  const auto Elsewhere = get(call("k1", "{\"seat\":1}"), 1);
  EXPECT_EQ(Elsewhere.m_Status, 200);
  EXPECT_EQ(Elsewhere.m_Body, Answer.m_Body);
  EXPECT_EQ(m_Service.m_Executions, 1);
  EXPECT_TRUE(eventually([&] { return countOf(m_Relay, "intent_done") == 1; }));
}

// Guards against two executions when requests with the same key arrive at the
// same time.
TEST_F(RouterTest, ConcurrentCallsWithOneKeyExecuteOnce) {
  const auto First = startRouter(0);
  const auto Second = startRouter(1);
  m_Service.m_HoldResponses = true;
  auto One = sendLater(call("k2", "{}"), 0);
  auto Two = sendLater(call("k2", "{}"), 1);
  auto Three = sendLater(call("k2", "{}"), 0);
  ASSERT_TRUE(eventually([&] { return countOf(m_Relay, "intent") >= 1; }));
  ASSERT_TRUE(eventually([&] { return m_Service.m_Executions == 1; }));
  m_Service.m_HoldResponses = false;
  for (auto *Pending : {&One, &Two, &Three}) {
    const auto Result = Pending->get();
    ASSERT_TRUE(std::holds_alternative<http::Response>(Result));
    EXPECT_EQ(std::get<http::Response>(Result).m_Status, 200);
  }
  EXPECT_EQ(m_Service.m_Executions, 1);
}

// Guards against one key being accepted for two different calls.
TEST_F(RouterTest, OtherBodyForAKeyIsRefused) {
  const auto Running = startRouter();
  get(call("k3", "{\"seat\":1}"));
  const auto Answer = get(call("k3", "{\"seat\":2}"));
  EXPECT_EQ(Answer.m_Status, 422);
  EXPECT_EQ(problemOf(Answer).value("reason", ""), "key_conflict");
  EXPECT_EQ(m_Service.m_Executions, 1);
}

// Guards against dispatching a call without an intent while the log is down.
TEST_F(RouterTest, UnreachableLogRefusesAtOnce) {
  const auto Running = startRouter();
  m_Relay.m_LogReachable = false;
  const auto IsRefused = [&] {
    const auto Answer = get(call("k4", "{}"));
    return problemOf(Answer).value("reason", "") == "log_unavailable" &&
           problemOf(Answer).value("outcome", "") == "not_run" &&
           Answer.m_Headers.find("Retry-After").has_value();
  };
  EXPECT_TRUE(IsRefused());
  EXPECT_EQ(m_Service.m_Executions, 0);
}

// Guards against a second append, or a refusal, when only the reply to the
// append is lost.
TEST_F(RouterTest, LostAppendAnswerIsResolvedByTheStream) {
  const auto Running = startRouter();
  m_Relay.m_DropAppendReplies = true;
  EXPECT_EQ(get(call("k5", "{}")).m_Status, 200);
  EXPECT_EQ(countOf(m_Relay, "intent"), 1u);
  EXPECT_EQ(m_Service.m_Executions, 1);
}

// Guards against a blocked key when the intent reaches the log after its
// attempt was given up: the attempt has to be voided.
TEST_F(RouterTest, GivenUpAttemptIsVoided) {
  const auto Running = startRouter();
  m_Relay.m_DropAppends = true;
  const auto Answer = get(call("k6", "{}"));
  EXPECT_EQ(Answer.m_Status, 503);
  EXPECT_EQ(problemOf(Answer).value("outcome", ""), "not_run");
  m_Relay.m_DropAppends = false;
  EXPECT_TRUE(eventually([&] { return countOf(m_Relay, "intent_void") == 1; }));
  EXPECT_EQ(get(call("k6", "{}")).m_Status, 200);
  EXPECT_EQ(m_Service.m_Executions, 1);
}

// Guards against losing all but the first intent of a batch, and against
// executing a call whose key belongs to another router.
TEST_F(RouterTest, KeyOfALostRouterIsUnknownNotExecuted) {
  const auto Running = startRouter();
  const auto Key = [](const std::string &Name) {
    return hashParts({"svc", Name});
  };
  const std::string Digest = hashParts({"POST", "/reserve", "{}"});
  std::vector<nlohmann::json> Batch;
  for (const char *Name : {"k7", "k8"})
    Batch.push_back(execution::toJson(
        execution::Intent{Key(Name), makeId<AttemptId>(), IncarnationId("lost"),
                          UnusedAddress, Digest}));
  m_Relay.appendBatch("intents", std::move(Batch));
  EXPECT_TRUE(eventually([&] {
    http::Request Message = call("k8", "{}");
    Message.m_Headers.set("X-Request-Timeout-Ms", "5000");
    const auto Answer = get(std::move(Message));
    return problemOf(Answer).value("outcome", "") == "outcome_unknown";
  }));
  EXPECT_EQ(m_Service.m_Executions, 0);
}

// Guards against repeating a call whose connection broke after dispatch.
TEST_F(RouterTest, BrokenCallIsUnknownAndNotRepeated) {
  const auto Running = startRouter();
  m_Service.m_CrashOnRequest = true;
  const auto Answer = get(call("k9", "crash"));
  EXPECT_EQ(Answer.m_Status, 502);
  EXPECT_EQ(problemOf(Answer).value("outcome", ""), "outcome_unknown");
  EXPECT_EQ(m_Service.m_Executions, 1);
  const auto Repeat = get(call("k9", "crash"));
  EXPECT_EQ(problemOf(Repeat).value("outcome", ""), "outcome_unknown");
  EXPECT_EQ(m_Service.m_Executions, 1);
}

// Guards against a blocked key, and against a false "unknown" outcome, when the
// service could not be reached at all.
TEST_F(RouterTest, UnreachableServiceIsVoidedAndNotRun) {
  const auto Running = startRouter();
  m_Service.shutDown();
  const auto Answer = get(call("k10", "{}"));
  EXPECT_EQ(Answer.m_Status, 503);
  EXPECT_EQ(problemOf(Answer).value("outcome", ""), "not_run");
  EXPECT_TRUE(eventually([&] { return countOf(m_Relay, "intent_void") == 1; }));
}

// Guards against a body that may have been cut off and is kept as the answer to
// a key.
TEST_F(RouterTest, AnswerThatEndsWithItsConnectionIsNotKeptForTheKey) {
  const auto Running = startRouter();
  m_Service.m_EndsWithConnection = true;
  const auto Answer = get(call("k9", "{}"));
  EXPECT_EQ(problemOf(Answer).value("outcome", ""), "outcome_unknown");
  EXPECT_EQ(problemOf(get(call("k9", "{}"))).value("outcome", ""),
            "outcome_unknown");
  EXPECT_EQ(m_Service.m_Executions, 1);
}

} // namespace sff::router::testing
