#include "Core/Serving/EndpointChooser.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr int Slots = 10;

Endpoint makeEndpoint(const std::string &Id, const std::string &Zone) {
  Endpoint Result;
  Result.m_Registered.m_Id = EndpointId(Id);
  Result.m_Registered.m_Zone = ZoneId(Zone);
  Result.m_Registered.m_Slots = Slots;
  return Result;
}

class EndpointChooserTest : public testing::Test {
protected:
  int chosen(const EndpointId &Id, int Times = 50) {
    int Count = 0;
    for (int Try = 0; Try < Times; ++Try)
      if (m_Chooser.choose(m_List, m_Context, m_Now) == Id)
        ++Count;
    return Count;
  }

  const Endpoint m_Near = makeEndpoint("near", "a");
  const Endpoint m_Near2 = makeEndpoint("near2", "a");
  const Endpoint m_Far = makeEndpoint("far", "b");
  std::vector<const Endpoint *> m_List = {&m_Near, &m_Near2, &m_Far};
  EndpointChooser m_Chooser{ZoneId("a"), 1};
  ChoiceContext m_Context;
  Instant m_Now = Start;
};

// Guards against traffic between zones that nothing asks for.
TEST_F(EndpointChooserTest, OwnZoneGoesFirst) {
  EXPECT_EQ(chosen(m_Far.id()), 0);
}

// Load: the own zone's endpoints are full. Guards against queues at home while
// another zone has room.
TEST_F(EndpointChooserTest, OtherZoneTakesTheOverflow) {
  for (int Count = 0; Count < Slots; ++Count) {
    m_Chooser.loads().onDispatched(m_Near.id(), Start);
    m_Chooser.loads().onDispatched(m_Near2.id(), Start);
  }
  EXPECT_EQ(chosen(m_Far.id()), 50);
}

// Load: one endpoint fails half of its requests while its health check and
// its registration are good.
TEST_F(EndpointChooserTest, FailingEndpointIsAvoided) {
  for (int Count = 0; Count < 20; ++Count) {
    m_Chooser.health().onResult(
        m_Near.id(), Count % 2 ? CallResult::Failed : CallResult::Good, Start);
    m_Chooser.health().onResult(m_Near2.id(), CallResult::Good, Start);
  }
  EXPECT_LT(chosen(m_Near.id()), 5);
}

// Guards against a service whose endpoints all fail a share of requests: none
// is worse than the others, so none is avoided.
TEST_F(EndpointChooserTest, CommonFailuresAvoidNobody) {
  for (int Count = 0; Count < 20; ++Count)
    for (const Endpoint *Item : m_List)
      m_Chooser.health().onResult(
          Item->id(), Count % 3 ? CallResult::Good : CallResult::Failed, Start);
  EXPECT_GT(chosen(m_Near.id()), 10);
  EXPECT_GT(chosen(m_Near2.id()), 10);
}

// Load: the own zone's only endpoint has become five times as slow. Guards
// against streams that time out there while another zone has a fast one.
TEST_F(EndpointChooserTest, SlowEndpointLosesToAnotherZone) {
  m_List = {&m_Near, &m_Far};
  for (int Count = 0; Count < 30; ++Count) {
    m_Chooser.health().onLatency(m_Near.id(), milliseconds(400));
    m_Chooser.health().onLatency(m_Far.id(), milliseconds(80));
  }
  EXPECT_EQ(chosen(m_Far.id()), 50);
}

// Guards against requests to an endpoint that no longer answers.
TEST_F(EndpointChooserTest, SilentEndpointRestsAndIsTriedAgain) {
  for (int Count = 0; Count < 2; ++Count)
    m_Chooser.health().onResult(m_Near.id(), CallResult::Silent, Start);
  EXPECT_EQ(chosen(m_Near.id()), 0);
  m_Now = Start + std::chrono::seconds(10);
  EXPECT_FALSE(m_Chooser.health().isSuspended(m_Near.id(), m_Now));
}

// Guards against a refusal while endpoints are left, when all are suspended.
TEST_F(EndpointChooserTest, SuspendedEndpointsServeWhenThereAreNoOthers) {
  for (const Endpoint *Item : m_List)
    m_Chooser.health().onResult(Item->id(), CallResult::Unreachable, Start);
  EXPECT_TRUE(m_Chooser.choose(m_List, m_Context, m_Now));
}

// Guards against a retry at the endpoint that has just failed the request.
TEST_F(EndpointChooserTest, TriedEndpointsAreNotChosen) {
  const std::set<EndpointId> Tried = {m_Near.id(), m_Near2.id(), m_Far.id()};
  m_Context.m_Tried = &Tried;
  EXPECT_FALSE(m_Chooser.choose(m_List, m_Context, m_Now));
}

// Load: sessions with long prompts. Guards against prompts that are read again
// while the endpoint that holds them has room.
TEST_F(EndpointChooserTest, SessionStaysWithItsEndpoint) {
  m_Context.m_Affine = m_Near2.id();
  m_Context.m_AffineTokens = 6000;
  EXPECT_EQ(chosen(m_Near2.id()), 50);
}

} // namespace
} // namespace sff::serving
