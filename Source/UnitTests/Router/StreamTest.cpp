#include "RouterFixture.h"

namespace sff::router::testing {

namespace {

constexpr const char *WholeStream =
    "data: 0\n\ndata: 1\n\ndata: 2\n\ndata: 3\n\ndata: 4\n\ndata: [DONE]\n\n";

} // namespace

// Guards against lost or repeated tokens after an interrupted stream.
TEST_F(RouterTest, InterruptedStreamIsResumedWithoutGapOrRepeat) {
  const auto Running = startRouter();
  m_EngineA.m_CutAfter = 2;
  m_EngineB.m_CutAfter = 2;
  const auto Answer = get(completion("x", true));
  EXPECT_EQ(Answer.m_Body, WholeStream);
  EXPECT_EQ(m_EngineA.m_Resumes + m_EngineB.m_Resumes, 1);
  EXPECT_EQ(m_EngineA.m_Executions + m_EngineB.m_Executions, 1);
}

// Guards against an interrupted stream that looks complete to its caller.
TEST_F(RouterTest, StreamThatCannotBeResumedEndsWithAnError) {
  const auto Running = startRouter();
  m_EngineA.m_CutAfter = m_EngineB.m_CutAfter = 2;
  m_EngineA.m_CanResume = m_EngineB.m_CanResume = false;
  http::ClientOptions Options;
  const auto Opened =
      boost::asio::co_spawn(
          m_Loop.context(),
          m_Client.open(routerAt(0), completion("x", true), Options),
          boost::asio::use_future)
          .get();
  ASSERT_TRUE(
      std::holds_alternative<std::shared_ptr<http::ResponseStream>>(Opened));
  const auto Stream = std::get<std::shared_ptr<http::ResponseStream>>(Opened);
  std::string Body;
  bool Cut = false;
  while (!Cut) {
    auto Next = boost::asio::co_spawn(m_Loop.context(), Stream->read(),
                                      boost::asio::use_future)
                    .get();
    Cut = std::holds_alternative<http::TransportFailure>(Next);
    ASSERT_TRUE(Cut || !std::get<std::string>(Next).empty());
    if (!Cut)
      Body += std::get<std::string>(Next);
  }
  EXPECT_NE(Body.find("event: error"), std::string::npos);
  EXPECT_NE(Body.find("outcome_unknown"), std::string::npos);
  EXPECT_EQ(Body.find("[DONE]"), std::string::npos);
  EXPECT_EQ(m_EngineA.m_Executions + m_EngineB.m_Executions, 1);
}

// Guards against waiting forever on a connection that went silent while the
// endpoint is healthy.
TEST_F(RouterTest, SilentConnectionIsReplaced) {
  const auto Running = startRouter();
  m_EngineA.m_StallAfter = m_EngineB.m_StallAfter = 3;
  const auto Answer = get(completion("x", true));
  EXPECT_EQ(Answer.m_Body, WholeStream);
  EXPECT_EQ(m_EngineA.m_Executions + m_EngineB.m_Executions, 1);
}

// Guards against waiting for the response on a dead connection: the engine no
// longer knows the request, so it is run at another one.
TEST_F(RouterTest, SilentWholeAnswerIsRetriedWhenTheEngineLostIt) {
  const auto Running = startRouter();
  m_EngineA.m_HoldResponses = true;
  const auto Answer = get(completion("x"));
  EXPECT_EQ(Answer.m_Status, 200);
  EXPECT_EQ(m_EngineB.m_Executions, 1);
}

// Guards against retries that multiply a failure: at most 1.1 attempts per
// request once the burst is used up.
TEST_F(RouterTest, RetriesStayWithinTheBudget) {
  const auto Running =
      startRouter(0, {{"retry", {{"ratio", 0.1}, {"burst", 1}}}});
  m_EngineA.m_Status = 500;
  m_EngineB.m_Status = 500;
  constexpr int Requests = 20;
  for (int Index = 0; Index < Requests; ++Index)
    EXPECT_EQ(get(completion("x")).m_Status, 502);
  EXPECT_LE(m_EngineA.m_Executions + m_EngineB.m_Executions,
            Requests + Requests / 10 + 1);
}

// Guards against a request that crashes every endpoint which runs it, even if
// its caller retries it at another router.
TEST_F(RouterTest, CrashingRequestIsRefusedEverywhereAfterTwoCrashes) {
  const auto First = startRouter(0);
  const auto Second = startRouter(1);
  m_EngineA.m_CrashOnRequest = m_EngineB.m_CrashOnRequest = true;
  const auto Answer = get(completion("crash"));
  EXPECT_EQ(Answer.m_Status, 422);
  EXPECT_EQ(problemOf(Answer).value("reason", ""), "quarantined");
  EXPECT_EQ(problemOf(Answer).value("outcome", ""), "outcome_unknown");
  EXPECT_EQ(m_EngineA.m_Executions + m_EngineB.m_Executions, 2);
  const auto Repeat = get(completion("crash"));
  EXPECT_EQ(problemOf(Repeat).value("reason", ""), "quarantined");
  EXPECT_EQ(problemOf(Repeat).value("outcome", ""), "not_run");
  EXPECT_TRUE(eventually([&] {
    const auto Other = get(completion("crash"), 1);
    return problemOf(Other).value("reason", "") == "quarantined";
  }));
  EXPECT_EQ(m_EngineA.m_Executions + m_EngineB.m_Executions, 2);
}

// Guards against a stream that ends with its connection before the last event
// and looks complete to its caller.
TEST_F(RouterTest, StreamThatEndsWithItsConnectionNeedsItsLastEvent) {
  const auto Running = startRouter();
  m_EngineA.m_EndsWithConnection = m_EngineB.m_EndsWithConnection = true;
  EXPECT_EQ(get(completion("x", true)).m_Body, WholeStream);
  m_EngineA.m_OmitDone = m_EngineB.m_OmitDone = true;
  m_EngineA.m_CanResume = m_EngineB.m_CanResume = false;
  const auto Answer = send(completion("x", true));
  EXPECT_FALSE(std::holds_alternative<http::Response>(Answer) &&
               std::get<http::Response>(Answer).m_Body.find("event: error") ==
                   std::string::npos);
}

// Guards against the end of a connection that is taken for the end of an answer
// that is no stream.
TEST_F(RouterTest, AnswerThatEndsWithItsConnectionIsNotPassedOn) {
  const auto Running = startRouter();
  m_EngineA.m_EndsWithConnection = m_EngineB.m_EndsWithConnection = true;
  EXPECT_GE(get(completion("x")).m_Status, 500);
}

} // namespace sff::router::testing
