#include "RouterFixture.h"

namespace sff::router::testing {

namespace {

bool isReady(const std::future<http::SendResult> &Pending) {
  return Pending.wait_for(milliseconds(0)) == std::future_status::ready;
}

} // namespace

TEST_F(RouterTest, AnswersACompletion) {
  const auto Running = startRouter();
  http::Request Message = completion("hello");
  Message.m_Headers.set("X-Request-Id", "mine");
  const auto Answer = get(std::move(Message));
  EXPECT_EQ(Answer.m_Status, 200);
  EXPECT_EQ(Answer.m_Body, "{\"text\":\"whole\"}");
  EXPECT_EQ(Answer.m_Headers.find("X-Request-Id"), "mine");
}

TEST_F(RouterTest, ForwardsAStream) {
  const auto Running = startRouter();
  const auto Answer = get(completion("hello", true));
  EXPECT_EQ(Answer.m_Headers.find("Content-Type"), "text/event-stream");
  EXPECT_EQ(Answer.m_Body, "data: 0\n\ndata: 1\n\ndata: 2\n\ndata: 3\n\n"
                           "data: 4\n\ndata: [DONE]\n\n");
}

TEST_F(RouterTest, ListsModelsAndMetricsWithoutEntryLabels) {
  const auto Running = startRouter();
  get(completion("hello"));
  const auto Models = get({"GET", "/v1/models", {}, ""});
  EXPECT_NE(Models.m_Body.find("\"id\":\"m\""), std::string::npos);
  const auto Metrics = get({"GET", "/metrics", {}, ""});
  EXPECT_NE(Metrics.m_Body.find("sff_router_requests_total{"),
            std::string::npos);
  EXPECT_EQ(Metrics.m_Body.find("entry="), std::string::npos);
}

// Guards against refusals that share one response or report a wrong outcome.
TEST_F(RouterTest, EachRefusalHasItsOwnAnswer) {
  const auto Running = startRouter();
  const auto Expect = [&](http::Request Message, int Status,
                          const std::string &Reason) {
    const auto Answer = get(std::move(Message));
    EXPECT_EQ(Answer.m_Status, Status) << Answer.m_Body;
    EXPECT_EQ(problemOf(Answer).value("reason", ""), Reason);
    EXPECT_EQ(problemOf(Answer).value("outcome", ""), "not_run");
    EXPECT_EQ(Answer.m_Headers.find("Content-Type"),
              "application/problem+json");
  };
  Expect({"POST", "/v1/completions", {}, "{not json"}, 400, "malformed");
  Expect({"POST", "/v1/completions", {}, "{\"model\":\"none\"}"}, 404,
         "unknown_entry");
  Expect({"GET", "/services/none/x", {}, ""}, 404, "unknown_entry");
  Expect({"POST", "/services/svc/x", {}, "{}"}, 400, "malformed");
  http::Request Late = completion("x");
  Late.m_Headers.set("X-Request-Timeout-Ms", "0");
  Expect(Late, 504, "deadline_expired");
  Late.m_Headers.set("X-Request-Timeout-Ms", "soon");
  Expect(Late, 400, "malformed");
  EXPECT_EQ(m_EngineA.m_Executions + m_EngineB.m_Executions, 0);
}

// Guards against a request that keeps waiting although every owner refuses.
TEST_F(RouterTest, RefusedCreditsAreReportedAtOnceWithARetryTime) {
  const auto Running = startRouter();
  m_Controller.m_RefuseCredits = true;
  const auto Started = now();
  const auto Answer = get(completion("x"));
  EXPECT_EQ(Answer.m_Status, 503);
  EXPECT_EQ(problemOf(Answer).value("reason", ""), "no_replica");
  EXPECT_GE(problemOf(Answer).value("retry_after_ms", 0), 1000);
  EXPECT_GE(std::stoi(Answer.m_Headers.find("Retry-After").value_or("0")), 1);
  EXPECT_LT(now() - Started, std::chrono::seconds(10));
}

// Guards against holding a request for a load that will end after its deadline.
TEST_F(RouterTest, LoadBeyondTheDeadlineIsRefusedBeforeTheDeadline) {
  const auto Running = startRouter();
  m_Controller.m_Loading = true;
  const auto Started = now();
  const auto Answer = get(completion("x"));
  EXPECT_EQ(Answer.m_Status, 504);
  EXPECT_EQ(problemOf(Answer).value("reason", ""), "deadline_unreachable");
  EXPECT_LT(now() - Started, std::chrono::seconds(15));
}

// Guards against a loading estimate that never shrinks and so holds a request
// until shortly before its deadline of 30 s.
TEST_F(RouterTest, LoadWithoutProgressIsGivenUpEarly) {
  const auto Running = startRouter();
  m_Controller.m_Capacity = 0;
  const auto Started = now();
  const auto Answer = get(completion("x"));
  EXPECT_EQ(problemOf(Answer).value("reason", ""), "no_replica");
  EXPECT_LT(now() - Started, std::chrono::seconds(15));
}

// Guards against an unbounded queue and an unlimited number of requests of one
// team.
TEST_F(RouterTest, QueueAndTeamLimitsRefuseWithTooManyRequests) {
  catalogue::EntrySpec Narrow;
  Narrow.m_Kind = catalogue::EntryKind::Service;
  Narrow.m_Team = "team";
  Narrow.m_Service = "svc";
  Narrow.m_MaxConcurrent = 1;
  Narrow.m_MaxQueue = 1;
  Narrow.m_Repeatable = true;
  publish("narrow", Narrow);
  const auto Running = startRouter(0, {{"admission", {{"team_requests", 3}}}});
  m_Service.m_HoldResponses = true;
  const http::Request Message{"GET", "/services/narrow/x", {}, ""};
  auto First = sendLater(Message);
  ASSERT_TRUE(eventually([&] { return m_Service.m_Executions == 1; }));
  // One of them waits in the queue, and the one that arrives later finds it
  // full. They are sent on two connections, so either may be that.
  auto Waiting = sendLater(Message);
  auto Refused = sendLater(Message);
  ASSERT_TRUE(eventually([&] { return isReady(Waiting) || isReady(Refused); }));
  if (isReady(Waiting))
    std::swap(Waiting, Refused);
  const auto Refusal = Refused.get();
  ASSERT_TRUE(std::holds_alternative<http::Response>(Refusal));
  EXPECT_EQ(std::get<http::Response>(Refusal).m_Status, 429);
  EXPECT_EQ(problemOf(std::get<http::Response>(Refusal)).value("reason", ""),
            "queue_full");
  EXPECT_FALSE(isReady(Waiting));
  auto BoardCall = sendLater({"GET", "/services/board/x", {}, ""});
  ASSERT_TRUE(eventually([&] { return m_Service.m_Executions == 2; }));
  const auto Fourth = get({"GET", "/services/board/x", {}, ""});
  EXPECT_EQ(problemOf(Fourth).value("reason", ""), "team_limit");
  m_Service.m_HoldResponses = false;
  EXPECT_TRUE(std::holds_alternative<http::Response>(First.get()));
  EXPECT_TRUE(std::holds_alternative<http::Response>(Waiting.get()));
  EXPECT_TRUE(std::holds_alternative<http::Response>(BoardCall.get()));
}

// Guards against sending a caller the response to another request.
TEST_F(RouterTest, WrongAnswerIsNeverDelivered) {
  const auto Running = startRouter();
  m_EngineA.m_EchoWrongIds = true;
  const auto Answer = get(completion("x"));
  EXPECT_EQ(Answer.m_Status, 200);
  EXPECT_EQ(m_EngineB.m_Executions, 1);
  m_EngineB.m_EchoWrongIds = true;
  const auto Second = get(completion("y"));
  EXPECT_EQ(Second.m_Status, 502);
  EXPECT_EQ(problemOf(Second).value("outcome", ""), "outcome_unknown");
}

// Guards against a false "not run" outcome, and against a needless failure,
// when the endpoint cannot be reached at all.
TEST_F(RouterTest, UnreachableEndpointIsReplacedOrProvablyNotRun) {
  const auto Running = startRouter();
  m_EngineA.shutDown();
  EXPECT_EQ(get(completion("x")).m_Status, 200);
  m_EngineB.shutDown();
  const auto Answer = get(completion("x"));
  EXPECT_EQ(Answer.m_Status, 503);
  EXPECT_EQ(problemOf(Answer).value("outcome", ""), "not_run");
}

// Guards against work that continues after its caller has disconnected, and
// against lending a credit again while its request still runs.
TEST_F(RouterTest, LostCallerCancelsAndFreesItsCredit) {
  const auto Running = startRouter();
  m_EngineA.m_HoldResponses = true;
  http::ClientOptions Short;
  Short.m_ReadTimeout = milliseconds(300);
  auto Gone = boost::asio::co_spawn(
      m_Loop.context(), m_Client.send(routerAt(0), completion("x"), Short),
      boost::asio::use_future);
  EXPECT_TRUE(std::holds_alternative<http::TransportFailure>(Gone.get()));
  EXPECT_TRUE(eventually([&] { return m_EngineA.m_Cancels >= 2; }));
  EXPECT_TRUE(eventually(
      [&] { return m_Controller.outstanding(EndpointId("a")) == 0; }));
}

// Guards against new work at an endpoint that is leaving.
TEST_F(RouterTest, LeavingEndpointGetsNoNewWork) {
  const auto Running = startRouter();
  auto Leaving = infoOf("a", m_EngineA);
  Leaving.m_State = "leaving";
  m_Controller.setEndpoint(Leaving);
  EXPECT_TRUE(eventually([&] {
    const int Before = m_EngineA.m_Executions;
    get(completion("x"));
    return m_EngineA.m_Executions == Before;
  }));
  const int Before = m_EngineA.m_Executions;
  for (int Index = 0; Index < 5; ++Index)
    EXPECT_EQ(get(completion("x")).m_Status, 200);
  EXPECT_EQ(m_EngineA.m_Executions, Before);
}

// Guards against aborting a request on a graceful stop, and against credits
// that stay lent afterwards.
TEST_F(RouterTest, GracefulStopFinishesRequestsAndReturnsCredits) {
  auto Running = startRouter(0, {{"router", {{"drain_delay_ms", 1000}}}});
  m_EngineA.m_HoldResponses = true;
  m_EngineB.m_HoldResponses = true;
  auto Open = sendLater(completion("x"));
  ASSERT_TRUE(eventually(
      [&] { return m_EngineA.m_Executions + m_EngineB.m_Executions == 1; }));
  auto Stopped = std::async(std::launch::async, [&] { Running->stop(); });
  EXPECT_TRUE(eventually([&] {
    return get({"GET", "/readyz", {}, ""}).m_Status == 503;
  }));
  m_EngineA.m_HoldResponses = false;
  m_EngineB.m_HoldResponses = false;
  const auto Result = Open.get();
  ASSERT_TRUE(std::holds_alternative<http::Response>(Result));
  EXPECT_EQ(std::get<http::Response>(Result).m_Status, 200);
  Stopped.get();
  EXPECT_EQ(m_Controller.outstanding(EndpointId("a")), 0);
  EXPECT_EQ(m_Controller.outstanding(EndpointId("b")), 0);
}

// Guards against reporting an entry as unknown before the catalogue has been
// read.
TEST_F(RouterTest, EntryIsNotDeniedBeforeTheCatalogueIsKnown) {
  const auto Running = std::make_unique<Router>(
      settingsOf(0, {{"router", {{"relays", {UnusedAddress}}}}}),
      identityOf(0));
  Running->start();
  const auto Answer = get(completion("x"));
  EXPECT_EQ(Answer.m_Status, 503);
  EXPECT_EQ(problemOf(Answer).value("reason", ""), "no_replica");
  EXPECT_EQ(get({"GET", "/readyz", {}, ""}).m_Status, 503);
}

// Guards against spreading requests over engines although one has their prompt
// cached.
TEST_F(RouterTest, SamePromptStaysAtItsEngine) {
  const auto Running = startRouter();
  const std::string Long(4000, 'p');
  get(completion(Long));
  for (int Index = 0; Index < 6; ++Index)
    EXPECT_EQ(get(completion(Long)).m_Status, 200);
  EXPECT_EQ(std::min<int>(m_EngineA.m_Executions, m_EngineB.m_Executions), 0);
}

} // namespace sff::router::testing
