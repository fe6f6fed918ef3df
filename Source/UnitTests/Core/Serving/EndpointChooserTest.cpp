#include "Core/Serving/EndpointChooser.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr int Slots = 10;

Endpoint makeEndpoint(const std::string &Id, const std::string &Zone) {
  Endpoint Result;
  Result.m_Registration.m_Id = EndpointId(Id);
  Result.m_Registration.m_Zone = ZoneId(Zone);
  Result.m_Registration.m_Slots = Slots;
  return Result;
}

class EndpointChooserTest : public testing::Test {
protected:
  int countChosen(const EndpointId &Id, int Times = 50) {
    int Count = 0;
    for (int Try = 0; Try < Times; ++Try)
      if (m_Chooser.choose(m_Endpoints, m_Context, m_Now) == Id)
        ++Count;
    return Count;
  }

  const Endpoint m_Local = makeEndpoint("near", "a");
  const Endpoint m_Local2 = makeEndpoint("near2", "a");
  const Endpoint m_Remote = makeEndpoint("far", "b");
  std::vector<const Endpoint *> m_Endpoints = {&m_Local, &m_Local2, &m_Remote};
  EndpointChooser m_Chooser{ZoneId("a"), 1};
  ChoiceContext m_Context;
  Instant m_Now = Start;
};

// Guards against unnecessary traffic between zones.
TEST_F(EndpointChooserTest, LocalZoneIsPreferred) {
  EXPECT_EQ(countChosen(m_Remote.id()), 0);
}

// All endpoints of the local zone are full. Guards against queueing there while
// another zone has free capacity.
TEST_F(EndpointChooserTest, FullLocalZoneOverflowsToAnotherZone) {
  for (int Count = 0; Count < Slots; ++Count) {
    m_Chooser.loads().onDispatched(m_Local.id(), Start);
    m_Chooser.loads().onDispatched(m_Local2.id(), Start);
  }
  EXPECT_EQ(countChosen(m_Remote.id()), 50);
}

// One endpoint fails half of its requests while its health check and its
// registration report it as healthy.
TEST_F(EndpointChooserTest, FailingEndpointIsAvoided) {
  for (int Count = 0; Count < 20; ++Count) {
    m_Chooser.health().onResult(
        m_Local.id(), Count % 2 ? CallResult::Failed : CallResult::Success,
        Start);
    m_Chooser.health().onResult(m_Local2.id(), CallResult::Success, Start);
  }
  EXPECT_LT(countChosen(m_Local.id()), 5);
}

// All endpoints of a service fail the same share of requests, so none must be
// avoided.
TEST_F(EndpointChooserTest, EqualFailureRatesDoNotAffectTheChoice) {
  for (int Count = 0; Count < 20; ++Count)
    for (const Endpoint *Item : m_Endpoints)
      m_Chooser.health().onResult(
          Item->id(), Count % 3 ? CallResult::Success : CallResult::Failed,
          Start);
  EXPECT_GT(countChosen(m_Local.id()), 10);
  EXPECT_GT(countChosen(m_Local2.id()), 10);
}

// The local zone's only endpoint has become five times slower. Guards against
// streams that time out there while another zone has a fast endpoint.
TEST_F(EndpointChooserTest, SlowLocalEndpointIsPassedOverForAnotherZone) {
  m_Endpoints = {&m_Local, &m_Remote};
  for (int Count = 0; Count < 30; ++Count) {
    m_Chooser.health().onLatency(m_Local.id(), milliseconds(400), Start);
    m_Chooser.health().onLatency(m_Remote.id(), milliseconds(80), Start);
  }
  EXPECT_EQ(countChosen(m_Remote.id()), 50);
}

// Guards against an endpoint that one slow answer, or a few failures, take out
// of use for ever while the load is low: it is never chosen, so nothing more is
// learned of it.
TEST_F(EndpointChooserTest, EndpointThatIsAvoidedIsTriedAgain) {
  constexpr std::chrono::seconds Pause{11};
  m_Endpoints = {&m_Local, &m_Local2};
  const auto Observe = [this](const Endpoint &Item, milliseconds Latency,
                              CallResult Result) {
    m_Chooser.health().onLatency(Item.id(), Latency, m_Now);
    m_Chooser.health().onResult(Item.id(), Result, m_Now);
  };
  for (int Count = 0; Count < 3; ++Count)
    Observe(m_Local2, milliseconds(50), CallResult::Failed);
  int Trials = 0;
  while (countChosen(m_Local2.id()) <= 1 && Trials < 8) {
    m_Now += Pause;
    Observe(m_Local, milliseconds(1), CallResult::Success);
    // One request only finds out; the others do not follow it.
    EXPECT_EQ(countChosen(m_Local2.id()), 1);
    EXPECT_EQ(countChosen(m_Local2.id()), 0);
    ++Trials;
    Observe(m_Local2, milliseconds(1), CallResult::Success);
  }
  EXPECT_GT(countChosen(m_Local2.id()), 10);
}

