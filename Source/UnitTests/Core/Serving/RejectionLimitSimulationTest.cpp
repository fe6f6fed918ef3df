#include "Core/Serving/RejectionLimits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace sff::serving {
namespace {

using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Latency{2}; ///< One way, between host and endpoint.
/// Time from the start of a run to the head of its answer.
constexpr milliseconds HeadDelay{60};
constexpr milliseconds MeanRun{700};
constexpr milliseconds RunDeviation{200};
constexpr milliseconds MinRun{100};
constexpr seconds PlayLength{18};
constexpr seconds BurstBegin{6};
constexpr seconds BurstEnd{16};
/// Endpoints let fewer requests wait from here on (`contact-ms`).
constexpr seconds ShrinkAt{4};
constexpr seconds DownTime{4};
constexpr milliseconds Patience{1500}; ///< Longest wait of a request.
constexpr milliseconds RetryInterval{50};
constexpr int MaxSends = 4;
/// Load outside and inside the burst, as a part of what all slots serve.
constexpr double CalmLoad = 0.5;
constexpr double BurstLoad = 1.25;
/// Part of the requests that a single endpoint can serve.
constexpr double RareShare = 0.3;
constexpr unsigned Seeds = 3;

/// A deployment whose endpoints fail when they reject too many requests.
struct Fleet {
  std::size_t m_Hosts;
  std::size_t m_Endpoints;
  int m_Slots;
  std::size_t m_Waiting; ///< Requests that may wait at an endpoint.

  /// The most failures of endpoints that are allowed in one play.
  double maxFailures() const {
    return 2 + 0.1 * static_cast<double>(m_Endpoints);
  }
};

enum class Spread {
  Even,   ///< All hosts get the same load.
  Skewed, ///< One host gets nine tenths of the load.
};

struct Outcome {
  std::size_t m_Requests = 0;
  std::size_t m_Served = 0;
  /// Of the requests between the shrinking of the queues and the burst.
  std::size_t m_CalmRequests = 0;
  std::size_t m_CalmServed = 0;
  std::size_t m_Rejections = 0;
  std::size_t m_Failures = 0; ///< Of endpoints.
};

class Simulation {
public:
  Simulation(const Fleet &Size, double MaxRejections, Spread Load, bool Limits,
             unsigned Seed)
      : m_Size(Size), m_MaxRejections(MaxRejections), m_Load(Load),
        m_UsesLimits(Limits), m_Random(Seed), m_Endpoints(Size.m_Endpoints) {
    for (std::size_t Index = 0; Index < Size.m_Endpoints; ++Index) {
      Registration &Entry = m_Endpoints[Index].m_View.m_Registration;
      Entry.m_Id = EndpointId("e" + std::to_string(Index));
      Entry.m_Service = "service";
      Entry.m_Slots = Size.m_Slots;
    }
    for (std::size_t Index = 0; Index < Size.m_Hosts; ++Index) {
      m_Hosts.emplace_back(Seed * 1000 + Index, Size.m_Endpoints);
      m_Hosts.back().m_Limits.setHosts(Size.m_Hosts);
    }
  }

  Outcome play() {
    schedule(Start, [this] { arrive(); });
    while (!m_Events.empty() && m_Events.top().m_At < Start + PlayLength) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
    return m_Outcome;
  }

private:
  struct Event {
    Instant m_At;
    std::uint64_t m_Order;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };
  struct Job {
    std::size_t m_Host = 0;
    Instant m_ArrivedAt;
    std::vector<std::size_t> m_Candidates;
    std::set<std::size_t> m_Excluded;
    int m_Sends = 0;
    Instant m_SentAt;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct SimulatedEndpoint {
    Endpoint m_View;
    int m_Running = 0;
    std::deque<JobPtr> m_Queue;
    std::deque<Instant> m_Rejections;
    Instant m_DownUntil;
    int m_Starts = 0;
  };
  struct SimulatedHost {
    SimulatedHost(std::uint64_t Seed, std::size_t Endpoints)
        : m_Limits(Seed), m_Load(Endpoints), m_DownUntil(Endpoints) {}
    RejectionLimits m_Limits;
    std::vector<std::int64_t> m_Load; ///< Reported, and sent since.
    std::vector<Instant> m_DownUntil;
  };

