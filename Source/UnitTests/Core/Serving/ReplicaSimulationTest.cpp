#include "Core/Serving/DemandPressure.h"
#include "Core/Serving/EndpointSpeeds.h"
#include "Core/Serving/EngineLoad.h"
#include "Core/Serving/SwapPlanner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>

namespace sff::serving {
namespace {

constexpr int Hosts = 24;
constexpr int Zones = 3;
constexpr int Endpoints = 21;
constexpr int Slots = 24;
constexpr int Models = 40;
constexpr int ModelsPerEndpoint = 3;
constexpr double ServiceSeconds = 1.6;
constexpr milliseconds Step{10};
constexpr milliseconds RegularInterval{3500};
constexpr milliseconds LoadTime{860};
constexpr double ModelMb = 60000;
constexpr double CapacityMb = 200000;

std::string modelName(int Index) { return "m" + std::to_string(Index); }
EndpointId endpointName(int Index) {
  return EndpointId("e" + std::to_string(Index));
}

/// Hosts send requests to the least loaded replica of a model, report their
/// usage, and the holders of three zones add replicas by the decisions of the
/// core.
class Simulation {
public:
  using Demand = std::function<double(int Zone, int Model, double Seconds)>;

  explicit Simulation(bool ReportsPressure)
      : m_ReportsPressure(ReportsPressure), m_Hosts(Hosts),
        m_Endpoints(Endpoints), m_Holders(Zones) {
    for (int Index = 0; Index < Endpoints; ++Index)
      for (int Place = 0; Place < ModelsPerEndpoint; ++Place)
        m_Endpoints[Index].m_Models.insert(
            modelName((Index * ModelsPerEndpoint + Place) % Models));
    for (int Index = 0; Index < Hosts; ++Index)
      m_Hosts[Index].m_LastReport =
          Begin + RegularInterval * Index / Hosts - RegularInterval;
  }

  void setSpeed(int Endpoint, double Speed) {
    m_Endpoints[Endpoint].m_Speed = Speed;
  }
  /// Forgets all evictions so far. Those of \p Model are counted.
  void watch(int Model) { m_Watched = modelName(Model); }
  int evictions() const { return m_Evictions; }
  int replicas(int Model) const {
    return static_cast<int>(
        std::ranges::count_if(m_Endpoints, [Model](const EndpointState &State) {
          return State.m_Models.contains(modelName(Model));
        }));
  }

  /// Returns the share of the sends in \p Length that went to endpoints
  /// without a free slot.
  double run(milliseconds Length, const Demand &RateOf) {
    m_Sends = 0;
    m_FullSends = 0;
    for (const Instant End = m_Now + Length; m_Now < End; m_Now += Step) {
      for (EndpointState &State : m_Endpoints)
        advance(State);
      for (int Host = 0; Host < Hosts; ++Host)
        for (int Model = 0; Model < Models; ++Model) {
          const double Rate =
              RateOf(Host % Zones, Model, toSeconds(m_Now - Begin));
          if (Rate > 0 &&
              m_Arrival(m_Random) < Rate * toSeconds(Step) * Zones / Hosts)
            send(Host, Model);
        }
      for (int Host = 0; Host < Hosts; ++Host)
        report(Host);
      for (int Zone = 0; Zone < Zones; ++Zone)
        addReplicas(Zone);
    }
    return m_Sends > 0 ? static_cast<double>(m_FullSends) / m_Sends : 0;
  }
  /// Loads the model at an endpoint for a demand, as for a rarely used one.
  bool loadOnDemand(int Zone, int Model) {
    m_Holders[Zone].m_Knowledge.onDemand(m_Now);
    return startLoad(Zone, modelName(Model), 1e9, nullptr);
  }

private:
  static constexpr Instant Begin{std::chrono::seconds(1000)};

  struct HostState {
    PressureSigns m_Signs;
    WorkMeter m_Work;
    std::map<std::string, double> m_Requests;
    Instant m_LastReport;
  };
  struct EndpointState {
    std::set<std::string> m_Models;
    std::deque<std::pair<double, int>> m_Running; ///< Seconds left, host.
    double m_Speed = 1;
    std::string m_Loading;
    Instant m_LoadedAt;
  };
  struct Holder {
    DemandRates m_Rates{milliseconds(4000)};
    DemandRates m_LongRates{DemandRates::DefaultTimeConstant};
    DemandPressure m_Pressure;
    DemandKnowledge m_Knowledge;
    EndpointSpeeds m_Speeds;
    Instant m_CheckedAt;
  };

  void advance(EndpointState &State) {
    const auto Id = endpointName(static_cast<int>(&State - m_Endpoints.data()));
    // More requests than slots share the speed of the slots.
    const double Share = State.m_Running.size() > Slots
                             ? static_cast<double>(Slots) /
                                   static_cast<double>(State.m_Running.size())
                             : 1;
    for (auto &[Left, Host] : State.m_Running) {
      Left -= toSeconds(Step) * State.m_Speed * Share;
      if (Left <= 0 && Share >= 1)
        m_Hosts[Host].m_Work.onCompleted(
            "r", Id, fromSeconds(ServiceSeconds / State.m_Speed));
    }
    std::erase_if(State.m_Running,
                  [](const auto &Entry) { return Entry.first <= 0; });
    if (!State.m_Loading.empty() && m_Now >= State.m_LoadedAt)
      State.m_Models.insert(std::exchange(State.m_Loading, {}));
  }

