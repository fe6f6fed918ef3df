#include "Core/Quota/QuotaLedger.h"
#include "Core/Quota/TenantAllowance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <random>

namespace sff::quota {
namespace {

constexpr milliseconds Window{8000};
constexpr milliseconds StepLength{50};
constexpr milliseconds ReportInterval{1000};
constexpr double Rate = 1000; ///< Units per second of the tenant.
constexpr double Burst = 1000;
const Instant Start{std::chrono::seconds(5000)};

/// Chances of the faults of one schedule.
struct Faults {
  double m_Loss = 0;      ///< Of a message.
  double m_Copy = 0;      ///< A message is delivered once more, later.
  double m_HostDeath = 0; ///< Of a host in a step, which restarts at once.
  double m_LessorDeath = 0;
  double m_Pause = 0; ///< Of the lessor in a step, for a second or two.
};

/// The hosts of one zone that share a tenant's quota over an unreliable
/// network.
class Fleet {
public:
  Fleet(std::size_t Hosts, const QuotaLimits &Limits, const Faults &Chances,
        std::uint32_t Seed)
      : m_Limits(Limits), m_Chances(Chances), m_Random(Seed), m_Ledger(Window) {
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      m_Hosts.emplace_back(makeAllowance());
    m_Ledger.begin(Start - Window);
  }

  /// Lets each host ask for \p Demand units per second, in requests of \p Cost.
  void run(Duration Length, double Demand, double Cost) {
    const Instant End = m_Now + Length;
    const double RequestsPerStep = Demand / Cost * toSeconds(StepLength);
    for (; m_Now < End; m_Now += StepLength) {
      deliver();
      fail();
      for (std::size_t Index = 0; Index < m_Hosts.size(); ++Index)
        step(Index, RequestsPerStep, Cost);
    }
  }

  double asked() const { return m_Asked; }
  double used() const { return m_Used; }
  /// The largest use of all hosts in any window.
  double peak() const { return m_Peak; }

private:
  struct HostState {
    explicit HostState(TenantAllowance Allowance)
        : m_Allowance(std::move(Allowance)) {}

    TenantAllowance m_Allowance;
    int m_Process = 0;
    Instant m_ReportedAt;
  };
  struct Message {
    Instant m_At;
    std::size_t m_Host = 0;
    int m_Process = 0;
    GrantRequest m_Request;
  };

  TenantAllowance makeAllowance() {
    TenantAllowance Result("t", Window);
    Result.setReserve(
        m_Limits.hostReserve(std::max<std::size_t>(m_Hosts.size(), 1)), m_Now);
    return Result;
  }
  bool happens(double Chance) {
    return std::uniform_real_distribution<>(0, 1)(m_Random) < Chance;
  }

  void step(std::size_t Index, double RequestsPerStep, double Cost) {
    std::poisson_distribution<int> Arrivals(RequestsPerStep);
    for (int Count = Arrivals(m_Random); Count > 0; --Count) {
      m_Asked += Cost;
      if (serve(Index, Cost))
        record(Cost);
    }
    HostState &Host = m_Hosts[Index];
    if (m_Now - Host.m_ReportedAt >= ReportInterval)
      report(Index, 0);
  }

  bool serve(std::size_t Index, double Cost) {
    HostState &Host = m_Hosts[Index];
    Host.m_Allowance.recordDemand(Cost, m_Now);
    if (Host.m_Allowance.tryTake(Cost, m_Now))
      return true;
    if (!Host.m_Allowance.mayAsk(m_Now))
      return false;
    report(Index, Cost);
    return Host.m_Allowance.tryTake(Cost, m_Now);
  }

  /// Sends a request, whose answer comes at once unless it is lost.
  void report(std::size_t Index, double Needed) {
    HostState &Host = m_Hosts[Index];
    Host.m_ReportedAt = m_Now;
    const GrantRequest Request = Host.m_Allowance.makeRequest(Needed, m_Now);
    if (happens(m_Chances.m_Copy))
      m_Late.push_back(
          {m_Now + milliseconds(300), Index, Host.m_Process, Request});
    if (happens(m_Chances.m_Loss) || m_Now < m_PausedUntil)
      return;
    const Grant Answer = handle(Index, Host.m_Process, Request);
    if (!happens(m_Chances.m_Loss))
      Host.m_Allowance.onGrant(Answer, m_Now);
  }