  void schedule(Instant At, std::function<void()> Action) {
    m_Events.push({At, m_Order++, std::move(Action)});
  }
  double uniform() {
    return std::uniform_real_distribution<double>()(m_Random);
  }
  double capacity() const {
    return static_cast<double>(m_Size.m_Endpoints) * m_Size.m_Slots /
           toSeconds(MeanRun);
  }

  static bool isCalm(Instant At) {
    return At >= Start + ShrinkAt && At < Start + BurstBegin;
  }

  void arrive() {
    const double Most = capacity() * BurstLoad;
    schedule(m_Now + fromSeconds(
                         std::exponential_distribution<double>(Most)(m_Random)),
             [this] { arrive(); });
    const bool InBurst =
        m_Now >= Start + BurstBegin && m_Now < Start + BurstEnd;
    if (!InBurst && uniform() > CalmLoad / BurstLoad)
      return;
    const auto Created = std::make_shared<Job>();
    Created->m_Host = m_Load == Spread::Skewed && uniform() < 0.9
                          ? 0
                          : m_Random() % m_Size.m_Hosts;
    Created->m_ArrivedAt = m_Now;
    if (uniform() < RareShare) {
      Created->m_Candidates = {m_Random() % m_Size.m_Endpoints};
    } else {
      const std::size_t Half = m_Random() % 2;
      for (std::size_t Index = Half; Index < m_Size.m_Endpoints; Index += 2)
        Created->m_Candidates.push_back(Index);
    }
    ++m_Outcome.m_Requests;
    if (isCalm(m_Now))
      ++m_Outcome.m_CalmRequests;
    trySend(Created);
  }

  void trySend(const JobPtr &Sent) {
    SimulatedHost &Host = m_Hosts[Sent->m_Host];
    if (m_Now - Sent->m_ArrivedAt > Patience || Sent->m_Sends >= MaxSends)
      return;
    std::vector<std::size_t> Eligible;
    for (const std::size_t Index : Sent->m_Candidates)
      if (!Sent->m_Excluded.contains(Index) &&
          Host.m_DownUntil[Index] <= m_Now &&
          (!m_UsesLimits ||
           Host.m_Limits.allows(m_Endpoints[Index].m_View, m_Now)))
        Eligible.push_back(Index);
    if (Eligible.empty()) {
      Sent->m_Excluded.clear();
      schedule(m_Now + RetryInterval, [this, Sent] { trySend(Sent); });
      return;
    }
    std::ranges::shuffle(Eligible, m_Random);
    const std::size_t Chosen = *std::ranges::min_element(
        Eligible, {}, [&](std::size_t Index) { return Host.m_Load[Index]; });
    ++Sent->m_Sends;
    Sent->m_SentAt = m_Now;
    ++Host.m_Load[Chosen];
    Host.m_Limits.onSent(m_Endpoints[Chosen].m_View, m_Now);
    schedule(m_Now + Latency,
             [this, Sent, Chosen] { onArrival(Sent, Chosen); });
  }

  const EndpointId &idOf(std::size_t Index) const {
    return m_Endpoints[Index].m_View.id();
  }

  void onArrival(const JobPtr &Sent, std::size_t Index) {
    SimulatedEndpoint &At = m_Endpoints[Index];
    if (At.m_DownUntil > m_Now) {
      schedule(m_Now + Latency, [this, Sent, Index] { onLost(Sent, Index); });
      return;
    }
    if (At.m_Running < m_Size.m_Slots) {
      run(Sent, Index);
      return;
    }
    const std::size_t Waiting = m_Now < Start + ShrinkAt
                                    ? static_cast<std::size_t>(m_Size.m_Slots)
                                    : m_Size.m_Waiting;
    if (At.m_Queue.size() < Waiting) {
      At.m_Queue.push_back(Sent);
      return;
    }
    reject(Sent, Index);
  }