// Guards against a host with few requests that spends many of them on trials of
// several slow endpoints.
TEST_F(EndpointChooserTest, SeveralEndpointsShareTheTrials) {
  m_Chooser.health().onLatency(m_Local.id(), milliseconds(50), Start);
  m_Chooser.health().onLatency(m_Local2.id(), milliseconds(50), Start);
  m_Now = Start + std::chrono::seconds(11);
  m_Chooser.health().onLatency(m_Remote.id(), milliseconds(1), m_Now);
  EXPECT_EQ(countChosen(m_Remote.id()), 49);
}

// Guards against trials that make a slow endpoint look sound.
TEST_F(EndpointChooserTest, EndpointThatStaysSlowGetsTrialsOnly) {
  m_Endpoints = {&m_Local, &m_Local2};
  int Chosen = 0;
  for (int Trial = 0; Trial < 10; ++Trial) {
    m_Chooser.health().onLatency(m_Local.id(), milliseconds(1), m_Now);
    m_Chooser.health().onLatency(m_Local2.id(), milliseconds(50), m_Now);
    m_Now += std::chrono::seconds(11);
    m_Chooser.health().onLatency(m_Local.id(), milliseconds(1), m_Now);
    Chosen += countChosen(m_Local2.id());
  }
  EXPECT_EQ(Chosen, 10);
}

// Guards against sending requests to an endpoint that has stopped answering.
TEST_F(EndpointChooserTest, UnresponsiveEndpointIsSuspendedTemporarily) {
  for (int Count = 0; Count < 2; ++Count)
    m_Chooser.health().onResult(m_Local.id(), CallResult::Silent, Start);
  EXPECT_EQ(countChosen(m_Local.id()), 0);
  m_Now = Start + std::chrono::seconds(10);
  EXPECT_FALSE(m_Chooser.health().isSuspended(m_Local.id(), m_Now));
}

// Guards against rejecting a request because all endpoints are suspended.
TEST_F(EndpointChooserTest, SuspendedEndpointsAreUsedAsALastResort) {
  for (const Endpoint *Item : m_Endpoints)
    m_Chooser.health().onResult(Item->id(), CallResult::Unreachable, Start);
  EXPECT_TRUE(m_Chooser.choose(m_Endpoints, m_Context, m_Now));
}

// Guards against a retry at an endpoint that has just failed the request.
TEST_F(EndpointChooserTest, TriedEndpointsAreNotChosen) {
  const std::set<EndpointId> Tried = {m_Local.id(), m_Local2.id(),
                                      m_Remote.id()};
  m_Context.m_Tried = &Tried;
  EXPECT_FALSE(m_Chooser.choose(m_Endpoints, m_Context, m_Now));
}

// A session has a long prompt. Guards against processing the prompt again at
// another endpoint while the one that has it cached has free capacity.
TEST_F(EndpointChooserTest, SessionKeepsItsEndpoint) {
  m_Context.m_AffinityEndpoint = m_Local2.id();
  m_Context.m_AffinityTokens = 6000;
  EXPECT_EQ(countChosen(m_Local2.id()), 50);
}

// Guards against an endpoint that its slow first answer takes out of use at low
// load: the time includes the setup of the connection, and no other sample
// corrects it while the endpoint is not chosen.
TEST_F(EndpointChooserTest, SlowFirstAnswerIsCheckedAtOnce) {
  m_Endpoints = {&m_Local, &m_Local2};
  m_Chooser.health().onLatency(m_Local.id(), milliseconds(150), m_Now);
  m_Chooser.health().onLatency(m_Local2.id(), milliseconds(1), m_Now);
  EXPECT_EQ(countChosen(m_Local.id(), 40), 1);
  m_Chooser.health().onLatency(m_Local.id(), milliseconds(1), m_Now);
  EXPECT_GT(countChosen(m_Local.id(), 40), 10);
}

// Guards against the same if the endpoint rejects the request that was to check
// its first answer: that is no sample.
TEST_F(EndpointChooserTest, CheckOfTheFirstAnswerIsRepeatedAfterARejection) {
  m_Endpoints = {&m_Local, &m_Local2};
  m_Chooser.health().onLatency(m_Local.id(), milliseconds(150), m_Now);
  m_Chooser.health().onLatency(m_Local2.id(), milliseconds(1), m_Now);
  EXPECT_EQ(countChosen(m_Local.id(), 40), 1);
  m_Chooser.health().onNotRun(m_Local.id());
  EXPECT_EQ(countChosen(m_Local.id(), 40), 1);
}

