#include "Core/Serving/EndpointReachability.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Tick{1};
constexpr auto MinProbes = EndpointReachability::MinProbes;
constexpr auto ProbesPerRound = EndpointReachability::ProbesPerRound;
constexpr milliseconds Silence = EndpointReachability::SilenceBeforeProbe;
constexpr milliseconds Interval = EndpointReachability::ProbeInterval;
constexpr milliseconds CheckSilence = EndpointReachability::SilenceBeforeChecks;
const EndpointId AnyEndpoint("any");

/// A host with endpoints, some of which cannot be reached.
class Network {
public:
  void add(std::string Id, std::string Zone, std::string Service = "engine") {
    Registration Added;
    Added.m_Id = EndpointId(std::move(Id));
    Added.m_Incarnation = {1};
    Added.m_Heartbeat = 1;
    Added.m_Service = std::move(Service);
    Added.m_Zone = ZoneId(std::move(Zone));
    m_Endpoints.apply(std::move(Added), Start);
  }

  /// Adds \p PerZone endpoints to each of the zones "z0", "z1" and so on.
  void addZones(std::size_t Zones, std::size_t PerZone) {
    for (std::size_t Zone = 0; Zone < Zones; ++Zone)
      for (std::size_t Index = 0; Index < PerZone; ++Index) {
        const std::string Name = "z" + std::to_string(Zone);
        add(Name + "-e" + std::to_string(Index), Name);
      }
  }

  void lose(const std::string &Id) { m_Lost.insert(EndpointId(Id)); }
  void loseZone(const std::string &Zone) {
    for (const auto &[Id, Candidate] : m_Endpoints.all())
      if (Candidate.m_Registration.m_Zone == ZoneId(Zone))
        m_Lost.insert(Id);
  }
  void loseAll() {
    for (const auto &[Id, Candidate] : m_Endpoints.all())
      m_Lost.insert(Id);
  }
  void restore(const std::string &Id) { m_Lost.erase(EndpointId(Id)); }

  std::vector<EndpointId> choose() {
    return m_Links.chooseProbes(m_Endpoints, m_Random);
  }

  std::vector<EndpointId>
  chooseChecks(const EndpointReachability::Filter &HasCheck) {
    return m_Links.chooseChecks(m_Endpoints, HasCheck, m_Random);
  }
  std::vector<EndpointId>
  chooseFurtherChecks(const EndpointReachability::Filter &HasCheck,
                      std::span<const EndpointId> Tried) {
    return m_Links.chooseFurtherChecks(m_Endpoints, HasCheck, Tried, m_Random);
  }

  /// Connects to the chosen endpoints. Returns whether the host has become
  /// isolated or has ceased to be.
  bool playRound(Instant Now) {
    const std::vector<EndpointId> Chosen = choose();
    bool AnyConnected = false;
    for (const EndpointId &Id : Chosen)
      AnyConnected |= !m_Lost.contains(Id);
    return m_Links.onRoundEnded(Chosen.size(), AnyConnected, Now);
  }

  /// Plays many rounds, because the endpoints of a round are chosen at random.
  bool isEverIsolated() {
    for (int Round = 1; Round <= 100; ++Round) {
      m_Links.onConnectionFailed();
      playRound(Start + Round * Interval);
      if (m_Links.isIsolated())
        return true;
    }
    return false;
  }

  std::size_t zonesOf(const std::vector<EndpointId> &Ids) const {
    std::set<ZoneId> Zones;
    for (const EndpointId &Id : Ids)
      Zones.insert(m_Endpoints.find(Id)->m_Registration.m_Zone);
    return Zones.size();
  }

  EndpointReachability m_Links;

private:
  EndpointDirectory m_Endpoints;
  std::set<EndpointId> m_Lost;
  std::mt19937_64 m_Random{1};
};

// Guards against a host that keeps sending to endpoints while it reaches none.
TEST(EndpointReachabilityTest, FailedRoundOverSeveralZonesIsolates) {
  Network Net;
  Net.addZones(3, 2);
  EXPECT_FALSE(Net.m_Links.isIsolated());
  Net.loseAll();
  EXPECT_TRUE(Net.playRound(Start));
  EXPECT_TRUE(Net.m_Links.isIsolated());
  EXPECT_EQ(Net.m_Links.isolatedSince(), Start);
}

