#include "Core/Serving/EndpointChooser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>

namespace sff::serving {
namespace {

using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};
constexpr int Slots = 24;
constexpr int Capacity = 4 * Slots; ///< Running and waiting.
constexpr double ServiceSeconds = 0.25;
/// Fraction of the service time up to the first byte.
constexpr double FirstBytePart = 0.2;
constexpr double LateSeconds = 0.4;

struct SimulatedEndpoint {
  Endpoint m_Endpoint;
  std::function<double(double Seconds)> m_Speed;
  /// Work time that it reports, as a multiple of the true one; nothing without
  /// reports of it.
  std::optional<double> m_ReportedFactor = 1;
  bool m_RejectsAll = false;
  int m_Running = 0;
  std::deque<std::function<void()>> m_Waiting;
  std::map<int, int> m_SendsBySecond;

  int sends(int From, int To) const {
    int Sum = 0;
    for (const auto &[Second, Count] : m_SendsBySecond)
      Sum += Second >= From && Second < To ? Count : 0;
    return Sum;
  }
};

/// Hosts that send requests at random times to endpoints that run a limited
/// number of them at once, each the slower the more there are. A rejection
/// names no load.
class Simulation {
public:
  Simulation(int Hosts, int Endpoints, double RequestsPerSecond, int Zones = 1)
      : m_Rate(RequestsPerSecond), m_Zones(Zones), m_Endpoints(Endpoints) {
    for (int Number = 0; Number < Endpoints; ++Number) {
      Registration &Entry = m_Endpoints[Number].m_Endpoint.m_Registration;
      Entry.m_Id = EndpointId("e" + std::to_string(Number));
      Entry.m_Zone = zone(Number);
      Entry.m_Slots = Slots;
      m_Endpoints[Number].m_Speed = [](double) { return 1.0; };
    }
    for (int Host = 0; Host < Hosts; ++Host)
      addHost(Host);
  }

  SimulatedEndpoint &endpoint(int Number) { return m_Endpoints[Number]; }

  void run(int Seconds) {
    schedule(m_Now, [this] { arrive(); });
    const double End = m_Now + Seconds;
    while (!m_Events.empty() && m_Events.top().m_At < End) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
    m_Events = {};
    m_Now = End;
  }

  /// Replaces the hosts of a zone by ones that know nothing.
  void restartHosts(int Zone) {
    for (int Host = Zone; Host < static_cast<int>(m_Hosts.size());
         Host += m_Zones)
      m_Hosts[Host] = std::make_unique<EndpointChooser>(zone(Host), ++m_Seed);
  }
  void at(double Seconds, std::function<void()> Action) {
    schedule(Seconds, std::move(Action));
  }

  /// Sends this share of the requests of the other zones to hosts of the first
  /// one instead.
  void moveToFirstZone(double Share) { m_MovedShare = Share; }

