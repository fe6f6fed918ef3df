#include "ProcessTests/Support/ProcessTest.h"

namespace sff::test {
namespace {

class PlainServiceTest : public ProcessTest {
protected:
  void SetUp() override {
    m_Service = startStandIn("board", "standin-service");
  }
  HttpResult reserve(const std::string &Key) {
    return m_Http.post(m_Service, "/boards/7?bay=2", {{"n", 1}},
                       {{"Idempotency-Key", Key}, {"X-Request-Id", "r1"}});
  }
  nlohmann::json executions() {
    return m_Http.get(m_Service, "/control/executions").json();
  }

  http::Address m_Service;
};

TEST_F(PlainServiceTest, CountsExecutionsByKey) {
  const HttpResult First = reserve("a");
  EXPECT_EQ(First.json().at("target"), "/boards/7?bay=2");
  EXPECT_EQ(First.m_Response.m_Headers.find("X-Request-Id"), "r1");
  reserve("a");
  reserve("b");
  EXPECT_EQ(executions().at("by_key").at("a"), 2);
  EXPECT_EQ(executions().at("by_key").at("b"), 1);
  EXPECT_EQ(executions().at("total"), 3);
  EXPECT_EQ(m_Http.get(m_Service, "/control/load").json().at("running"), 0);
}

// Guards against a stand-in that skips the execution when it loses the
// response.
TEST_F(PlainServiceTest, LostResponseHasExecuted) {
  setFaults(m_Service, {{"lose_answers", 1}});
  EXPECT_EQ(reserve("a").status(), 0);
  EXPECT_EQ(executions().at("by_key").at("a"), 1);
}

TEST_F(PlainServiceTest, DelayedResponseHasExecuted) {
  setFaults(m_Service, {{"late_answer_ms", 30000}});
  BlockingHttpClient ShortTimeoutHttp(milliseconds(300));
  EXPECT_TRUE(ShortTimeoutHttp.get(m_Service, "/x").m_Failure->m_TimedOut);
  EXPECT_EQ(executions().at("total"), 1);
}

TEST_F(PlainServiceTest, FrozenServiceDoesNotRespond) {
  setFaults(m_Service, {{"freeze", "all"}});
  BlockingHttpClient ShortTimeoutHttp(milliseconds(300));
  EXPECT_TRUE(ShortTimeoutHttp.get(m_Service, "/x").m_Failure->m_TimedOut);
  setFaults(m_Service, {{"freeze", "none"}});
  EXPECT_EQ(m_Http.get(m_Service, "/x").status(), 200);
}

} // namespace
} // namespace sff::test