// Guards against a start of the isolation that moves with each failed round,
// and against a report of a change where there is none.
TEST(EndpointReachabilityTest, FurtherFailedRoundChangesNothing) {
  Network Net;
  Net.addZones(3, 2);
  Net.loseAll();
  Net.playRound(Start);
  EXPECT_FALSE(Net.playRound(Start + Interval));
  EXPECT_EQ(Net.m_Links.isolatedSince(), Start);
}

// Guards against taking failed requests, without probes, for lost links.
TEST(EndpointReachabilityTest, SuspicionAloneDoesNotIsolate) {
  Network Net;
  Net.addZones(3, 2);
  for (int Index = 0; Index < 100; ++Index) {
    Net.m_Links.onRequestSent(AnyEndpoint, Start);
    Net.m_Links.onConnectionFailed();
  }
  EXPECT_TRUE(Net.m_Links.needsProbes(Start + std::chrono::minutes(1)));
  EXPECT_FALSE(Net.m_Links.isIsolated());
}

// Guards against a host that takes the crash of one endpoint for its own loss.
TEST(EndpointReachabilityTest, SingleFailedEndpointDoesNotIsolate) {
  Network Net;
  Net.addZones(2, 1);
  Net.lose("z0-e0");
  EXPECT_FALSE(Net.isEverIsolated());
}

// Guards against a host that takes the loss of an availability zone, even of a
// large one, for its own loss.
TEST(EndpointReachabilityTest, LostZoneDoesNotIsolate) {
  Network Net;
  Net.addZones(2, 1);
  for (int Index = 0; Index < 20; ++Index)
    Net.add("large-e" + std::to_string(Index), "large");
  Net.loseZone("large");
  EXPECT_FALSE(Net.isEverIsolated());
}

// Guards against probes of one service only: its endpoint may be gone while
// the host's links are intact.
TEST(EndpointReachabilityTest, LossOfAServiceDoesNotIsolate) {
  Network Net;
  Net.add("engine-1", "z0", "engine");
  Net.add("board-1", "z0", "board");
  Net.lose("engine-1");
  EXPECT_FALSE(Net.isEverIsolated());
}

// Guards against a host of a deployment with a single zone that keeps its
// requests although other hosts may reach the endpoints.
TEST(EndpointReachabilityTest, HostOfASingleZoneIsIsolatedLikeAnyOther) {
  Network Net;
  Net.addZones(1, 6);
  Net.loseAll();
  EXPECT_TRUE(Net.isEverIsolated());
}

// Guards against isolation by the loss of the only known endpoint.
TEST(EndpointReachabilityTest, FewerThanMinProbesNeverIsolate) {
  Network None;
  EXPECT_FALSE(None.isEverIsolated());
  Network One;
  One.addZones(1, MinProbes - 1);
  One.loseAll();
  EXPECT_FALSE(One.isEverIsolated());
}

// Guards against waiting for silence when a connection has failed already.
TEST(EndpointReachabilityTest, FailedConnectionIsSuspicious) {
  EndpointReachability Links;
  EXPECT_FALSE(Links.needsProbes(Start));
  Links.onConnectionFailed();
  EXPECT_TRUE(Links.needsProbes(Start));
}

// Guards against connections that hang: nothing fails, and nothing comes.
TEST(EndpointReachabilityTest, UnansweredRequestsAreSuspicious) {
  EndpointReachability Links;
  Links.onData(Start);
  Links.onRequestSent(AnyEndpoint, Start);
  Links.onRequestSent(AnyEndpoint, Start + Silence - Tick);
  EXPECT_FALSE(Links.needsProbes(Start + Silence - Tick));
  EXPECT_TRUE(Links.needsProbes(Start + Silence));
}

// Guards against probes by hosts that nobody sends requests to.
TEST(EndpointReachabilityTest, SilenceWithoutRequestsNeedsNoProbes) {
  EndpointReachability Links;
  Links.onData(Start);
  EXPECT_FALSE(Links.needsProbes(Start + std::chrono::minutes(1)));
}

// Guards against probes that load the endpoints while all is well.
TEST(EndpointReachabilityTest, AnsweredRequestsNeedNoProbes) {
  EndpointReachability Links;
  for (Instant Now = Start; Now < Start + std::chrono::minutes(1);
       Now += Silence) {
    Links.onRequestSent(AnyEndpoint, Now);
    EXPECT_FALSE(Links.needsProbes(Now));
    Links.onData(Now + Silence - Tick);
    EXPECT_FALSE(Links.needsProbes(Now + Silence - Tick));
  }
}

