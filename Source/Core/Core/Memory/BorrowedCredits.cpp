#include "Core/Memory/BorrowedCredits.h"

#include <algorithm>

namespace sff::memory {

void BorrowedCredits::onGranted(const EntryName &Entry,
                                const messages::BorrowCreditsReply &Grant,
                                Instant SentAt) {
  if (Grant.m_Outcome != messages::BorrowOutcome::Granted || Grant.m_Count <= 0)
    return;
  const auto [It, IsNew] = m_Loans.try_emplace(Grant.m_Loan);
  Loan &Item = It->second;
  if (!IsNew) {
    Item.m_RenewedAt = std::max(Item.m_RenewedAt, SentAt);
    return;
  }
  Item.m_Entry = Entry;
  Item.m_Endpoint = Grant.m_Endpoint;
  Item.m_Address = Grant.m_Address;
  Item.m_Count = Grant.m_Count;
  Item.m_TimeToLive = Grant.m_TimeToLive;
  Item.m_RenewedAt = Item.m_LastUseAt = Item.m_LastMessageAt = SentAt;
}

void BorrowedCredits::onRenewed(const LoanId &Loan, Instant SentAt) {
  const auto It = m_Loans.find(Loan);
  if (It == m_Loans.end())
    return;
  It->second.m_RenewedAt = std::max(It->second.m_RenewedAt, SentAt);
  It->second.m_ReturnConfirmed |=
      It->second.isFullyReturned() && SentAt >= It->second.m_LastMessageAt;
}

std::optional<Credit> BorrowedCredits::take(const EntryName &Entry,
                                            const EndpointId &Endpoint,
                                            Instant Now) {
  for (auto &[Id, Item] : m_Loans) {
    if (Item.m_Entry != Entry || Item.m_Endpoint != Endpoint ||
        !Item.isLive(Now) || Item.freeCount() <= 0)
      continue;
    ++Item.m_InUse;
    Item.m_LastUseAt = Now;
    return Credit{Id, Endpoint, Item.m_Address};
  }
  return std::nullopt;
}

void BorrowedCredits::releaseCredit(const Credit &Used, Instant Now) {
  const auto It = m_Loans.find(Used.m_Loan);
  if (It == m_Loans.end() || It->second.m_InUse == 0)
    return;
  --It->second.m_InUse;
  It->second.m_LastUseAt = Now;
}

std::int64_t BorrowedCredits::available(const EntryName &Entry,
                                        const EndpointId &Endpoint,
                                        Instant Now) const {
  std::int64_t Result = 0;
  for (const auto &[Id, Item] : m_Loans)
    if (Item.m_Entry == Entry && Item.m_Endpoint == Endpoint &&
        Item.isLive(Now))
      Result += Item.freeCount();
  return Result;
}

std::vector<BorrowedCredits::LoanUpdate>
BorrowedCredits::collectLoanUpdates(const IncarnationId &Self,
                                    milliseconds IdleLimit, Instant Now) {
  // A fully returned loan is kept while a duplicate grant could add it again.
  // Once it has expired, its last return needs no confirmation: the lender has
  // expired the loan or will, and reconciles it with the endpoint's report.
  std::erase_if(m_Loans, [&](const auto &Pair) {
    const Loan &Item = Pair.second;
    return Item.isFullyReturned() && !Item.isLive(Now) &&
           Now - Item.m_LastMessageAt >= Item.m_TimeToLive;
  });
  std::vector<LoanUpdate> Result;
  for (auto &[Id, Item] : m_Loans) {
    if (Item.m_ReturnConfirmed || (Item.isFullyReturned() && !Item.isLive(Now)))
      continue;
    const bool ReturnsIdleCredits =
        Item.freeCount() > 0 &&
        (Now - Item.m_LastUseAt >= IdleLimit || !Item.isLive(Now));
    if (!ReturnsIdleCredits &&
        Now - Item.m_LastMessageAt < Item.m_TimeToLive / 3)
      continue;
    if (ReturnsIdleCredits)
      Item.m_Returned += Item.freeCount();
    Item.m_LastMessageAt = Now;
    Result.push_back({Item.m_Endpoint, {Id, Self, Item.m_Returned}});
  }
  return Result;
}

} // namespace sff::memory
