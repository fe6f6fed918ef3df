#include "Ctl/Commands.h"

#include "../Relay/MemoryLog.h"
#include "../Relay/RelayFixture.h"

#include <sstream>

namespace sff::ctl {
namespace {

using test::ReservedPort;
using test::TestRelay;

constexpr milliseconds Timeout{8000};
constexpr milliseconds CallTimeout{2000};

class PublishTest : public ::testing::Test {
protected:
  PublishTest() : m_Relays({m_First.str()}, CallTimeout) {
    EXPECT_TRUE(test::eventually([&] {
      const auto Status = m_Relay.call(messages::RelayStatus{});
      return Status && Status->m_Ready && Status->m_LogReachable;
    }));
  }

  ExitCode publishEntry(const std::string &Name, std::int64_t Replicas,
                        std::optional<Offset> Base = {}, bool Wait = false) {
    PublishOptions Options;
    catalogue::EntrySpec &Spec = Options.m_Entries[EntryName(Name)];
    Spec.m_Team = "t";
    Spec.m_WeightBytes = 1;
    Spec.m_BytesPerToken = 1;
    Spec.m_Replicas = Replicas;
    Options.m_Base = Base;
    Options.m_Wait = Wait;
    Options.m_Timeout = Timeout;
    return publish(m_Relays, Options, m_Out);
  }

  ReservedPort m_Log, m_First;
  test::MemoryLog m_Store{m_Log.m_Port};
  TestRelay m_Relay{"h1", m_First, m_Log, {}};
  RelaySession m_Relays;
  std::ostringstream m_Out;
};

TEST_F(PublishTest, PublishesOnlyChangedEntries) {
  EXPECT_EQ(publishEntry("m", 1, {}, true), ExitCode::Success);
  EXPECT_NE(m_Out.str().find("zone z-h1: in force"), std::string::npos);
  EXPECT_EQ(publishEntry("m", 1), ExitCode::Success);
  EXPECT_EQ(m_Store.records("control").size(), 1u);
}

// Guards against reporting a conflicting change as published.
TEST_F(PublishTest, ConflictIsRejectedWithReason) {
  ASSERT_EQ(publishEntry("m", 1), ExitCode::Success);
  ASSERT_EQ(publishEntry("m", 2), ExitCode::Success);
  EXPECT_EQ(publishEntry("m", 3, 1), ExitCode::Rejected);
  EXPECT_NE(m_Out.str().find("rejected: based on version 1"),
            std::string::npos);
  EXPECT_EQ(waitInForce(m_Relays, "3", Timeout, m_Out), ExitCode::Rejected);
}

// Guards against appending a change again after the reply to the first append
// was lost.
TEST_F(PublishTest, LostAppendReplyIsResolvedFromTheLog) {
  m_Store.m_LoseResponses = true;
  EXPECT_EQ(publishEntry("m", 1), ExitCode::Success);
  EXPECT_EQ(m_Store.records("control").size(), 1u);
}

// Guards against reporting a change as in force in a zone whose hosts have not
// applied it.
TEST_F(PublishTest, ChangeIsNotInForceInLaggingZone) {
  const ReservedPort Unreachable;
  ASSERT_EQ(publishEntry("m", 1), ExitCode::Success);
  messages::HostHeartbeat LaggingHost;
  LaggingHost.m_Host = HostId("h2");
  LaggingHost.m_Zone = ZoneId("z-far");
  LaggingHost.m_Sequence = 1;
  LaggingHost.m_RelayAddress = Unreachable.str();
  ASSERT_TRUE(m_Relay.call(messages::Heartbeat{{LaggingHost}}));
  EXPECT_EQ(waitInForce(m_Relays, "1", milliseconds(300), m_Out),
            ExitCode::Failure);
  EXPECT_NE(m_Out.str().find("zone z-far: not in force"), std::string::npos);
  EXPECT_NE(m_Out.str().find("zone z-h1: in force"), std::string::npos);
  LaggingHost.m_Sequence = 2;
  LaggingHost.m_AppliedOffset = 1;
  ASSERT_TRUE(m_Relay.call(messages::Heartbeat{{LaggingHost}}));
  EXPECT_EQ(waitInForce(m_Relays, "1", Timeout, m_Out), ExitCode::Success);
}

} // namespace
} // namespace sff::ctl