  void reject(const JobPtr &Sent, std::size_t Index) {
    SimulatedEndpoint &At = m_Endpoints[Index];
    ++m_Outcome.m_Rejections;
    At.m_Rejections.push_back(m_Now);
    while (m_Now - At.m_Rejections.front() > seconds(1))
      At.m_Rejections.pop_front();
    const std::int64_t Load = loadOf(At);
    schedule(m_Now + Latency, [this, Sent, Index, Load] {
      report(Sent, Index, Load, true);
      m_Hosts[Sent->m_Host].m_Limits.onFinished(idOf(Index));
      Sent->m_Excluded.insert(Index);
      trySend(Sent);
    });
    if (m_Now < Start + ShrinkAt ||
        static_cast<double>(At.m_Rejections.size()) <= m_MaxRejections)
      return;
    ++m_Outcome.m_Failures;
    At.m_DownUntil = m_Now + DownTime;
    ++At.m_Starts;
    At.m_Running = 0;
    At.m_Rejections.clear();
    for (const JobPtr &Waiting : std::exchange(At.m_Queue, {}))
      schedule(m_Now + Latency,
               [this, Waiting, Index] { onLost(Waiting, Index); });
  }

  static std::int64_t loadOf(const SimulatedEndpoint &At) {
    return At.m_Running + static_cast<std::int64_t>(At.m_Queue.size());
  }

  void run(const JobPtr &Sent, std::size_t Index) {
    SimulatedEndpoint &At = m_Endpoints[Index];
    ++At.m_Running;
    const int Starts = At.m_Starts;
    schedule(m_Now + HeadDelay, [this, Sent, Index, Starts] {
      if (m_Endpoints[Index].m_Starts != Starts)
        return;
      report(Sent, Index, loadOf(m_Endpoints[Index]), false);
    });
    const double Length = std::normal_distribution<double>(
        toSeconds(MeanRun), toSeconds(RunDeviation))(m_Random);
    schedule(m_Now + std::max<Duration>(fromSeconds(Length), MinRun),
             [this, Sent, Index, Starts] { onDone(Sent, Index, Starts); });
  }

  void onDone(const JobPtr &Sent, std::size_t Index, int Starts) {
    SimulatedEndpoint &At = m_Endpoints[Index];
    if (At.m_Starts != Starts) {
      onLost(Sent, Index);
      return;
    }
    --At.m_Running;
    ++m_Outcome.m_Served;
    if (isCalm(Sent->m_ArrivedAt))
      ++m_Outcome.m_CalmServed;
    m_Hosts[Sent->m_Host].m_Limits.onFinished(idOf(Index));
    if (At.m_Queue.empty())
      return;
    const JobPtr Next = At.m_Queue.front();
    At.m_Queue.pop_front();
    run(Next, Index);
  }

  void report(const JobPtr &Sent, std::size_t Index, std::int64_t Load,
              bool WasRejected) {
    SimulatedHost &Host = m_Hosts[Sent->m_Host];
    Host.m_Load[Index] = Load;
    CapacityReport Report;
    if (m_Now >= Start + seconds(1))
      Report.m_MaxRejections = m_MaxRejections;
    Report.m_Load = Load;
    Report.m_WasRejected = WasRejected;
    Host.m_Limits.onAnswer(m_Endpoints[Index].m_View, Report, Sent->m_SentAt,
                           m_Now);
  }

  void onLost(const JobPtr &Sent, std::size_t Index) {
    SimulatedHost &Host = m_Hosts[Sent->m_Host];
    Host.m_Limits.onFinished(idOf(Index));
    Host.m_DownUntil[Index] = m_Now + seconds(2);
    Sent->m_Excluded.insert(Index);
    trySend(Sent);
  }