// Guards against a flood of probes while connections fail one after another.
TEST(EndpointReachabilityTest, RoundsKeepTheirDistance) {
  EndpointReachability Links;
  Links.onConnectionFailed();
  Links.onRoundEnded(MinProbes, true, Start);
  EXPECT_FALSE(Links.needsProbes(Start + Interval));
  Links.onConnectionFailed();
  EXPECT_FALSE(Links.needsProbes(Start + Interval - Tick));
  EXPECT_TRUE(Links.needsProbes(Start + Interval));
}

// Guards against a host that stays isolated because nothing is sent any more.
TEST(EndpointReachabilityTest, IsolatedHostKeepsProbing) {
  Network Net;
  Net.addZones(3, 2);
  Net.loseAll();
  Instant Now = Start;
  for (int Round = 0; Round < 100; ++Round) {
    Net.playRound(Now);
    EXPECT_FALSE(Net.m_Links.needsProbes(Now + Interval - Tick));
    EXPECT_TRUE(Net.m_Links.needsProbes(Now + Interval));
    Now += Interval;
  }
}

// Guards against an isolation that lasts until all endpoints are back.
TEST(EndpointReachabilityTest, OneConnectionEndsTheIsolation) {
  Network Net;
  Net.addZones(4, 1);
  Net.loseAll();
  Net.playRound(Start);
  Net.restore("z3-e0");
  EXPECT_TRUE(Net.playRound(Start + Interval));
  EXPECT_FALSE(Net.m_Links.isIsolated());
  EXPECT_EQ(Net.m_Links.isolatedSince(), std::nullopt);
  EXPECT_EQ(Net.m_Links.lastHeardAt(), Start + Interval);
  EXPECT_FALSE(Net.m_Links.needsProbes(Start + 2 * Interval));
}

// Guards against a host that stays isolated when all but one of its endpoints
// have been removed meanwhile.
TEST(EndpointReachabilityTest, SingleProbeEndsTheIsolation) {
  EndpointReachability Links;
  Links.onRoundEnded(MinProbes, false, Start);
  EXPECT_TRUE(Links.onRoundEnded(1, true, Start + Interval));
  EXPECT_FALSE(Links.isIsolated());
}

// Guards against endpoints that are probed twice in a round, or unknown ones.
TEST(EndpointReachabilityTest, RoundHasDifferentEndpoints) {
  Network Net;
  Net.addZones(2, 1);
  const std::vector<EndpointId> Chosen = Net.choose();
  EXPECT_EQ(std::set<EndpointId>(Chosen.begin(), Chosen.end()),
            (std::set<EndpointId>{EndpointId("z0-e0"), EndpointId("z1-e0")}));
  EXPECT_EQ(Chosen.size(), 2U);
}

// Guards against probes that always meet the same endpoint of a zone.
TEST(EndpointReachabilityTest, ProbesOfAZoneVary) {
  Network Net;
  Net.addZones(4, 3);
  std::set<EndpointId> Probed;
  for (int Round = 0; Round < 100; ++Round)
    for (const EndpointId &Id : Net.choose())
      Probed.insert(Id);
  EXPECT_EQ(Probed.size(), 12U);
}

/// Sends requests to as many endpoints as a round of health checks needs.
void sendToSeveral(EndpointReachability &Links, Instant Now) {
  for (std::size_t Index = 0;
       Index < EndpointReachability::MinUnansweredEndpoints; ++Index)
    Links.onRequestSent(EndpointId("e" + std::to_string(Index)), Now);
}

/// A host whose connections succeed and bring no answer.
EndpointReachability makeSilent(Instant Now) {
  EndpointReachability Result;
  sendToSeveral(Result, Now - CheckSilence);
  EXPECT_TRUE(Result.onChecksEnded(MinProbes, CheckResult::Silent, Now));
  return Result;
}

// Guards against a host that takes its links for good because connections are
// accepted, though nothing ever comes.
TEST(EndpointReachabilityTest, ConnectionsThatStaySilentIsolate) {
  EndpointReachability Links;
  sendToSeveral(Links, Start);
  for (Instant Now = Start + Silence; Now < Start + CheckSilence;
       Now += Interval)
    Links.onRoundEnded(MinProbes, true, Now);
  EXPECT_FALSE(Links.needsChecks(Start + CheckSilence - Tick));
  EXPECT_TRUE(Links.needsChecks(Start + CheckSilence));
  EXPECT_FALSE(Links.isIsolated());
  EXPECT_TRUE(Links.onChecksEnded(MinProbes, CheckResult::Silent,
                                  Start + CheckSilence));
  EXPECT_TRUE(Links.isIsolated());
  EXPECT_EQ(Links.isolatedSince(), Start + CheckSilence);
}