  double lateShare() const { return double(m_Late) / std::max(1, m_Requests); }
  int rejections() const { return m_Rejections; }
  /// Sends to the busiest endpoint, relative to the mean.
  double imbalance(int From, int To) const {
    int Sum = 0;
    int Most = 0;
    for (const SimulatedEndpoint &Target : m_Endpoints) {
      Sum += Target.sends(From, To);
      Most = std::max(Most, Target.sends(From, To));
    }
    return double(Most) * static_cast<double>(m_Endpoints.size()) / Sum;
  }

private:
  struct Event {
    double m_At;
    std::uint64_t m_Number;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Number) < std::tie(m_At, m_Number);
    }
  };
  struct Sent {
    int m_Host;
    double m_ArrivedAt;
    std::set<EndpointId> m_Tried;
  };

  ZoneId zone(int Number) const {
    return ZoneId("z" + std::to_string(Number % m_Zones));
  }
  void addHost(int Host) {
    m_Hosts.push_back(std::make_unique<EndpointChooser>(zone(Host), ++m_Seed));
  }
  Instant now() const { return Start + fromSeconds(m_Now); }
  double random() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  void schedule(double At, std::function<void()> Action) {
    m_Events.push({At, ++m_Number, std::move(Action)});
  }

  void arrive() {
    schedule(m_Now - std::log(1 - random()) / m_Rate, [this] { arrive(); });
    ++m_Requests;
    int Host = static_cast<int>(m_Random() % m_Hosts.size());
    if (m_MovedShare > 0 && random() < m_MovedShare)
      Host -= Host % m_Zones;
    send({Host, m_Now, {}});
  }

  void send(Sent Request) {
    EndpointChooser &Chooser = *m_Hosts[Request.m_Host];
    std::vector<const Endpoint *> List;
    List.reserve(m_Endpoints.size());
    for (const SimulatedEndpoint &Target : m_Endpoints)
      List.push_back(&Target.m_Endpoint);
    ChoiceContext Context;
    Context.m_Tried = &Request.m_Tried;
    Context.m_Kind = "stream";
    const auto Chosen = Chooser.choose(List, Context, now());
    if (!Chosen || Request.m_Tried.size() >= 3) {
      ++m_Late;
      return;
    }
    const auto Target =
        std::ranges::find_if(m_Endpoints, [&](const SimulatedEndpoint &Other) {
          return Other.m_Endpoint.id() == *Chosen;
        });
    ++Target->m_SendsBySecond[static_cast<int>(m_Now)];
    Chooser.loads().onDispatched(*Chosen, now());
    if (Target->m_RejectsAll ||
        Target->m_Running + std::ssize(Target->m_Waiting) >= Capacity) {
      schedule(m_Now + 0.002, [this, &Chooser, Target = &*Target, Request] {
        onRejected(Chooser, *Target, Request);
      });
      return;
    }
    const routing::WorkSize Work = Chooser.lastChoice().m_Work;
    auto Begin = [this, Target = &*Target, Request, Work, SentAt = m_Now] {
      begin(*Target, Request, Work, SentAt);
    };
    if (Target->m_Running < Slots)
      Begin();
    else
      Target->m_Waiting.push_back(Begin);
  }

  void onRejected(EndpointChooser &Chooser, SimulatedEndpoint &Target,
                  Sent Request) {
    ++m_Rejections;
    Chooser.loads().onNotRun(Target.m_Endpoint.id(), now());
    Chooser.onRejected(Target.m_Endpoint, std::nullopt, now());
    Request.m_Tried.insert(Target.m_Endpoint.id());
    send(std::move(Request));
  }

  void begin(SimulatedEndpoint &Target, const Sent &Request,
             const routing::WorkSize &Work, double SentAt) {
    ++Target.m_Running;
    const double Size = 0.5 + random();
    const double Taken = ServiceSeconds * Size *
                         (1 + double(Target.m_Running) / Slots) /
                         Target.m_Speed(m_Now);
    schedule(m_Now + FirstBytePart * Taken,
             [this, &Target, Request, Work, SentAt] {
               onFirstByte(Target, Request, Work, SentAt);
             });
    schedule(m_Now + Taken, [this, &Target, Request] {
      m_Hosts[Request.m_Host]->loads().onFinished(Target.m_Endpoint.id(),
                                                  now());
      --Target.m_Running;
      if (Target.m_Waiting.empty())
        return;
      const auto Next = std::move(Target.m_Waiting.front());
      Target.m_Waiting.pop_front();
      Next();
    });
  }

  void onFirstByte(SimulatedEndpoint &Target, const Sent &Request,
                   const routing::WorkSize &Work, double SentAt) {
    if (m_Now - Request.m_ArrivedAt > LateSeconds)
      ++m_Late;
    EndpointChooser &Chooser = *m_Hosts[Request.m_Host];
    const EndpointId &Id = Target.m_Endpoint.id();
    Chooser.onReport(Id, Target.m_Running + std::ssize(Target.m_Waiting),
                     now());
    if (Target.m_ReportedFactor)
      Chooser.speeds().onReport(
          Id, *Target.m_ReportedFactor / Target.m_Speed(m_Now), now());
    const Duration FirstByte = fromSeconds(m_Now - SentAt);
    Chooser.speeds().onAnswer(Id, Work, FirstByte, now());
    Chooser.health().onLatency(Id, FirstByte, now());
    Chooser.health().onResult(Id, CallResult::Success, now());
  }

  double m_Rate;
  double m_MovedShare = 0;
  int m_Zones;
  std::vector<SimulatedEndpoint> m_Endpoints;
  std::vector<std::unique_ptr<EndpointChooser>> m_Hosts;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_Number = 0;
  std::uint64_t m_Seed = 0;
  std::mt19937_64 m_Random{7};
  double m_Now = 0;
  int m_Requests = 0;
  int m_Late = 0;
  int m_Rejections = 0;
};

