#include "Core/Serving/SharedRetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

} // namespace
} // namespace sff::serving