// Guards against a host that passes requests on and takes them back in turn,
// because connections succeed while nothing is answered.
TEST(EndpointReachabilityTest, ConnectionDoesNotEndAnIsolationBySilence) {
  EndpointReachability Links = makeSilent(Start);
  EXPECT_FALSE(Links.needsProbes(Start + std::chrono::minutes(1)));
  EXPECT_FALSE(Links.onRoundEnded(MinProbes, true, Start + Interval));
  EXPECT_TRUE(Links.isIsolated());
  EXPECT_FALSE(Links.needsChecks(Start + Interval - Tick));
  EXPECT_TRUE(Links.needsChecks(Start + Interval));
}

// Guards against an isolation by silence that outlasts the silence.
TEST(EndpointReachabilityTest, AnswerEndsAnIsolationBySilence) {
  EndpointReachability Asked = makeSilent(Start);
  EXPECT_TRUE(Asked.onChecksEnded(1, CheckResult::Answered, Start + Interval));
  EXPECT_FALSE(Asked.isIsolated());
  EndpointReachability Answered = makeSilent(Start);
  EXPECT_TRUE(Answered.onData(Start + Interval));
  EXPECT_FALSE(Answered.isIsolated());
  EXPECT_FALSE(Answered.needsChecks(Start + std::chrono::minutes(1)));
}

// Guards against health checks, which are priced, while requests are answered.
TEST(EndpointReachabilityTest, AnsweredRequestsNeedNoChecks) {
  EndpointReachability Links;
  for (Instant Now = Start; Now < Start + std::chrono::minutes(1);
       Now += CheckSilence) {
    sendToSeveral(Links, Now);
    Links.onData(Now + CheckSilence - Tick);
    EXPECT_FALSE(Links.needsChecks(Now + CheckSilence));
  }
}

// Guards against health checks for the silence of a single endpoint.
TEST(EndpointReachabilityTest, SilenceOfOneEndpointNeedsNoChecks) {
  EndpointReachability Links;
  Links.onRequestSent(AnyEndpoint, Start);
  Links.onRequestSent(AnyEndpoint, Start + Tick);
  EXPECT_FALSE(Links.needsChecks(Start + std::chrono::minutes(1)));
}

// Guards against isolation by a service whose endpoints are slow while others
// answer health checks, and against many checks meanwhile.
TEST(EndpointReachabilityTest, SlowServiceDoesNotIsolate) {
  EndpointReachability Links;
  int Rounds = 0;
  for (Instant Now = Start; Now < Start + std::chrono::minutes(1);
       Now += milliseconds(100)) {
    sendToSeveral(Links, Now);
    if (!Links.needsChecks(Now))
      continue;
    ++Rounds;
    EXPECT_FALSE(Links.onChecksEnded(MinProbes, CheckResult::Answered, Now));
  }
  EXPECT_GT(Rounds, 0);
  EXPECT_LE(Rounds, 60);
}

// Guards against isolation though data came on another connection while the
// health checks were open.
TEST(EndpointReachabilityTest, DataDuringARoundOutweighSilentChecks) {
  EndpointReachability Links;
  sendToSeveral(Links, Start);
  Links.onData(Start + CheckSilence + Tick);
  sendToSeveral(Links, Start + CheckSilence + Tick);
  EXPECT_FALSE(Links.onChecksEnded(MinProbes, CheckResult::Silent,
                                   Start + CheckSilence + Interval));
  EXPECT_FALSE(Links.isIsolated());
}

// Guards against isolation by overloaded endpoints that reset connections.
TEST(EndpointReachabilityTest, LostConnectionsAreNoSilence) {
  EndpointReachability Links;
  sendToSeveral(Links, Start);
  EXPECT_FALSE(Links.onChecksEnded(MinProbes, CheckResult::Unclear,
                                   Start + CheckSilence));
  EXPECT_FALSE(Links.needsChecks(Start + 2 * CheckSilence - Tick));
  EXPECT_TRUE(Links.needsChecks(Start + 2 * CheckSilence));
}

// Guards against isolation by the silence of the only endpoint with a check.
TEST(EndpointReachabilityTest, FewerThanMinProbesNeverShowSilence) {
  EndpointReachability Links;
  sendToSeveral(Links, Start);
  EXPECT_FALSE(Links.onChecksEnded(MinProbes - 1, CheckResult::Silent,
                                   Start + CheckSilence));
}

