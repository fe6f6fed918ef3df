#include "ProcessTests/StandIns/EngineFixture.h"

#include <future>

namespace sff::test {
namespace {

class EngineTest : public EngineFixture {
protected:
  std::future<HttpResult>
  completeAsync(const std::string &Id, int Tokens,
                const std::string &Priority = "interactive",
                const std::string &Prompt = "p") {
    return std::async(std::launch::async, [=, this] {
      return complete(Id, Prompt, Tokens, Priority);
    });
  }
  bool isActive(const std::string &Id) {
    const nlohmann::json Running = inventory().at("running");
    for (const auto &Item : Running)
      if (Item.at("request_id") == Id)
        return true;
    return false;
  }
};

TEST_F(EngineTest, RejectsModelsThatAreNotLoaded) {
  startEngine();
  const HttpResult Rejected = complete("r1", "p", 3);
  EXPECT_EQ(Rejected.status(), 404);
  EXPECT_EQ(Rejected.json().at("reason"), "model_not_loaded");
}

TEST_F(EngineTest, EachCallerGetsItsOwnCompleteResponse) {
  startEngine({{"token_ms", 2}});
  load();
  constexpr int Callers = 10;
  std::vector<std::future<HttpResult>> Answers;
  Answers.reserve(Callers);
  for (int Index = 0; Index < Callers; ++Index)
    Answers.push_back(completeAsync("r" + std::to_string(Index), 20));
  for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
    const std::string Id = "r" + std::to_string(Index);
    const HttpResult Answer = Answers[Index].get();
    EXPECT_EQ(textOf(Answer), expected(Id, "p", 20));
    EXPECT_EQ(Answer.m_Response.m_Headers.find("X-Request-Id"), Id);
    EXPECT_EQ(Answer.m_Response.m_Headers.find("X-Attempt-Id"), Id + "-1");
  }
}

TEST_F(EngineTest, CrossedResponsesGoToTheOtherCaller) {
  startEngine();
  load();
  setFaults(m_Engine, {{"crossed_answers", 2}});
  auto First = completeAsync("r1", 4);
  auto Second = completeAsync("r2", 4);
  EXPECT_EQ(textOf(First.get()), expected("r2", "p", 4));
  EXPECT_EQ(textOf(Second.get()), expected("r1", "p", 4));
  EXPECT_EQ(textOf(complete("r3", "p", 4)), expected("r3", "p", 4));
}

TEST_F(EngineTest, PromptWithCrashMarkerTerminatesProcess) {
  startEngine();
  load();
  setFaults(m_Engine, {{"crash_on", "boom"}});
  EXPECT_EQ(textOf(complete("r1", "calm", 2)), expected("r1", "calm", 2));
  EXPECT_EQ(complete("r2", "a boom here", 2).status(), 0);
  EXPECT_EQ(process("e1").waitForExit(), 134);
}

// Guards against an interrupted stream that looks complete to the caller, and
// against a resumed stream that does not continue at the requested token.
TEST_F(EngineTest, InterruptedStreamResumesFromToken) {
  startEngine({{"token_ms", 1}});
  load();
  setFaults(m_Engine, {{"cut_stream_after", 3}});
  auto Body = makePrompt("p", 6);
  Body["stream"] = true;
  const http::Headers Ids{{"X-Request-Id", "r1"}};
  const HttpResult Interrupted =
      m_Http.post(m_Engine, "/v1/completions", Body, Ids);
  ASSERT_TRUE(Interrupted.m_Failure);
  EXPECT_FALSE(Interrupted.m_Failure->isKnownNotSent());
  setFaults(m_Engine, {{"cut_stream_after", 0}});
  const HttpResult Rest = m_Http.send(
      m_Engine, {"POST", "/v1/requests/r1/resume?from_token=3", {}, ""});
  ASSERT_EQ(Rest.status(), 200);
  EXPECT_NE(Rest.m_Response.m_Body.find("\"token\":3"), std::string::npos);
  EXPECT_EQ(Rest.m_Response.m_Body.find("\"token\":2"), std::string::npos);
  EXPECT_TRUE(Rest.m_Response.m_Body.ends_with("data: [DONE]\n\n"));
}

TEST_F(EngineTest, KvCacheStateMovesToAnotherEngine) {
  startEngine({{"token_ms", 1}});
  load();
  complete("r1", "p", 6);
  const auto State =
      m_Http.post(m_Engine, "/control/attention/export", {{"request_id", "r1"}})
          .json();
  const http::Address First = m_Engine;
  m_Engine = startStandIn("e2", "standin-engine",
                          {{"engine", {{"on_disk", {"m/1"}}}}});
  load();
  ASSERT_EQ(m_Http.post(m_Engine, "/control/attention/import", State).status(),
            200);
  const HttpResult Rest = m_Http.send(
      m_Engine, {"POST", "/v1/requests/r1/resume?from_token=5", {}, ""});
  EXPECT_NE(Rest.m_Response.m_Body.find(expected("r1", "p", 6, 5)),
            std::string::npos);
}

TEST_F(EngineTest, CancelEndsARequest) {
  startEngine({{"token_ms", 50}});
  load();
  auto Pending = completeAsync("r1", 400);
  ASSERT_TRUE(waitUntil([&] { return isActive("r1"); }));
  EXPECT_EQ(m_Http.post(m_Engine, "/v1/requests/r1/cancel", {}).status(), 200);
  EXPECT_EQ(Pending.get().json().at("choices").at(0).at("finish_reason"),
            "cancelled");
  EXPECT_EQ(m_Http.post(m_Engine, "/v1/requests/r1/cancel", {}).status(), 404);
}

// Guards against leaking the memory of a request when its caller disconnects.
TEST_F(EngineTest, DisconnectedCallerReleasesItsMemory) {
  startEngine({{"token_ms", 20}, {"parallel_requests", 1}});
  load();
  BlockingHttpClient ShortTimeoutHttp(milliseconds(200));
  ShortTimeoutHttp.post(m_Engine, "/v1/completions", makePrompt("p", 500));
  EXPECT_TRUE(waitUntil([&] { return inventory().at("used_bytes") == 1000; }));
  EXPECT_TRUE(inventory().at("running").empty());
}

TEST_F(EngineTest, InteractiveRequestsPrecedeBatchRequests) {
  startEngine({{"token_ms", 5}, {"parallel_requests", 1}});
  load();
  auto Running = completeAsync("hold", 100);
  ASSERT_TRUE(waitUntil([&] { return isActive("hold"); }));
  auto Queued = completeAsync("later", 100, "batch");
  ASSERT_TRUE(waitUntil([&] { return isActive("later"); }));
  auto Urgent = completeAsync("urgent", 1);
  EXPECT_EQ(Urgent.get().status(), 200);
  EXPECT_EQ(Queued.wait_for(milliseconds(0)), std::future_status::timeout);
  EXPECT_EQ(Queued.get().status(), 200);
}

TEST_F(EngineTest, ExistingConnectionsFreezeWhileNewOnesWork) {
  startEngine();
  load();
  BlockingHttpClient Old(milliseconds(500));
  ASSERT_EQ(Old.get(m_Engine, "/control/load").status(), 200);
  setFaults(m_Engine, {{"freeze", "existing"}});
  EXPECT_TRUE(Old.get(m_Engine, "/control/load").m_Failure->m_TimedOut);
  EXPECT_EQ(complete("r1", "p", 1).status(), 200);
}

} // namespace
} // namespace sff::test