  Fleet m_Size;
  double m_MaxRejections;
  Spread m_Load;
  bool m_UsesLimits;
  std::mt19937_64 m_Random;
  Instant m_Now = Start;
  std::uint64_t m_Order = 0;
  std::priority_queue<Event> m_Events;
  std::vector<SimulatedEndpoint> m_Endpoints;
  std::deque<SimulatedHost> m_Hosts;
  Outcome m_Outcome;
};

struct Mix {
  Fleet m_Fleet;
  double m_MaxRejections;
  Spread m_Spread;
};

void PrintTo(const Mix &Played, std::ostream *Out) { // NOLINT: GoogleTest's
  *Out << Played.m_Fleet.m_Hosts << "Hosts" << Played.m_MaxRejections
       << "Rejections" << (Played.m_Spread == Spread::Even ? "Even" : "Skewed");
}

/// The sum of all plays; the failures of the worst one.
Outcome playAll(const Mix &Played, bool Limits) {
  Outcome Sum;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    const Outcome One = Simulation(Played.m_Fleet, Played.m_MaxRejections,
                                   Played.m_Spread, Limits, Seed)
                            .play();
    Sum.m_Requests += One.m_Requests;
    Sum.m_Served += One.m_Served;
    Sum.m_CalmRequests += One.m_CalmRequests;
    Sum.m_CalmServed += One.m_CalmServed;
    Sum.m_Rejections += One.m_Rejections;
    Sum.m_Failures = std::max(Sum.m_Failures, One.m_Failures);
  }
  return Sum;
}

double share(std::size_t Counted, std::size_t All) {
  return static_cast<double>(Counted) / static_cast<double>(All);
}

void print(const Mix &Played, std::string_view Rule, const Outcome &Result) {
  PrintTo(Played, &std::cout);
  std::cout << ", " << Rule << ": at most " << Result.m_Failures
            << " failures of " << Played.m_Fleet.maxFailures() << " allowed, "
            << Result.m_Rejections / Seeds << " rejections, served "
            << share(Result.m_Served, Result.m_Requests)
            << ", before the burst "
            << share(Result.m_CalmServed, Result.m_CalmRequests) << "\n";
}

class RejectionLimitSimulationTest : public ::testing::TestWithParam<Mix> {};

// Guards against hosts that make endpoints fail by requests that they reject,
// and against limits that serve fewer requests than the failures leave.
TEST_P(RejectionLimitSimulationTest, BurstMakesFewEndpointsFail) {
  const Outcome Without = playAll(GetParam(), false);
  const Outcome InForce = playAll(GetParam(), true);
  print(GetParam(), "without", Without);
  print(GetParam(), "in force", InForce);
  EXPECT_LE(static_cast<double>(InForce.m_Failures),
            GetParam().m_Fleet.maxFailures());
  EXPECT_GT(InForce.m_Served, Without.m_Served);
}

constexpr Fleet SmallEngines{6, 12, 64, 4};
constexpr Fleet SmallPlain{8, 4, 6, 1};
constexpr Fleet LargePlain{81, 4, 6, 1};
constexpr Fleet Medium{30, 20, 24, 2};
constexpr Fleet Large{81, 60, 24, 2};

INSTANTIATE_TEST_SUITE_P(
    Mixes, RejectionLimitSimulationTest,
    ::testing::Values(
        Mix{SmallEngines, 1, Spread::Even},
        Mix{SmallEngines, 1, Spread::Skewed},
        Mix{SmallEngines, 10, Spread::Skewed}, Mix{SmallPlain, 1, Spread::Even},
        Mix{SmallPlain, 10, Spread::Even}, Mix{LargePlain, 5, Spread::Even},
        Mix{Medium, 1, Spread::Even}, Mix{Medium, 3, Spread::Skewed},
        Mix{Medium, 10, Spread::Even}, Mix{Large, 1, Spread::Even},
        Mix{Large, 3, Spread::Even}, Mix{Large, 10, Spread::Even},
        Mix{Large, 30, Spread::Even}));

} // namespace
} // namespace sff::serving
