#include "ProcessTests/StandIns/EngineFixture.h"

namespace sff::test {
namespace {

class LoadToolTest : public EngineFixture {
protected:
  nlohmann::json runTool(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.end(),
                     {"--target", m_Engine.str(), "--entry", "m"});
    ChildProcess &Tool =
        startTool("load-" + std::to_string(++m_Runs), "sff-load", Arguments);
    EXPECT_EQ(Tool.waitForExit(), 0);
    return nlohmann::json::parse(Tool.output(), nullptr, false);
  }

  int m_Runs = 0;
};

// Guards against a response check that accepts wrong or interrupted responses.
TEST_F(LoadToolTest, ReportsWrongAndInterruptedResponses) {
  startEngine({{"token_ms", 1}});
  load();
  setFaults(m_Engine, {{"crossed_answers", 2}});
  const auto Crossed =
      runTool({"--max-requests", "20", "--concurrency", "4", "--stream"});
  EXPECT_EQ(Crossed.at("by_outcome").at("answered"), 18);
  EXPECT_EQ(Crossed.at("by_outcome").at("wrong_answer"), 2);
  setFaults(m_Engine, {{"cut_stream_after", 2}});
  const auto Interrupted = runTool({"--max-requests", "5", "--stream"});
  EXPECT_EQ(Interrupted.at("by_outcome").at("connection_lost"), 5);
}

} // namespace
} // namespace sff::test