constexpr int Hosts = 71;
constexpr int Endpoints = 12;

/// A quarter of the endpoints runs at 0.55 of the speed, the others at 1.2.
Simulation makeQuarterSlow(bool ReportsSpeed, double Rate) {
  Simulation Result(Hosts, Endpoints, Rate);
  for (int Number = 0; Number < Endpoints; ++Number) {
    const double Speed = Number % 4 == 0 ? 0.55 : 1.2;
    Result.endpoint(Number).m_Speed = [Speed](double) { return Speed; };
    if (!ReportsSpeed)
      Result.endpoint(Number).m_ReportedFactor.reset();
  }
  return Result;
}

// Guards against equal loads at endpoints of unequal speed, and against slow
// endpoints that get nothing.
TEST(EndpointChoiceSimulationTest, QuarterOfTheEndpointsSlow) {
  Simulation Blind = makeQuarterSlow(false, 560);
  Simulation Informed = makeQuarterSlow(true, 560);
  Blind.run(20);
  Informed.run(20);
  int Slow = 0;
  for (int Number = 0; Number < Endpoints; Number += 4)
    Slow += Informed.endpoint(Number).sends(5, 20);
  int All = 0;
  for (int Number = 0; Number < Endpoints; ++Number)
    All += Informed.endpoint(Number).sends(5, 20);
  std::cout << "late: " << Blind.lateShare() << " without reports, "
            << Informed.lateShare() << " with; rejections "
            << Blind.rejections() << ", " << Informed.rejections()
            << "; share of the slow " << double(Slow) / All << "\n";
  EXPECT_LE(Informed.lateShare(), Blind.lateShare());
  EXPECT_LT(Informed.lateShare(), 0.02);
  EXPECT_LT(double(Slow) / All, 0.22);
  EXPECT_GT(double(Slow) / All, 0.05);
}

// Guards against an endpoint that loses its speed and keeps its requests, and
// one that does not get them back.
TEST(EndpointChoiceSimulationTest, OneEndpointAtATenthOfItsSpeed) {
  Simulation Load(Hosts, Endpoints, 350);
  Load.endpoint(0).m_Speed = [](double Seconds) {
    return Seconds < 15 ? 0.1 : 1.0;
  };
  Load.run(40);
  const double Slow = Load.endpoint(0).sends(5, 15);
  const double Recovered = Load.endpoint(0).sends(30, 40);
  const double Other = Load.endpoint(1).sends(5, 15);
  std::cout << "slow " << Slow << ", recovered " << Recovered << ", other "
            << Other << ", late " << Load.lateShare() << "\n";
  EXPECT_GT(Slow, 0);
  EXPECT_LT(Slow, 0.3 * Other);
  EXPECT_GT(Recovered, 0.6 * Other);
}

