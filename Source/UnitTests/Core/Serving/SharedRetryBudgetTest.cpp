#include "Core/Serving/SharedRetryBudget.h"
#include "Core/Serving/FleetSize.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr RetryLimits Bounds{0.2, 56, std::chrono::seconds(10)};

// Guards against doubling the load of a failing service: over all hosts, the
// retries in any window stay within the limits of the deployment.
RC_GTEST_PROP(SharedRetryBudgetTest, RetriesOfAllHostsStayWithinTheBounds, ()) {
  const int Hosts = *rc::gen::inRange(1, 9);
  std::vector<SharedRetryBudget> Budgets;
  for (int Host = 0; Host < Hosts; ++Host) {
    Budgets.emplace_back(Bounds);
    Budgets.back().setHosts(static_cast<std::size_t>(Hosts));
  }
  std::vector<Instant> Requests;
  std::vector<Instant> Retries;
  Instant Now = Start;
  const int Steps = *rc::gen::inRange(50, 400);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += milliseconds(*rc::gen::inRange(1, 200));
    auto &Budget =
        Budgets[static_cast<std::size_t>(*rc::gen::inRange(0, Hosts))];
    Budget.onRequest(Now);
    Requests.push_back(Now);
    for (int Try = 0; Try < 3; ++Try)
      if (Budget.tryRetry(Now))
        Retries.push_back(Now);
  }
  const auto CountBetween = [](const std::vector<Instant> &List, Instant From,
                               Instant To) {
    return std::count_if(List.begin(), List.end(), [From, To](Instant At) {
      return At > From && At <= To;
    });
  };
  for (const Instant End : Retries) {
    const auto Window = CountBetween(Retries, End - Bounds.m_Window, End);
    const auto Seen = CountBetween(Requests, End - Bounds.m_Window, End);
    const auto Before = CountBetween(Requests, End - 2 * Bounds.m_Window,
                                     End - Bounds.m_Window);
    const double Allowed =
        Bounds.m_Ratio * static_cast<double>(std::max(Seen, Before)) +
        Bounds.m_FixedAllowance;
    RC_ASSERT(static_cast<double>(Window) <= Allowed);
  }
}

// Guards against a budget that denies the first retry when there is little
// traffic.
TEST(SharedRetryBudgetTest, HostWithoutRequestsMayRetry) {
  SharedRetryBudget Budget(Bounds);
  Budget.setHosts(8);
  EXPECT_TRUE(Budget.tryRetry(Start));
}

// Guards against a host that fails the first request it takes after its start
// because it may not retry, and against a share that stays reduced.
TEST(SharedRetryBudgetTest, ShareGrowsAfterTheStart) {
  constexpr std::size_t Hosts = 8;
  constexpr int FullShare = 5; // 0.8 * 56 / 8, rounded down.
  SharedRetryBudget Budget(Bounds, Start);
  Budget.setHosts(Hosts);
  EXPECT_TRUE(Budget.tryRetry(Start));
  EXPECT_FALSE(Budget.tryRetry(Start));
  const Instant Full = Start + 2 * Bounds.m_Window;
  for (int Retry = 0; Retry < FullShare; ++Retry)
    EXPECT_TRUE(Budget.tryRetry(Full));
  EXPECT_FALSE(Budget.tryRetry(Full));
}

/// Retries of a fleet whose requests all ask for retries, and the times of its
/// requests.
class BusyFleet {
public:
  BusyFleet(const RetryLimits &Limits, std::size_t Hosts,
            std::size_t AssumedHosts)
      : m_Limits(Limits), m_Assumed(AssumedHosts) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      m_Budgets.push_back(makeBudget(Start - m_Limits.m_Window, Hosts));
  }

  void restart(std::size_t Host, Instant Now) {
    m_Budgets[Host] = makeBudget(Now, m_Assumed);
  }
  void request(Instant Now) {
    SharedRetryBudget &Budget = m_Budgets[m_Next++ % m_Budgets.size()];
    Budget.onRequest(Now);
    m_Requests.push_back(Now);
    for (int Try = 0; Try < MaxRetries; ++Try)
      if (Budget.tryRetry(Now))
        m_Retries.push_back(Now);
  }
  /// Returns the largest number of retries in a window beyond the limit for the
  /// requests of that window.
  double largestExcess() const {
    double Result = std::numeric_limits<double>::lowest();
    for (const Instant End : m_Retries) {
      const double Allowed = m_Limits.m_Ratio * countBefore(m_Requests, End) +
                             m_Limits.m_FixedAllowance;
      Result = std::max(Result, countBefore(m_Retries, End) - Allowed);
    }
    return Result;
  }

private:
  static constexpr int MaxRetries = 3; ///< Of one request.

  SharedRetryBudget makeBudget(Instant StartedAt, std::size_t Hosts) const {
    SharedRetryBudget Result(m_Limits, StartedAt);
    Result.setHosts(Hosts);
    return Result;
  }
  double countBefore(const std::vector<Instant> &Sorted, Instant End) const {
    const auto First =
        std::ranges::upper_bound(Sorted, End - m_Limits.m_Window);
    const auto Last = std::ranges::upper_bound(Sorted, End);
    return static_cast<double>(Last - First);
  }

  RetryLimits m_Limits;
  std::size_t m_Assumed;
  std::vector<SharedRetryBudget> m_Budgets;
  std::size_t m_Next = 0;
  std::vector<Instant> m_Requests;
  std::vector<Instant> m_Retries;
};

// Guards against restarts that renew the fixed allowance: 81 hosts that restart
// twice within 10 s, each of which assumes a fleet of 32 until it knows better,
// made 96 more retries than the limit allows.
TEST(SharedRetryBudgetTest, RestartsOfAllHostsDoNotRenewTheAllowance) {
  constexpr std::size_t Hosts = 81;
  constexpr std::size_t RequestsPerSecond = 1330;
  constexpr milliseconds RestartGap{37}; // All hosts within 3 s.
  constexpr milliseconds FirstRound{20000};
  constexpr milliseconds SecondRound{25000};
  BusyFleet Fleet({0.2, 202, std::chrono::seconds(10)}, Hosts,
                  FleetSize::AssumedHostCount);
  for (milliseconds Time{0}; Time < milliseconds(50000); ++Time) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      if (Time == FirstRound + static_cast<int>(Host) * RestartGap ||
          Time == SecondRound + static_cast<int>(Host) * RestartGap)
        Fleet.restart(Host, Start + Time);
    const auto Sent = static_cast<std::size_t>(Time.count());
    const std::size_t Due =
        (Sent + 1) * RequestsPerSecond / 1000 - Sent * RequestsPerSecond / 1000;
    for (std::size_t Number = 0; Number < Due; ++Number)
      Fleet.request(Start + Time);
  }
  EXPECT_LE(Fleet.largestExcess(), 0);
}

} // namespace
} // namespace sff::serving
