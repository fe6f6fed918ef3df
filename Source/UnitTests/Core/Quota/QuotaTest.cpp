#include "Core/Quota/QuotaLedger.h"
#include "Core/Quota/TenantAllowance.h"

#include <gtest/gtest.h>

namespace sff::quota {
namespace {

constexpr milliseconds Window{8000};
const Instant Start{std::chrono::seconds(1000)};

Instant at(double Seconds) { return Start + fromSeconds(Seconds); }

GrantRequest makeRequest(std::int64_t Number, double Needed, double Wanted = 0,
                         double Held = 0, std::vector<double> Spent = {}) {
  GrantRequest Result;
  Result.m_Tenant = "t";
  Result.m_Number = Number;
  Result.m_Needed = Needed;
  Result.m_Wanted = std::max(Needed, Wanted);
  Result.m_Held = Held;
  Result.m_Spent = std::move(Spent);
  return Result;
}

constexpr QuotaBudget Budget{300, 105};

/// A ledger whose hosts have had time to report.
QuotaLedger settledLedger() {
  QuotaLedger Result(Window);
  Result.begin(Start - Window);
  return Result;
}

// Guards against amounts that leave the window before it has passed.
TEST(SpendWindowTest, AmountsCountForAWholeWindow) {
  for (double Offset = 0; Offset < 1; Offset += 0.07) {
    SpendWindow Spent(Window);
    Spent.add(10, at(Offset));
    EXPECT_EQ(Spent.total(at(Offset + 8)), 10);
    EXPECT_EQ(Spent.total(at(Offset + 9.1)), 0);
  }
}

// Guards against amounts that leave the window too early because another host
// counts in other buckets.
TEST(SpendWindowTest, AmountsThatAreToldCountForAWholeWindow) {
  for (double Offset = 0; Offset < 1; Offset += 0.07)
    for (double Delay = 0; Delay < 1; Delay += 0.13) {
      SpendWindow Spent(Window);
      Spent.add(10, at(0));
      SpendWindow Copy(Window);
      // The clocks of the hosts begin at other times.
      const double Shift = 0.31 + Offset;
      Copy.assign(Spent.byAge(at(Offset)), at(Offset + Delay + Shift));
      EXPECT_EQ(Copy.total(at(8 + Shift)), 10) << Offset << " " << Delay;
    }
}

// Guards against a refund that gives back more than was taken, or that lowers
// the use of another time.
TEST(SpendWindowTest, RefundIsTakenFromItsOwnTime) {
  SpendWindow Spent(Window);
  Spent.add(10, at(0));
  Spent.add(5, at(4));
  Spent.remove(10, at(0), at(4));
  EXPECT_EQ(Spent.total(at(4)), 5);
  Spent.remove(50, at(4), at(4));
  EXPECT_EQ(Spent.total(at(4)), 0);
  Spent.add(5, at(20));
  Spent.remove(5, at(4), at(20));
  EXPECT_EQ(Spent.total(at(20)), 5);
}

// Guards against grants that exceed the budget of a window together.
TEST(QuotaLedgerTest, HostsShareTheBudget) {
  QuotaLedger Ledger = settledLedger();
  Ledger.onRequest(HostId("other"), makeRequest(1, 0, 0, 0, {0, 0, 230}),
                   Budget, Start);
  const Grant First =
      Ledger.onRequest(HostId("a"), makeRequest(1, 50), Budget, Start);
  EXPECT_EQ(First.m_Amount, 50);
  EXPECT_EQ(First.m_RetryAfterMs, 0);
  const Grant Second =
      Ledger.onRequest(HostId("b"), makeRequest(1, 40), Budget, Start);
  EXPECT_EQ(Second.m_Amount, 0);
  EXPECT_GT(Second.m_RetryAfterMs, 0);
  EXPECT_EQ(Ledger.used("t", Start), 280);
}

// Guards against a tenant above its quota that uses it up at once and then gets
// nothing for the rest of the window.
TEST(QuotaLedgerTest, GrantsAreSpreadOverTheWindow) {
  QuotaLedger Ledger = settledLedger();
  double Granted = 0;
  for (int Number = 1; Number <= 20; ++Number)
    Granted = Ledger
                  .onRequest(HostId("a"),
                             makeRequest(Number, Granted + 20, 0, Granted),
                             Budget, Start)
                  .m_Amount;
  EXPECT_LE(Granted, 105);
  EXPECT_GT(Granted, 80);
  const Grant Later = Ledger.onRequest(
      HostId("a"), makeRequest(30, 20, 0, 0, {Granted}), Budget, at(1));
  EXPECT_EQ(Later.m_Amount, 20);
}

// Guards against a host that holds the whole budget for requests that have not
// come, while another one has none.
TEST(QuotaLedgerTest, HostHoldsLittleAhead) {
  QuotaLedger Ledger = settledLedger();
  EXPECT_LE(
      Ledger.onRequest(HostId("a"), makeRequest(1, 0, 1000), Budget, Start)
          .m_Amount,
      11);
  EXPECT_EQ(
      Ledger.onRequest(HostId("b"), makeRequest(1, 60), Budget, Start).m_Amount,
      60);
}

// Guards against a quota that is lost when hosts give back what they held.
TEST(QuotaLedgerTest, ReturnedAmountsCanBeGrantedAgain) {
  QuotaLedger Ledger = settledLedger();
  Ledger.onRequest(HostId("a"), makeRequest(1, 100), Budget, Start);
  GrantRequest Return = makeRequest(2, 0);
  Return.m_Returned = 100;
  Ledger.onRequest(HostId("a"), Return, Budget, Start);
  EXPECT_EQ(
      Ledger.onRequest(HostId("b"), makeRequest(1, 90), Budget, Start).m_Amount,
      90);
}

// Guards against a grant that is made twice for one request, and against an
// overtaken request that frees what was used since.
TEST(QuotaLedgerTest, RepeatedAndLateRequestsChangeNothing) {
  QuotaLedger Ledger = settledLedger();
  const HostId Host("a");
  Ledger.onRequest(Host, makeRequest(5, 60), Budget, Start);
  EXPECT_EQ(Ledger.onRequest(Host, makeRequest(5, 60), Budget, Start).m_Amount,
            60);
  Ledger.onRequest(Host, makeRequest(6, 0, 0, 0, {60}), Budget, Start);
  Ledger.onRequest(Host, makeRequest(4, 0), Budget, Start);
  EXPECT_EQ(Ledger.used("t", Start), 60);
}

// Guards against a host that has died with tokens left and whose last use frees
// the quota too early, and against one that blocks it for good.
TEST(QuotaLedgerTest, GrantOfADeadHostCountsUntilItMustHaveExpired) {
  QuotaLedger Ledger = settledLedger();
  Ledger.onRequest(HostId("dead"), makeRequest(1, 100), Budget, Start);
  const auto IsFree = [&](double Seconds) {
    return Ledger.used("t", at(Seconds)) == 0;
  };
  EXPECT_FALSE(IsFree(7.9));
  // It may have used the grant just before it expired.
  EXPECT_FALSE(IsFree(15.9));
  EXPECT_TRUE(IsFree(17.1));
}

// Guards against a new lessor that grants again what its predecessor granted.
TEST(QuotaLedgerTest, NewLessorFirstLearnsWhatIsUsed) {
  QuotaLedger Ledger(Window);
  Ledger.begin(Start);
  EXPECT_EQ(Ledger.onRequest(HostId("a"), makeRequest(1, 10), Budget, at(0.5))
                .m_Amount,
            0);
  Ledger.onRequest(HostId("b"), makeRequest(1, 0, 50, 50, {0, 200}), Budget,
                   at(0.5));
  EXPECT_EQ(Ledger.onRequest(HostId("a"), makeRequest(2, 60), Budget, at(2.5))
                .m_Amount,
            0);
  EXPECT_EQ(Ledger.onRequest(HostId("a"), makeRequest(3, 40), Budget, at(2.6))
                .m_Amount,
            40);
}

// Guards against requests that are refused though the grant holds, and against
// a grant that is used after its end.
TEST(TenantAllowanceTest, GrantLastsForAWindow) {
  TenantAllowance Allowance("t", Window);
  EXPECT_FALSE(Allowance.tryTake(10, Start));
  const GrantRequest Request = Allowance.makeRequest(10, Start);
  EXPECT_EQ(Request.m_Needed, 10);
  Allowance.onGrant({"t", Request.m_Number, 25, 0}, at(0.1));
  EXPECT_TRUE(Allowance.tryTake(10, at(1)));
  EXPECT_TRUE(Allowance.tryTake(10, at(7.9)));
  EXPECT_FALSE(Allowance.tryTake(5, at(8.1)));
}

// Guards against an answer that is applied twice, or to another request.
TEST(TenantAllowanceTest, OnlyTheAnswerToTheLatestRequestCounts) {
  TenantAllowance Allowance("t", Window);
  const GrantRequest First = Allowance.makeRequest(10, Start);
  const GrantRequest Second = Allowance.makeRequest(10, Start);
  Allowance.onGrant({"t", First.m_Number, 10, 0}, Start);
  EXPECT_EQ(Allowance.held(Start), 0);
  Allowance.onGrant({"t", Second.m_Number, 10, 0}, Start);
  EXPECT_TRUE(Allowance.tryTake(10, Start));
  Allowance.onGrant({"t", Second.m_Number, 10, 0}, Start);
  EXPECT_EQ(Allowance.held(Start), 0);
}

// Guards against what is used while a request is under way and that the answer
// grants again.
TEST(TenantAllowanceTest, UseSinceTheRequestComesOutOfTheAnswer) {
  TenantAllowance Allowance("t", Window);
  Allowance.onGrant({"t", Allowance.makeRequest(30, Start).m_Number, 30, 0},
                    Start);
  const GrantRequest Request = Allowance.makeRequest(30, at(1));
  EXPECT_TRUE(Allowance.tryTake(20, at(1)));
  Allowance.onGrant({"t", Request.m_Number, 35, 0}, at(1.1));
  EXPECT_EQ(Allowance.held(at(1.1)), 15);
}

// Guards against a host that keeps what other hosts need.
TEST(TenantAllowanceTest, HostGivesBackWhatItDoesNotExpectToUse) {
  TenantAllowance Allowance("t", Window);
  Allowance.onGrant({"t", Allowance.makeRequest(30, Start).m_Number, 500, 0},
                    Start);
  Allowance.recordDemand(10, Start);
  EXPECT_TRUE(Allowance.tryTake(10, Start));
  EXPECT_LT(Allowance.makeRequest(0, at(1)).m_Held, 20);
}

// Guards against a host without a lessor that serves nothing, and against hosts
// whose reserves exceed the tolerance together.
TEST(TenantAllowanceTest, ReserveIsAPartOfTheTolerance) {
  constexpr std::size_t Hosts = 10;
  const QuotaLimits Limits{1000, 0, 800};
  TenantAllowance Allowance("t", Window);
  Allowance.setReserve(Limits.hostReserve(Hosts), Start - Window);
  double Used = 0;
  for (int Step = 0; Step < 80; ++Step)
    Used += Allowance.tryTake(1, at(Step * 0.1)) ? 1 : 0;
  EXPECT_GT(Used, 0);
  EXPECT_LE(Used, Limits.hostReserve(Hosts));
}

// Guards against a quota that is counted in the wrong unit.
TEST(QuotaLimitsTest, RequestsCostWhatTheQuotaCounts) {
  tenants::TenantQuota Quota{tenants::QuotaUnit::Tokens, 100, 50, 7};
  EXPECT_EQ(costOf(Quota, 1460, 80), 1540);
  EXPECT_EQ(costOf(Quota, std::nullopt, std::nullopt), 7);
  Quota.m_Unit = tenants::QuotaUnit::Requests;
  EXPECT_EQ(costOf(Quota, 1460, 80), 1);
  const auto Limits = limitsOf(Quota, {Window, 0.1, 30});
  ASSERT_TRUE(Limits);
  EXPECT_DOUBLE_EQ(Limits->m_Quota, 850);
  EXPECT_DOUBLE_EQ(Limits->m_Tolerance, 115);
  double Parts = Limits->budget(QuotaScope::Shared, 3).m_Window;
  for (int Zone = 0; Zone < 3; ++Zone)
    Parts += Limits->budget(QuotaScope::Zone, 3).m_Window;
  EXPECT_NEAR(Parts, Limits->total().m_Window, 1e-6);
  Quota.m_RatePerSecond = 0;
  EXPECT_FALSE(limitsOf(Quota, {Window, 0.1, 30}));
}

} // namespace
} // namespace sff::quota