  Grant handle(std::size_t Index, int Process, const GrantRequest &Request) {
    const HostId Id(std::to_string(Index) + "/" + std::to_string(Process));
    return m_Ledger.onRequest(Id, Request, m_Limits.total(), m_Now);
  }

  void deliver() {
    while (!m_Late.empty() && m_Late.front().m_At <= m_Now) {
      const Message Copy = m_Late.front();
      m_Late.pop_front();
      handle(Copy.m_Host, Copy.m_Process, Copy.m_Request);
    }
  }

  void fail() {
    for (HostState &Host : m_Hosts)
      if (happens(m_Chances.m_HostDeath)) {
        Host.m_Allowance = makeAllowance();
        ++Host.m_Process;
      }
    if (happens(m_Chances.m_LessorDeath)) {
      m_Ledger = QuotaLedger(Window);
      m_Ledger.begin(m_Now);
    }
    if (happens(m_Chances.m_Pause))
      m_PausedUntil = m_Now + milliseconds(1500);
  }

  void record(double Cost) {
    m_Used += Cost;
    m_Uses.emplace_back(m_Now, Cost);
    m_InWindow += Cost;
    while (m_Now - m_Uses.front().first >= Window) {
      m_InWindow -= m_Uses.front().second;
      m_Uses.pop_front();
    }
    m_Peak = std::max(m_Peak, m_InWindow);
  }

  QuotaLimits m_Limits;
  Faults m_Chances;
  std::mt19937 m_Random;
  QuotaLedger m_Ledger;
  std::vector<HostState> m_Hosts;
  std::deque<Message> m_Late;
  Instant m_Now = Start;
  Instant m_PausedUntil;
  std::deque<std::pair<Instant, double>> m_Uses;
  double m_InWindow = 0;
  double m_Asked = 0;
  double m_Used = 0;
  double m_Peak = 0;
};

QuotaLimits makeLimits() {
  return *limitsOf({tenants::QuotaUnit::Tokens, Rate, Burst, 0},
                   {Window, 0.1, 2000});
}

// Guards against hosts that exceed a quota together, whatever is lost, late or
// repeated, while hosts and lessors die and stand still, for a tenant that asks
// for several times its quota.
RC_GTEST_PROP(QuotaProperties, HostsStayWithinTheToleranceInEachWindow, ()) {
  const QuotaLimits Limits = makeLimits();
  Faults Chances;
  Chances.m_Loss = *rc::gen::element(0.0, 0.05, 0.3);
  Chances.m_Copy = *rc::gen::element(0.0, 0.1);
  Chances.m_HostDeath = *rc::gen::element(0.0, 0.0005);
  Chances.m_LessorDeath = *rc::gen::element(0.0, 0.002);
  Chances.m_Pause = *rc::gen::element(0.0, 0.005);
  const auto Hosts = *rc::gen::inRange<std::size_t>(1, 40);
  const auto Seed = *rc::gen::arbitrary<std::uint32_t>();
  Fleet Zone(Hosts, Limits, Chances, Seed);
  const double Fold = *rc::gen::element(0.5, 1.0, 4.0, 7.0);
  Zone.run(std::chrono::seconds(30), Fold * Rate / static_cast<double>(Hosts),
           20);
  RC_ASSERT(Zone.peak() <= Limits.m_Quota + Limits.m_Tolerance);
}

// Guards against a quota that is wasted because demand is spread unevenly, and
// against one that a hot tenant does not get.
TEST(QuotaUseTest, QuotaIsUsedWhetherDemandIsLowOrHigh) {
  for (const std::size_t Hosts : {1U, 6U, 28U, 130U}) {
    Fleet Calm(Hosts, makeLimits(), {}, 1);
    Calm.run(std::chrono::seconds(60), 0.55 * Rate / static_cast<double>(Hosts),
             20);
    EXPECT_GT(Calm.used(), 0.99 * Calm.asked()) << Hosts;
    Fleet Hot(Hosts, makeLimits(), {}, 2);
    Hot.run(std::chrono::seconds(60), 4 * Rate / static_cast<double>(Hosts),
            20);
    EXPECT_GT(Hot.used(), 0.9 * 60 * Rate) << Hosts;
  }
}

} // namespace
} // namespace sff::quota