// Guards against further checks of an endpoint that a second answer has
// confirmed to be slow.
TEST_F(EndpointChooserTest, SlowSecondAnswerEndsTheChecks) {
  m_Endpoints = {&m_Local, &m_Local2};
  m_Chooser.health().onLatency(m_Local2.id(), milliseconds(1), m_Now);
  for (int Sample = 0; Sample < 2; ++Sample)
    m_Chooser.health().onLatency(m_Local.id(), milliseconds(150), m_Now);
  EXPECT_EQ(countChosen(m_Local.id(), 40), 0);
}

// Guards against avoiding an endpoint for a difference that callers do not
// notice, for example 1.0 ms against 0.4 ms.
TEST_F(EndpointChooserTest, LatenciesOfAFewMillisecondsAreNotCompared) {
  m_Endpoints = {&m_Local, &m_Local2};
  for (int Sample = 0; Sample < 3; ++Sample) {
    m_Chooser.health().onLatency(m_Local.id(), milliseconds(8), m_Now);
    m_Chooser.health().onLatency(m_Local2.id(), milliseconds(1), m_Now);
  }
  EXPECT_GT(countChosen(m_Local.id(), 40), 10);
}

// Guards against an endpoint that looks free because it rejects requests: the
// rejection names no load, and the rejected request no longer counts there.
TEST_F(EndpointChooserTest, EndpointThatRejectsAsFullIsPassedOver) {
  for (int Count = 0; Count < Slots / 2; ++Count)
    m_Chooser.loads().onDispatched(m_Local2.id(), m_Now);
  m_Chooser.onRejected(m_Local, std::nullopt, m_Now);
  EXPECT_GE(m_Chooser.estimatedLoad(m_Local.id(), m_Now), 2 * Slots);
  EXPECT_EQ(countChosen(m_Local.id()), 0);
}

// Guards against an endpoint that stays out of use after a rejection.
TEST_F(EndpointChooserTest, RejectionCountsUntilANewerReport) {
  m_Chooser.onRejected(m_Local, std::nullopt, m_Now);
  m_Chooser.onReport(m_Local.id(), 0, m_Now + milliseconds(20));
  EXPECT_EQ(m_Chooser.estimatedLoad(m_Local.id(), m_Now + milliseconds(20)), 0);
}

// Guards against the same while no other answer of the endpoint arrives: the
// requests there end in about four service times of a full batch.
TEST_F(EndpointChooserTest, LoadFallsAfterARejection) {
  m_Chooser.loads().onDispatched(m_Local2.id(), m_Now);
  m_Now += milliseconds(100);
  m_Chooser.loads().onFinished(m_Local2.id(), m_Now);
  m_Chooser.onRejected(m_Local, std::nullopt, m_Now);
  EXPECT_GT(m_Chooser.estimatedLoad(m_Local.id(), m_Now + milliseconds(50)),
            2 * Slots);
  EXPECT_EQ(
      m_Chooser.estimatedLoad(m_Local.id(), m_Now + std::chrono::seconds(2)),
      0);
}

// Guards against an endpoint that rejects everything and is sent a request by
// each host in each service time.
TEST_F(EndpointChooserTest, RepeatedRejectionsCountForLonger) {
  m_Chooser.onRejected(m_Local, std::nullopt, m_Now);
  m_Chooser.onRejected(m_Local2, std::nullopt, m_Now);
  for (int Count = 0; Count < 3; ++Count)
    m_Chooser.onRejected(m_Local2, std::nullopt, m_Now);
  const Instant Later = m_Now + std::chrono::seconds(4);
  EXPECT_GT(m_Chooser.estimatedLoad(m_Local2.id(), Later),
            m_Chooser.estimatedLoad(m_Local.id(), Later));
}

// Guards against an endpoint that is never chosen again because it was loaded
// when it last reported: only an answer would bring another report.
TEST_F(EndpointChooserTest, OldReportOfAHighLoadFades) {
  m_Endpoints = {&m_Local, &m_Local2};
  m_Chooser.onReport(m_Local.id(), 3 * Slots, m_Now);
  m_Chooser.onReport(m_Local2.id(), 0, m_Now);
  EXPECT_EQ(countChosen(m_Local.id()), 0);
  m_Now += std::chrono::seconds(30);
  m_Chooser.onReport(m_Local2.id(), 0, m_Now);
  EXPECT_GT(countChosen(m_Local.id()), 10);
}