// Guards against health checks to services that have none, and against a first
// round that asks many endpoints or those of one zone only.
TEST(EndpointReachabilityTest, ChecksGoToServicesThatHaveOne) {
  Network Net;
  Net.addZones(3, 2);
  Net.add("board-1", "z0", "board");
  Net.add("board-2", "z1", "board");
  Net.add("board-3", "z1", "board");
  const auto HasCheck = [](const Endpoint &Candidate) {
    return Candidate.m_Registration.m_Service == "board";
  };
  const std::vector<EndpointId> Chosen = Net.chooseChecks(HasCheck);
  EXPECT_EQ(Chosen.size(), EndpointReachability::ChecksPerRound);
  EXPECT_EQ(Net.zonesOf(Chosen), 2U);
  std::vector<EndpointId> All = Net.chooseFurtherChecks(HasCheck, Chosen);
  All.insert(All.end(), Chosen.begin(), Chosen.end());
  EXPECT_EQ(std::set<EndpointId>(All.begin(), All.end()),
            (std::set<EndpointId>{EndpointId("board-1"), EndpointId("board-2"),
                                  EndpointId("board-3")}));
}

// Guards against an isolated host that asks many endpoints in each round.
TEST(EndpointReachabilityTest, IsolatedHostSendsNoFurtherChecks) {
  Network Net;
  Net.addZones(3, 2);
  Net.m_Links = makeSilent(Start);
  const auto HasCheck = [](const Endpoint &) { return true; };
  const std::vector<EndpointId> Chosen = Net.chooseChecks(HasCheck);
  EXPECT_EQ(Chosen.size(), EndpointReachability::ChecksPerRound);
  EXPECT_TRUE(Net.chooseFurtherChecks(HasCheck, Chosen).empty());
}

// Guards against failed connections of a host that has lost most of its paths,
// which count as crashes of endpoints, and against crashes that do not count
// because a request has crashed other endpoints shortly before.
TEST(EndpointReachabilityTest, MostFailedConnectionsShowLostPaths) {
  EXPECT_TRUE(EndpointReachability::hasLostPaths(15, 10));
  EXPECT_TRUE(EndpointReachability::hasLostPaths(4, 3));
  EXPECT_FALSE(EndpointReachability::hasLostPaths(4, 2));
  EXPECT_FALSE(EndpointReachability::hasLostPaths(2, 2));
  EXPECT_FALSE(EndpointReachability::hasLostPaths(15, 3));
  EXPECT_FALSE(EndpointReachability::hasLostPaths(0, 0));
}

// Guards against a round that leaves out a zone though it has probes for it.
RC_GTEST_PROP(EndpointReachabilityProperty, ProbesReachAsManyZonesAsPossible,
              ()) {
  const auto Sizes = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(1, 8));
  Network Net;
  std::size_t Total = 0;
  for (std::size_t Zone = 0; Zone < Sizes.size(); ++Zone)
    for (std::size_t Index = 0; Index < Sizes[Zone]; ++Index, ++Total)
      Net.add("z" + std::to_string(Zone) + "-e" + std::to_string(Index),
              "z" + std::to_string(Zone));
  const std::vector<EndpointId> Chosen = Net.choose();
  RC_ASSERT(Chosen.size() == std::min(ProbesPerRound, Total));
  RC_ASSERT(Net.zonesOf(Chosen) == std::min(ProbesPerRound, Sizes.size()));
  RC_ASSERT(std::set<EndpointId>(Chosen.begin(), Chosen.end()).size() ==
            Chosen.size());
}

enum class Event { RequestSent, Data, ConnectionFailed, RoundEnded };

/// Feeds an event other than the end of a round.
void feed(EndpointReachability &Links, Event Next, Instant Now) {
  if (Next == Event::RequestSent)
    Links.onRequestSent(AnyEndpoint, Now);
  if (Next == Event::Data)
    Links.onData(Now);
  if (Next == Event::ConnectionFailed)
    Links.onConnectionFailed();
}

rc::Gen<std::vector<Event>> genEvents() {
  return rc::gen::container<std::vector<Event>>(
      rc::gen::element(Event::RequestSent, Event::Data, Event::ConnectionFailed,
                       Event::RoundEnded));
}

Duration genPause() { return milliseconds(*rc::gen::inRange(0, 1500)); }