  void send(int Host, int Model) {
    HostState &Sender = m_Hosts[Host];
    const std::string Name = modelName(Model);
    Sender.m_Signs.onRequest(m_Now);
    ++Sender.m_Requests[Name];
    EndpointState *Best = nullptr;
    for (EndpointState &State : m_Endpoints)
      if (State.m_Models.contains(Name) &&
          (!Best || State.m_Running.size() < Best->m_Running.size()))
        Best = &State;
    if (!Best)
      return;
    ++m_Sends;
    if (Best->m_Running.size() >= Slots) {
      ++m_FullSends;
      Sender.m_Signs.onSign(Name, m_Now);
    }
    Best->m_Running.emplace_back(ServiceSeconds, Host);
  }

  void report(int Host) {
    HostState &Sender = m_Hosts[Host];
    const auto Due = Sender.m_Signs.reportDue(Hosts);
    const bool IsEarly = m_ReportsPressure && Due && *Due <= m_Now;
    if (!IsEarly && m_Now < Sender.m_LastReport + RegularInterval)
      return;
    const HostId Id("h" + std::to_string(Host));
    PressureReport Report{Id, Sender.m_Signs.take(m_Now),
                          std::exchange(Sender.m_Requests, {}),
                          m_Now - Sender.m_LastReport};
    const auto Work = Sender.m_Work.take();
    Sender.m_LastReport = m_Now;
    for (Holder &Receiver : m_Holders) {
      if (!Report.m_Requests.empty())
        Receiver.m_Knowledge.onReport(Id, m_Now);
      if (m_ReportsPressure) {
        Receiver.m_Pressure.onReport(Report, m_Now);
        for (const auto &[Endpoint, Done] : Work)
          Receiver.m_Speeds.add(Endpoint, Done, m_Now);
      }
      for (const auto &[Model, Requests] : Report.m_Requests) {
        Receiver.m_Rates.add(Model, Requests, m_Now);
        Receiver.m_LongRates.add(Model, Requests, m_Now);
      }
    }
  }

  void addReplicas(int Zone) {
    Holder &State = m_Holders[Zone];
    if (m_Now - State.m_CheckedAt < milliseconds(100))
      return;
    State.m_CheckedAt = m_Now;
    std::vector<EndpointPlacement> Placements;
    Placements.reserve(Endpoints);
    for (int Index = 0; Index < Endpoints; ++Index)
      Placements.push_back({endpointName(Index),
                            {m_Endpoints[Index].m_Models.begin(),
                             m_Endpoints[Index].m_Models.end()}});
    const EngineLoad Load(
        Placements,
        [&](std::string_view Model) {
          return std::max(State.m_Rates.rate(Model, m_Now),
                          State.m_Pressure.rate(Model, m_Now));
        },
        sustainableRate(Slots),
        {[&](const EndpointId &Id) { return State.m_Speeds.speed(Id, m_Now); },
         [&](std::string_view Model) {
           return State.m_Pressure.isUnderPressure(Model, m_Now);
         }});
    for (const Overload &Found : Load.overloads()) {
      if (Found.m_Utilization <= 1 && !isTurnOf(Zone))
        continue;
      const int Share = Found.m_IsUnderPressure
                            ? zoneShare(Found.m_MissingReplicas, Zones)
                            : 1;
      while (loadsIn(Zone, Found.m_Model) < Share &&
             startLoad(Zone, Found.m_Model, Found.m_SavedWaitSeconds,
                       [&](int Endpoint) {
                         return Load.reducesLoadOf(endpointName(Endpoint),
                                                   Found);
                       }))
        ;
    }
  }

  bool isTurnOf(int Zone) const {
    return (m_Now - Begin) / milliseconds(2000) % Zones == Zone;
  }

  int loadsIn(int Zone, const std::string &Model) const {
    int Count = 0;
    for (int Index = Zone; Index < Endpoints; Index += Zones)
      Count += m_Endpoints[Index].m_Loading == Model ? 1 : 0;
    return Count;
  }

