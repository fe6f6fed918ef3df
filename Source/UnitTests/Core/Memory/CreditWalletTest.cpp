#include "Core/Memory/CreditWallet.h"

#include <gtest/gtest.h>

namespace sff::memory {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};
const LoanId Loan("l");
const EntryName Entry("m");
const EndpointId Endpoint("e");
const IncarnationId Self("r");

messages::BorrowCreditsReply grantOf(std::int64_t Count) {
  messages::BorrowCreditsReply Grant;
  Grant.m_Outcome = messages::BorrowOutcome::Granted;
  Grant.m_Loan = Loan;
  Grant.m_Endpoint = Endpoint;
  Grant.m_Count = Count;
  Grant.m_TimeToLive = 900ms;
  return Grant;
}

// Guards against requests that start when the lender may have lapsed the loan.
TEST(CreditWalletTest, CreditsLiveFromTheSendingOfTheMessage) {
  CreditWallet Wallet;
  Wallet.onGranted(Entry, grantOf(2), Start);
  EXPECT_EQ(Wallet.available(Entry, Endpoint, Start + 899ms), 2);
  EXPECT_TRUE(Wallet.take(Entry, Endpoint, Start + 899ms));
  EXPECT_FALSE(Wallet.take(Entry, Endpoint, Start + 900ms));
  Wallet.onRenewed(Loan, Start + 300ms);
  Wallet.onRenewed(Loan, Start + 200ms);
  EXPECT_TRUE(Wallet.take(Entry, Endpoint, Start + 1199ms));
  EXPECT_FALSE(Wallet.take(Entry, Endpoint, Start + 1199ms));
  Wallet.onGranted(Entry, grantOf(2), Start + 400ms);
  EXPECT_EQ(Wallet.available(Entry, Endpoint, Start + 1s), 0);
}

// Guards against a repeated grant that revives credits which were returned.
TEST(CreditWalletTest, RepeatedGrantDoesNotReviveAReturnedLoan) {
  CreditWallet Wallet;
  Wallet.onGranted(Entry, grantOf(1), Start);
  ASSERT_EQ(Wallet.collectDue(Self, 0ms, Start).size(), 1u);
  Wallet.onRenewed(Loan, Start);
  EXPECT_TRUE(Wallet.collectDue(Self, 0ms, Start + 400ms).empty());
  Wallet.onGranted(Entry, grantOf(1), Start);
  EXPECT_FALSE(Wallet.take(Entry, Endpoint, Start));
}

// Guards against credits that are used after they were returned, and against
// loans in use that nobody renews.
TEST(CreditWalletTest, RenewsLoansInUseAndReturnsIdleCredits) {
  CreditWallet Wallet;
  Wallet.onGranted(Entry, grantOf(3), Start);
  const auto Used = Wallet.take(Entry, Endpoint, Start);
  ASSERT_TRUE(Used);
  EXPECT_TRUE(Wallet.collectDue(Self, 500ms, Start + 299ms).empty());
  auto Due = Wallet.collectDue(Self, 500ms, Start + 300ms);
  ASSERT_EQ(Due.size(), 1u);
  EXPECT_EQ(Due[0].m_Message.m_ReturnedTotal, 0);
  Wallet.onRenewed(Loan, Start + 300ms);
  Due = Wallet.collectDue(Self, 500ms, Start + 500ms);
  ASSERT_EQ(Due.size(), 1u);
  EXPECT_EQ(Due[0].m_Message.m_ReturnedTotal, 2);
  EXPECT_EQ(Wallet.available(Entry, Endpoint, Start + 500ms), 0);
  Wallet.giveBack(*Used, Start + 600ms);
  Due = Wallet.collectDue(Self, 100ms, Start + 700ms);
  ASSERT_EQ(Due.size(), 1u);
  EXPECT_EQ(Due[0].m_Message.m_ReturnedTotal, 3);
  Wallet.onRenewed(Loan, Start + 700ms);
  EXPECT_TRUE(Wallet.collectDue(Self, 100ms, Start + 10s).empty());
}

} // namespace
} // namespace sff::memory