// Guards against an estimate that still follows reports of minutes ago when
// reports of a host's few requests are seconds apart.
TEST_F(EndpointChooserTest, MeanLoadFollowsRareReports) {
  for (int Report = 0; Report < 5; ++Report, m_Now += std::chrono::seconds(5))
    m_Chooser.onReport(m_Local.id(), 2, m_Now);
  for (int Report = 0; Report < 2; ++Report, m_Now += std::chrono::seconds(5))
    m_Chooser.onReport(m_Local.id(), 40, m_Now);
  EXPECT_GT(m_Chooser.estimatedLoad(m_Local.id(), m_Now), 30);
}

// A cached prompt of 20,000 tokens would outweigh 40 requests. Guards against a
// session that stays at a full endpoint while others of the model are free.
TEST_F(EndpointChooserTest, SessionLeavesAFullEndpoint) {
  m_Context.m_AffinityEndpoint = m_Local2.id();
  m_Context.m_AffinityTokens = 20000;
  for (int Count = 0; Count < 2 * Slots; ++Count)
    m_Chooser.loads().onDispatched(m_Local2.id(), m_Now);
  EXPECT_EQ(countChosen(m_Local.id()), 50);
}

// Guards against two requests that wait in the local zone while none does in
// another one.
TEST_F(EndpointChooserTest, QueueCountsMoreThanTheZone) {
  m_Endpoints = {&m_Local, &m_Remote};
  for (int Count = 0; Count < Slots + 1; ++Count)
    m_Chooser.loads().onDispatched(m_Local.id(), m_Now);
  for (int Count = 0; Count < Slots; ++Count)
    m_Chooser.loads().onDispatched(m_Remote.id(), m_Now);
  EXPECT_EQ(countChosen(m_Remote.id()), 0);
  m_Chooser.loads().onDispatched(m_Local.id(), m_Now);
  EXPECT_EQ(countChosen(m_Remote.id()), 50);
}

// Guards against equal loads at endpoints of which one reports that work takes
// twice as long there.
TEST_F(EndpointChooserTest, ReportedSpeedCounts) {
  m_Endpoints = {&m_Local, &m_Local2};
  m_Chooser.speeds().onReport(m_Local.id(), 2, m_Now);
  m_Chooser.speeds().onReport(m_Local2.id(), 1, m_Now);
  for (int Count = 0; Count < Slots / 2; ++Count)
    m_Chooser.loads().onDispatched(m_Local2.id(), m_Now);
  EXPECT_EQ(countChosen(m_Local.id()), 0);
  const Choice &Made = m_Chooser.lastChoice();
  EXPECT_EQ(Made.m_Endpoint, m_Local2.id());
  EXPECT_EQ(Made.m_Slowness, 1);
  EXPECT_EQ(Made.m_RunnerUp, m_Local.id());
  EXPECT_GT(Made.m_RunnerUpTime, Made.m_ExpectedTime);
  for (int Count = 0; Count < Slots; ++Count)
    m_Chooser.loads().onDispatched(m_Local2.id(), m_Now);
  EXPECT_EQ(countChosen(m_Local.id()), 50);
}

// Guards against speeds that affect deployments whose endpoints do not report
// them, however their answers differ.
TEST_F(EndpointChooserTest, SpeedCountsOnlyWhereItIsReported) {
  for (int Count = 0; Count < 20; ++Count)
    m_Chooser.speeds().onAnswer(m_Local.id(), {"k", 1, 1},
                                milliseconds(Count < 10 ? 10 : 500), m_Now);
  EXPECT_EQ(m_Chooser.speeds().slowness(m_Local.id(), m_Now), 1);
}

// Guards against rejections that shorten the assumed service time: the latest
// report of an endpoint would count for a moment only.
TEST_F(EndpointChooserTest, RejectionsDoNotShortenTheServiceTime) {
  routing::LoadEstimator &Loads = m_Chooser.loads();
  Loads.onReport(m_Local.id(), 2, Duration::zero(), m_Now);
  Loads.onReport(m_Local.id(), 40, Duration::zero(), m_Now);
  for (int Count = 0; Count < 50; ++Count) {
    Loads.onDispatched(m_Local2.id(), m_Now);
    Loads.onNotRun(m_Local2.id(), m_Now);
  }
  Loads.onDispatched(m_Local2.id(), m_Now);
  Loads.onFinished(m_Local2.id(), m_Now + std::chrono::seconds(1));
  EXPECT_GT(
      Loads.estimate(m_Local.id(), m_Now + std::chrono::milliseconds(1100)), 6);
}

} // namespace
} // namespace sff::serving
