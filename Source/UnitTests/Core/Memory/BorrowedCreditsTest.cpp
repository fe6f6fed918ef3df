#include "Core/Memory/BorrowedCredits.h"

#include <gtest/gtest.h>

namespace sff::memory {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};
const LoanId Loan("l");
const EntryName Entry("m");
const EndpointId Endpoint("e");
const IncarnationId Self("r");

messages::BorrowCreditsReply makeGrant(std::int64_t Count) {
  messages::BorrowCreditsReply Grant;
  Grant.m_Outcome = messages::BorrowOutcome::Granted;
  Grant.m_Loan = Loan;
  Grant.m_Endpoint = Endpoint;
  Grant.m_Count = Count;
  Grant.m_TimeToLive = 900ms;
  return Grant;
}

// Guards against starting requests after the lender may have expired the loan.
TEST(CreditWalletTest, TimeToLiveRunsFromTheSendingOfTheMessage) {
  BorrowedCredits Credits;
  Credits.onGranted(Entry, makeGrant(2), Start);
  EXPECT_EQ(Credits.available(Entry, Endpoint, Start + 899ms), 2);
  EXPECT_TRUE(Credits.take(Entry, Endpoint, Start + 899ms));
  EXPECT_FALSE(Credits.take(Entry, Endpoint, Start + 900ms));
  Credits.onRenewed(Loan, Start + 300ms);
  Credits.onRenewed(Loan, Start + 200ms);
  EXPECT_TRUE(Credits.take(Entry, Endpoint, Start + 1199ms));
  EXPECT_FALSE(Credits.take(Entry, Endpoint, Start + 1199ms));
  Credits.onGranted(Entry, makeGrant(2), Start + 400ms);
  EXPECT_EQ(Credits.available(Entry, Endpoint, Start + 1s), 0);
}

// Guards against a duplicate grant that makes returned credits available again.
TEST(CreditWalletTest, RepeatedGrantDoesNotReviveAReturnedLoan) {
  BorrowedCredits Credits;
  Credits.onGranted(Entry, makeGrant(1), Start);
  ASSERT_EQ(Credits.collectLoanUpdates(Self, 0ms, Start).size(), 1u);
  Credits.onRenewed(Loan, Start);
  EXPECT_TRUE(Credits.collectLoanUpdates(Self, 0ms, Start + 400ms).empty());
  Credits.onGranted(Entry, makeGrant(1), Start);
  EXPECT_FALSE(Credits.take(Entry, Endpoint, Start));
}

// Guards against using credits after they were returned, and against letting
// loans in use expire.
TEST(CreditWalletTest, RenewsLoansInUseAndReturnsIdleCredits) {
  BorrowedCredits Credits;
  Credits.onGranted(Entry, makeGrant(3), Start);
  const auto Acquired = Credits.take(Entry, Endpoint, Start);
  ASSERT_TRUE(Acquired);
  EXPECT_TRUE(Credits.collectLoanUpdates(Self, 500ms, Start + 299ms).empty());
  auto Updates = Credits.collectLoanUpdates(Self, 500ms, Start + 300ms);
  ASSERT_EQ(Updates.size(), 1u);
  EXPECT_EQ(Updates[0].m_Message.m_ReturnedTotal, 0);
  Credits.onRenewed(Loan, Start + 300ms);
  Updates = Credits.collectLoanUpdates(Self, 500ms, Start + 500ms);
  ASSERT_EQ(Updates.size(), 1u);
  EXPECT_EQ(Updates[0].m_Message.m_ReturnedTotal, 2);
  EXPECT_EQ(Credits.available(Entry, Endpoint, Start + 500ms), 0);
  Credits.releaseCredit(*Acquired, Start + 600ms);
  Updates = Credits.collectLoanUpdates(Self, 100ms, Start + 700ms);
  ASSERT_EQ(Updates.size(), 1u);
  EXPECT_EQ(Updates[0].m_Message.m_ReturnedTotal, 3);
  Credits.onRenewed(Loan, Start + 700ms);
  EXPECT_TRUE(Credits.collectLoanUpdates(Self, 100ms, Start + 10s).empty());
}

} // namespace
} // namespace sff::memory