// Guards against events of any order that isolate a host whose probes connect.
RC_GTEST_PROP(EndpointReachabilityProperty,
              HostWithAConnectedProbeIsNeverIsolated, ()) {
  EndpointReachability Links;
  Instant Now = Start;
  for (const Event Next : *genEvents()) {
    Now += genPause();
    feed(Links, Next, Now);
    if (Next == Event::RoundEnded) {
      const auto Probes = *rc::gen::inRange<std::size_t>(1, ProbesPerRound + 1);
      RC_ASSERT(!Links.onRoundEnded(Probes, true, Now));
    }
    RC_ASSERT(!Links.isIsolated());
  }
}

// Guards against an isolation that anything but the last telling round decides:
// one that connects, or one that fails with enough probes.
RC_GTEST_PROP(EndpointReachabilityProperty, LastTellingRoundDecides, ()) {
  EndpointReachability Links;
  bool Expected = false;
  Instant Now = Start;
  for (const Event Next : *genEvents()) {
    Now += genPause();
    feed(Links, Next, Now);
    if (Next == Event::RoundEnded) {
      const auto Probes = *rc::gen::inRange<std::size_t>(0, ProbesPerRound + 1);
      const bool AnyConnected = Probes > 0 && *rc::gen::arbitrary<bool>();
      const bool Before = Expected;
      if (AnyConnected)
        Expected = false;
      else if (Probes >= MinProbes)
        Expected = true;
      RC_ASSERT(Links.onRoundEnded(Probes, AnyConnected, Now) ==
                (Before != Expected));
    }
    RC_ASSERT(Links.isIsolated() == Expected);
  }
}

/// A simpler account of when a host is isolated because nothing is answered.
struct SilenceModel {
  std::optional<Instant> m_NoDataSince;
  std::set<EndpointId> m_Endpoints;
  bool m_IsSilent = false;

  void onSent(const EndpointId &Id, Instant Now) {
    m_NoDataSince = m_NoDataSince.value_or(Now);
    m_Endpoints.insert(Id);
  }
  void onData() { *this = {}; }
  void onChecks(std::size_t Checks, CheckResult Result, Instant Now) {
    if (Result == CheckResult::Answered)
      onData();
    else if (Result == CheckResult::Silent && Checks >= MinProbes &&
             m_NoDataSince && Now - *m_NoDataSince >= CheckSilence &&
             m_Endpoints.size() >= EndpointReachability::MinUnansweredEndpoints)
      m_IsSilent = true;
  }
};

enum class SilenceEvent { RequestSent, Data, Connected, ChecksEnded };

// Guards against an isolation by silence without a second of silence at several
// endpoints and unanswered health checks, one that anything but an answer ends,
// and changes that are not reported.
RC_GTEST_PROP(EndpointReachabilityProperty, OnlySilenceIsolatesTillAnAnswer,
              ()) {
  const auto Events = *rc::gen::container<std::vector<SilenceEvent>>(
      rc::gen::element(SilenceEvent::RequestSent, SilenceEvent::RequestSent,
                       SilenceEvent::Data, SilenceEvent::Connected,
                       SilenceEvent::ChecksEnded, SilenceEvent::ChecksEnded));
  EndpointReachability Links;
  SilenceModel Expected;
  Instant Now = Start;
  for (const SilenceEvent Next : Events) {
    Now += genPause();
    const bool Before = Expected.m_IsSilent;
    bool HasChanged = false;
    if (Next == SilenceEvent::RequestSent) {
      const EndpointId Id("e" + std::to_string(*rc::gen::inRange(0, 3)));
      Links.onRequestSent(Id, Now);
      Expected.onSent(Id, Now);
    } else if (Next == SilenceEvent::Data) {
      HasChanged = Links.onData(Now);
      Expected.onData();
    } else if (Next == SilenceEvent::Connected) {
      HasChanged = Links.onRoundEnded(MinProbes, true, Now);
    } else {
      const auto Checks = *rc::gen::inRange<std::size_t>(1, ProbesPerRound);
      const auto Result =
          *rc::gen::element(CheckResult::Answered, CheckResult::Silent,
                            CheckResult::Silent, CheckResult::Unclear);
      HasChanged = Links.onChecksEnded(Checks, Result, Now);
      Expected.onChecks(Checks, Result, Now);
    }
    RC_ASSERT(Links.isIsolated() == Expected.m_IsSilent);
    RC_ASSERT(Links.isSilent() == Expected.m_IsSilent);
    RC_ASSERT(HasChanged == (Before != Expected.m_IsSilent));
  }
}

} // namespace
} // namespace sff::serving
