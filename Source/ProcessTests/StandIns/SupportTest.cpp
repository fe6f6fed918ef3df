#include "ProcessTests/Support/ProcessTest.h"

#include <csignal>

namespace sff::test {
namespace {

class SupportTest : public ProcessTest {
protected:
  void SetUp() override { m_Service = startStandIn("s", "standin-service"); }

  http::Address m_Service;
  BlockingHttpClient m_ShortTimeoutHttp{milliseconds(400)};
};

TEST_F(SupportTest, ProcessIsPausedResumedAndKilled) {
  ChildProcess &Service = process("s");
  Service.pause();
  EXPECT_EQ(m_ShortTimeoutHttp.get(m_Service, "/x").status(), 0);
  Service.resume();
  EXPECT_EQ(m_Http.get(m_Service, "/x").status(), 200);
  Service.kill();
  EXPECT_EQ(Service.waitForExit(), 128 + SIGKILL);
}

TEST_F(SupportTest, ProcessStopsOnRequestAndLogs) {
  ChildProcess &Service = process("s");
  Service.terminate();
  EXPECT_EQ(Service.waitForExit(), 0);
  EXPECT_TRUE(Service.hasLogged("process.stopped"));
}

TEST_F(SupportTest, BadSettingsGiveExitCode2) {
  ChildProcess &Bad = start("bad", "standin-log", {{"log", {{"typo", 1}}}});
  EXPECT_EQ(Bad.waitForExit(), 2);
}

// Guards against a proxy that closes connections which it should silence or
// refuse.
TEST_F(SupportTest, ProxyCutsSilencesAndRefuses) {
  const http::Address Local = freeAddress();
  FaultProxy Proxy(Local, m_Service);
  ASSERT_EQ(m_ShortTimeoutHttp.get(Local, "/x").status(), 200);

  Proxy.setExistingStalled(true);
  EXPECT_TRUE(m_ShortTimeoutHttp.get(Local, "/x").m_Failure->m_TimedOut);
  EXPECT_EQ(m_ShortTimeoutHttp.get(Local, "/x").status(), 200);

  Proxy.setNewConnections(FaultProxy::Mode::Silent);
  Proxy.closeExisting();
  EXPECT_TRUE(m_ShortTimeoutHttp.get(Local, "/x").m_Failure->m_TimedOut);

  Proxy.setNewConnections(FaultProxy::Mode::Refuse);
  EXPECT_TRUE(m_ShortTimeoutHttp.get(Local, "/x").m_Failure->isKnownNotSent());

  Proxy.setNewConnections(FaultProxy::Mode::Pass);
  EXPECT_EQ(m_ShortTimeoutHttp.get(Local, "/x").status(), 200);
}

} // namespace
} // namespace sff::test