  bool startLoad(int Zone, const std::string &Model, double MaxCost,
                 const std::function<bool(int)> &IsEligible) {
    const Holder &State = m_Holders[Zone];
    std::vector<SwapCandidate> List;
    for (int Index = Zone; Index < Endpoints; Index += Zones) {
      const EndpointState &Target = m_Endpoints[Index];
      if (!Target.m_Loading.empty() || Target.m_Models.contains(Model) ||
          (IsEligible && !IsEligible(Index)))
        continue;
      SwapCandidate Candidate{endpointName(Index), CapacityMb, {}};
      for (const std::string &Held : Target.m_Models)
        Candidate.m_LoadedModels.push_back(
            {Held, ModelMb, State.m_LongRates.rate(Held, m_Now),
             replicasOf(Held) - 1, sustainableRate(Slots), false,
             m_ReportsPressure &&
                 (!State.m_Knowledge.isKnown(Hosts, m_Now) ||
                  State.m_Pressure.mustKeepReplicas(Held, m_Now))});
      List.push_back(std::move(Candidate));
    }
    const auto Plan = planSwap(ModelMb, List);
    if (!Plan || Plan->m_Cost > MaxCost)
      return false;
    for (EndpointState &Target : m_Endpoints)
      if (endpointName(static_cast<int>(&Target - m_Endpoints.data())) ==
          Plan->m_Endpoint) {
        for (const std::string &Victim : Plan->m_Evict) {
          m_Evictions += Victim == m_Watched ? 1 : 0;
          Target.m_Models.erase(Victim);
        }
        Target.m_Loading = Model;
        Target.m_LoadedAt = m_Now + LoadTime;
      }
    return true;
  }

  int replicasOf(const std::string &Model) const {
    return static_cast<int>(std::ranges::count_if(
        m_Endpoints, [&Model](const EndpointState &State) {
          return State.m_Models.contains(Model);
        }));
  }

  bool m_ReportsPressure;
  Instant m_Now = Begin;
  std::vector<HostState> m_Hosts;
  std::vector<EndpointState> m_Endpoints;
  std::vector<Holder> m_Holders;
  std::mt19937_64 m_Random{7};
  std::uniform_real_distribution<double> m_Arrival{0, 1};
  std::string m_Watched;
  int m_Sends = 0;
  int m_FullSends = 0;
  int m_Evictions = 0;
};

/// Requests per second of one zone for a model that all hosts use.
constexpr double PopularRate = 25;

// Guards against a popular model that stays on one endpoint until the regular
// reports of all hosts have come.
TEST(ReplicaSimulationTest, DemandMovesToAModelWithOneReplica) {
  const auto RateOf = [](int, int Model, double Seconds) {
    const int Popular = Seconds < 10 ? 0 : 39;
    return Model == Popular ? PopularRate : 0.1;
  };
  double Shares[2] = {};
  for (const bool ReportsPressure : {false, true}) {
    Simulation Day(ReportsPressure);
    Day.run(milliseconds(10000), RateOf);
    Shares[ReportsPressure ? 1 : 0] = Day.run(milliseconds(4000), RateOf);
    if (!ReportsPressure)
      continue;
    EXPECT_GE(Day.replicas(39), 4);
    EXPECT_LT(Day.run(milliseconds(4000), RateOf), 0.02);
    EXPECT_LE(Day.replicas(39), 14);
  }
  EXPECT_LT(Shares[1], Shares[0] / 2);
  RecordProperty("full_before", std::to_string(Shares[0]));
  RecordProperty("full_after", std::to_string(Shares[1]));
}

// Guards against replicas that follow a wave of the demand only when it has
// reached the next zone.
TEST(ReplicaSimulationTest, WaveGoesRoundThreeZones) {
  const auto RateOf = [](int Zone, int Model, double Seconds) {
    const bool IsPeak = static_cast<int>(Seconds / 4) % Zones == Zone;
    if (Model < 4)
      return IsPeak ? 18.0 : 9.0;
    return 0.1;
  };
  Simulation Day(true);
  Day.run(milliseconds(6000), RateOf);
  EXPECT_LT(Day.run(milliseconds(24000), RateOf), 0.03);
}

// Guards against a model on slow endpoints that gets as many replicas as one on
// usual endpoints, and so has more requests than it can serve.
TEST(ReplicaSimulationTest, QuarterOfTheEndpointsIsSlow) {
  const auto RateOf = [](int, int Model, double) {
    return Model < 4 ? 12.0 : 0.1;
  };
  Simulation Day(true);
  for (int Index = 0; Index < Endpoints; Index += 4)
    Day.setSpeed(Index, 0.55);
  Day.run(milliseconds(6000), RateOf);
  EXPECT_LT(Day.run(milliseconds(10000), RateOf), 0.02);
}

// Guards against the eviction of a popular model for a rarely used one in the
// first moments of the demand, when no host has reported it.
TEST(ReplicaSimulationTest, StartWithUnknownDemand) {
  const auto RateOf = [](int, int Model, double) {
    return Model == 0 ? PopularRate : 0.0;
  };
  Simulation Day(true);
  Day.watch(0);
  Day.run(milliseconds(100), RateOf);
  // All zones need an eviction for it.
  for (int Zone = 0; Zone < Zones; ++Zone)
    EXPECT_FALSE(Day.loadOnDemand(Zone, 39));
  Day.run(milliseconds(800), RateOf);
  for (int Round = 0; Round < 3; ++Round)
    for (int Zone = 0; Zone < Zones; ++Zone)
      EXPECT_TRUE(Day.loadOnDemand(Zone, 36 + Round));
  EXPECT_EQ(Day.evictions(), 0);
  EXPECT_GE(Day.replicas(0), 1);
}

} // namespace
} // namespace sff::serving