// Guards against hosts that all send their next request to the endpoint that
// the same report shows to be the least loaded.
TEST(EndpointChoiceSimulationTest, ManyHostsAndOneReport) {
  constexpr int Reported[] = {8, 8, 2, 8, 12, 8, 8, 8, 16, 8, 8, 4};
  Simulation Names(1, Endpoints, 1);
  std::vector<const Endpoint *> List;
  std::map<EndpointId, int> Loads;
  List.reserve(Endpoints);
  for (int Number = 0; Number < Endpoints; ++Number)
    List.push_back(&Names.endpoint(Number).m_Endpoint);
  for (int Number = 0; Number < Endpoints; ++Number)
    Loads[List[Number]->id()] = Reported[Number];
  const std::map<EndpointId, int> Before = Loads;
  for (int Host = 0; Host < 83; ++Host) {
    EndpointChooser Chooser(ZoneId("z0"), Host);
    for (const Endpoint *Target : List)
      Chooser.onReport(Target->id(), Before.at(Target->id()), Start);
    ++Loads[*Chooser.choose(List, {}, Start)];
  }
  const auto Most = std::ranges::max_element(
      Loads, {}, [](const auto &Entry) { return Entry.second; });
  const double Mean = (98 + 83) / double(Endpoints);
  std::cout << "busiest " << Most->second << ", mean " << Mean << "\n";
  EXPECT_LT(Most->second, 2 * Mean);
}

// Guards against an endpoint that looks free to all because it runs nothing and
// rejects everything.
TEST(EndpointChoiceSimulationTest, FullEndpointThatRejects) {
  Simulation Load(Hosts, Endpoints, 480);
  Load.endpoint(0).m_RejectsAll = true;
  Load.run(20);
  std::cout << "rejected " << Load.endpoint(0).sends(5, 20) << ", others "
            << Load.endpoint(1).sends(5, 20) << "\n";
  EXPECT_LT(Load.endpoint(0).sends(5, 20), 0.5 * Load.endpoint(1).sends(5, 20));
}

// Guards against hosts without any report that crowd at the same endpoints.
TEST(EndpointChoiceSimulationTest, AllHostsOfAZoneNewAtOnce) {
  Simulation Load(Hosts, Endpoints, 480, 3);
  Load.at(10, [&] { Load.restartHosts(0); });
  Load.run(20);
  std::cout << "busiest before " << Load.imbalance(5, 10) << ", after "
            << Load.imbalance(10, 12) << ", late " << Load.lateShare() << "\n";
  EXPECT_LT(Load.imbalance(10, 12), 1.5);
  EXPECT_LT(Load.lateShare(), 0.02);
}

// Guards against a busy zone whose hosts take the endpoints of the others to be
// as busy, because they get no reports of them.
TEST(EndpointChoiceSimulationTest, OneZoneGetsMoreRequests) {
  Simulation Load(Hosts, Endpoints, 345, 3);
  Load.moveToFirstZone(0.33);
  Load.run(20);
  std::cout << "late " << Load.lateShare() << ", busiest "
            << Load.imbalance(5, 20) << "\n";
  EXPECT_LT(Load.lateShare(), 0.005);
}

// Guards against trust in an endpoint that reports to be fast and is slow.
TEST(EndpointChoiceSimulationTest, FalseSpeedReport) {
  Simulation Load(Hosts, Endpoints, 350);
  Load.endpoint(0).m_Speed = [](double) { return 0.3; };
  Load.endpoint(0).m_ReportedFactor = 0.15; // Claims twice the usual speed.
  Load.run(30);
  std::cout << "false " << Load.endpoint(0).sends(15, 30) << ", other "
            << Load.endpoint(1).sends(15, 30) << ", late " << Load.lateShare()
            << "\n";
  EXPECT_LT(Load.endpoint(0).sends(15, 30),
            0.6 * Load.endpoint(1).sends(15, 30));
  EXPECT_GT(Load.endpoint(0).sends(15, 30), 0);
}

} // namespace
} // namespace sff::serving
