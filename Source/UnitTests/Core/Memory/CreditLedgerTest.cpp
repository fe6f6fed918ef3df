#include "Core/Memory/CreditLedger.h"

#include <gtest/gtest.h>

#include <limits>

namespace sff::memory {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};
const LoanId Loan("l");
const IncarnationId Router("r");
const EntryName Entry("m");

// Guards against lending more credits than fit into the free memory, including
// counts and sizes whose product overflows.
TEST(CreditLedgerTest, LendsNoMoreThanIsFree) {
  constexpr auto Max = std::numeric_limits<std::int64_t>::max();
  CreditLedger Ledger(100, 1s);
  EXPECT_TRUE(Ledger.reserveWeights(Entry, 40));
  EXPECT_FALSE(Ledger.reserveWeights(EntryName("n"), 61));
  EXPECT_FALSE(Ledger.reserveWeights(EntryName("n"), Max));
  EXPECT_EQ(Ledger.lend(Loan, Router, Entry, 25, Max, Start), 2);
  EXPECT_EQ(Ledger.lend(Loan, Router, Entry, 25, Max, Start), 2);
  EXPECT_EQ(Ledger.lend(LoanId("k"), Router, Entry, Max, Max, Start), 0);
  EXPECT_EQ(Ledger.usedBytes(), 90);
  EXPECT_TRUE(Ledger.returnCredits(Loan, 1, Start));
  EXPECT_TRUE(Ledger.returnCredits(Loan, 1, Start));
  EXPECT_TRUE(Ledger.returnCredits(Loan, 0, Start));
  EXPECT_EQ(Ledger.usedBytes(), 65);
  EXPECT_EQ(Ledger.lentCredits(Entry), 1);
  Ledger.setHeadroom(Max);
  EXPECT_EQ(Ledger.freeBytes(), 0);
}

// Guards against lending memory that requests of an expired loan still use.
TEST(CreditLedgerTest, ExpiredLoanStaysCountedUntilALaterReport) {
  CreditLedger Ledger(100, 1s);
  ASSERT_EQ(Ledger.lend(Loan, Router, Entry, 10, 8, Start), 8);
  Ledger.onReport({}, Start);
  Ledger.expire(Start + 999ms);
  EXPECT_TRUE(Ledger.returnCredits(Loan, 1, Start + 500ms));
  Ledger.expire(Start + 1499ms);
  EXPECT_EQ(Ledger.lentCredits(Entry), 7);
  Ledger.expire(Start + 1500ms);
  EXPECT_EQ(Ledger.usedBytes(), 70);
  EXPECT_FALSE(Ledger.returnCredits(Loan, 1, Start + 2s));
  const std::vector<RunningRequest> Three(3, {Router, 10});
  Ledger.onReport(Three, Start + 1499ms);
  EXPECT_EQ(Ledger.usedBytes(), 70);
  Ledger.onReport(Three, Start + 1500ms);
  EXPECT_EQ(Ledger.usedBytes(), 30);
  Ledger.onReport({}, Start + 2s);
  EXPECT_EQ(Ledger.usedBytes(), 10);
  Ledger.onReport(Three, Start + 3s);
  EXPECT_EQ(Ledger.usedBytes(), 10);
  Ledger.onReport({}, Start + 4s);
  Ledger.onRouterMessage(Router);
  EXPECT_EQ(Ledger.usedBytes(), 0);
}

// Guards against processing a report after one that was requested later: it
// misses requests that started in between.
TEST(CreditLedgerTest, OutOfOrderReportIsIgnored) {
  CreditLedger Ledger(100, 1s);
  ASSERT_EQ(Ledger.lend(Loan, Router, Entry, 10, 8, Start), 8);
  Ledger.expire(Start + 1s);
  const std::vector<RunningRequest> Five(5, {Router, 10});
  Ledger.onReport(Five, Start + 1s);
  Ledger.onReport({}, Start + 500ms);
  Ledger.onRouterMessage(Router);
  EXPECT_EQ(Ledger.usedBytes(), 50);
}

// Guards against lending memory or loading weights after a takeover while
// routers may still start requests under loans of the previous owner.
TEST(CreditLedgerTest, TakeoverSettlesAfterTheTimeToLiveAndAReport) {
  CreditLedger Ledger(100, 1s);
  Ledger.onTakeover(Start);
  Ledger.adoptWeights(Entry, 30);
  EXPECT_FALSE(Ledger.reserveWeights(EntryName("n"), 10));
  const std::vector<RunningRequest> Running(2, {Router, 20});
  Ledger.onReport(Running, Start + 999ms);
  EXPECT_FALSE(Ledger.canLend(Start + 2s));
  Ledger.onReport(Running, Start + 1s);
  EXPECT_TRUE(Ledger.canLend(Start + 2s));
  EXPECT_EQ(Ledger.lend(Loan, Router, Entry, 20, 9, Start + 2s), 1);
  EXPECT_EQ(Ledger.usedBytes(), 90);
  Ledger.onReport(std::span(Running).first(1), Start + 3s);
  EXPECT_EQ(Ledger.usedBytes(), 70);
}

} // namespace
} // namespace sff::memory
