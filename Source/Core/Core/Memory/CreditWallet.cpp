#include "Core/Memory/CreditWallet.h"

#include <algorithm>

namespace sff::memory {

void CreditWallet::onGranted(const EntryName &Entry,
                             const messages::BorrowCreditsReply &Grant,
                             Instant SentAt) {
  if (Grant.m_Outcome != messages::BorrowOutcome::Granted || Grant.m_Count <= 0)
    return;
  const auto [It, IsNew] = m_Loans.try_emplace(Grant.m_Loan);
  Loan &Item = It->second;
  if (!IsNew) {
    Item.m_LiveFrom = std::max(Item.m_LiveFrom, SentAt);
    return;
  }
  Item.m_Entry = Entry;
  Item.m_Endpoint = Grant.m_Endpoint;
  Item.m_Address = Grant.m_Address;
  Item.m_Count = Grant.m_Count;
  Item.m_TimeToLive = Grant.m_TimeToLive;
  Item.m_LiveFrom = Item.m_LastUse = Item.m_LastMessage = SentAt;
}

void CreditWallet::onRenewed(const LoanId &Loan, Instant SentAt) {
  const auto It = m_Loans.find(Loan);
  if (It == m_Loans.end())
    return;
  It->second.m_LiveFrom = std::max(It->second.m_LiveFrom, SentAt);
  It->second.m_IsSettled |=
      It->second.hasEnded() && SentAt >= It->second.m_LastMessage;
}

std::optional<Credit> CreditWallet::take(const EntryName &Entry,
                                         const EndpointId &Endpoint,
                                         Instant Now) {
  for (auto &[Id, Item] : m_Loans) {
    if (Item.m_Entry != Entry || Item.m_Endpoint != Endpoint ||
        !Item.isLive(Now) || Item.freeCount() <= 0)
      continue;
    ++Item.m_InUse;
    Item.m_LastUse = Now;
    return Credit{Id, Endpoint, Item.m_Address};
  }
  return std::nullopt;
}

void CreditWallet::giveBack(const Credit &Used, Instant Now) {
  const auto It = m_Loans.find(Used.m_Loan);
  if (It == m_Loans.end() || It->second.m_InUse == 0)
    return;
  --It->second.m_InUse;
  It->second.m_LastUse = Now;
}

std::int64_t CreditWallet::available(const EntryName &Entry,
                                     const EndpointId &Endpoint,
                                     Instant Now) const {
  std::int64_t Result = 0;
  for (const auto &[Id, Item] : m_Loans)
    if (Item.m_Entry == Entry && Item.m_Endpoint == Endpoint &&
        Item.isLive(Now))
      Result += Item.freeCount();
  return Result;
}

std::vector<CreditWallet::DueReturn>
CreditWallet::collectDue(const IncarnationId &Self, milliseconds IdleLimit,
                         Instant Now) {
  // An ended loan is remembered while a repeated grant could revive it. Its
  // last return needs no confirmation once it is dead: the lender has lapsed
  // the loan or will, and settles it by the endpoint's own report.
  std::erase_if(m_Loans, [&](const auto &Pair) {
    const Loan &Item = Pair.second;
    return Item.hasEnded() && !Item.isLive(Now) &&
           Now - Item.m_LastMessage >= Item.m_TimeToLive;
  });
  std::vector<DueReturn> Result;
  for (auto &[Id, Item] : m_Loans) {
    if (Item.m_IsSettled || (Item.hasEnded() && !Item.isLive(Now)))
      continue;
    const bool ReturnsFree =
        Item.freeCount() > 0 &&
        (Now - Item.m_LastUse >= IdleLimit || !Item.isLive(Now));
    if (!ReturnsFree && Now - Item.m_LastMessage < Item.m_TimeToLive / 3)
      continue;
    if (ReturnsFree)
      Item.m_Returned += Item.freeCount();
    Item.m_LastMessage = Now;
    Result.push_back({Item.m_Endpoint, {Id, Self, Item.m_Returned}});
  }
  return Result;
}

} // namespace sff::memory
