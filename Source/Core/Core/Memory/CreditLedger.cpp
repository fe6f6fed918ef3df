#include "Core/Memory/CreditLedger.h"

#include <algorithm>
#include <limits>

namespace sff::memory {

namespace {

/// Adds two non-negative numbers; saturates instead of overflowing.
std::int64_t addSaturating(std::int64_t Left, std::int64_t Right) {
  constexpr auto Max = std::numeric_limits<std::int64_t>::max();
  return Left > Max - Right ? Max : Left + Right;
}

/// Smallest number of units of \p BytesEach that cover \p Bytes.
std::int64_t divideRoundingUp(std::int64_t Bytes, std::int64_t BytesEach) {
  return Bytes / BytesEach + (Bytes % BytesEach == 0 ? 0 : 1);
}

} // namespace

bool CreditLedger::reserveWeights(const EntryName &Entry, std::int64_t Bytes) {
  if (const auto It = m_Weights.find(Entry); It != m_Weights.end())
    return It->second == Bytes;
  if (m_InheritedLoansExpireAt || Bytes < 0 || Bytes > freeBytes())
    return false;
  m_Weights.emplace(Entry, Bytes);
  return true;
}

void CreditLedger::adoptWeights(const EntryName &Entry, std::int64_t Bytes) {
  m_Weights[Entry] = std::max<std::int64_t>(Bytes, 0);
}

void CreditLedger::releaseWeights(const EntryName &Entry) {
  m_Weights.erase(Entry);
}

std::int64_t CreditLedger::lend(const LoanId &Loan, const IncarnationId &Router,
                                const EntryName &Entry, std::int64_t BytesEach,
                                std::int64_t Count, Instant Now) {
  if (const auto It = m_Loans.find(Loan); It != m_Loans.end()) {
    CreditLedger::Loan &Existing = It->second;
    if (Existing.m_Expired || Existing.m_Router != Router ||
        Existing.m_Entry != Entry)
      return 0;
    Existing.m_ExpiresAt =
        std::max(Existing.m_ExpiresAt, Now + m_LoanTimeToLive);
    return Existing.m_Count;
  }
  if (!canLend(Now) || BytesEach <= 0 || Count <= 0)
    return 0;
  const std::int64_t Lent = std::min(Count, freeBytes() / BytesEach);
  if (Lent > 0)
    m_Loans[Loan] = {.m_Router = Router,
                     .m_Entry = Entry,
                     .m_BytesEach = BytesEach,
                     .m_Count = Lent,
                     .m_ExpiresAt = Now + m_LoanTimeToLive};
  return Lent;
}

bool CreditLedger::returnCredits(const LoanId &Loan, std::int64_t ReturnedTotal,
                                 Instant Now) {
  const auto It = m_Loans.find(Loan);
  if (It == m_Loans.end())
    return false;
  CreditLedger::Loan &Existing = It->second;
  Existing.m_Returned =
      std::clamp(ReturnedTotal, Existing.m_Returned, Existing.m_Count);
  const bool IsLive = !Existing.m_Expired;
  if (IsLive)
    Existing.m_ExpiresAt =
        std::max(Existing.m_ExpiresAt, Now + m_LoanTimeToLive);
  else
    Existing.m_ExpiredBytes =
        std::min(Existing.m_ExpiredBytes, Existing.outstandingBytes());
  eraseEmptyLoans();
  return IsLive;
}

void CreditLedger::expire(Instant Now) {
  for (auto &[Id, Item] : m_Loans) {
    if (Item.m_Expired || Item.m_ExpiresAt > Now)
      continue;
    Item.m_ExpiredBytes = Item.outstandingBytes();
    Item.m_Expired = true;
  }
}

void CreditLedger::reduceExpiredLoan(Loan &Item) const {
  if (!Item.m_Expired || !Item.m_HasReportAfterExpiry)
    return;
  const auto It = m_ReportedBytes.find(Item.m_Router);
  const std::int64_t RunningBytes =
      It == m_ReportedBytes.end() ? 0 : It->second;
  const std::int64_t MinimumBytes =
      Item.m_RouterStateKnown ? 0 : Item.m_BytesEach;
  // No request starts under an expired loan, so the memory that its requests
  // use only shrinks, even when the router starts others under a newer loan.
  Item.m_ExpiredBytes =
      std::min(Item.m_ExpiredBytes, std::max(MinimumBytes, RunningBytes));
}

void CreditLedger::eraseEmptyLoans() {
  std::erase_if(m_Loans, [](const auto &Pair) {
    return Pair.second.countedBytes() == 0;
  });
}

void CreditLedger::markRouterStateKnown(const IncarnationId &Router) {
  for (auto &[Id, Item] : m_Loans) {
    if (!Item.m_Expired || Item.m_Router != Router)
      continue;
    Item.m_RouterStateKnown = true;
    reduceExpiredLoan(Item);
  }
  eraseEmptyLoans();
}

void CreditLedger::onRouterMessage(const IncarnationId &Router) {
  markRouterStateKnown(Router);
}

void CreditLedger::onRouterGone(const IncarnationId &Router) {
  markRouterStateKnown(Router);
}

void CreditLedger::onTakeover(Instant Now) {
  m_Loans.clear();
  m_ReportedBytes.clear();
  m_LastReportAskedAt.reset();
  m_InheritedBytes.clear();
  m_InheritedLoansExpireAt = Now + m_LoanTimeToLive;
}

void CreditLedger::onReport(std::span<const RunningRequest> Running,
                            Instant AskedAt) {
  if (m_LastReportAskedAt && AskedAt < *m_LastReportAskedAt)
    return;
  m_LastReportAskedAt = AskedAt;
  m_ReportedBytes.clear();
  for (const RunningRequest &Request : Running) {
    std::int64_t &Sum = m_ReportedBytes[Request.m_Router];
    Sum = addSaturating(Sum, std::max<std::int64_t>(Request.m_Bytes, 0));
  }
  if (m_InheritedLoansExpireAt) {
    m_InheritedBytes = m_ReportedBytes;
    if (AskedAt >= *m_InheritedLoansExpireAt)
      m_InheritedLoansExpireAt.reset();
  }
  for (auto &[Router, Bytes] : m_InheritedBytes) {
    const auto It = m_ReportedBytes.find(Router);
    Bytes = std::min(Bytes, It == m_ReportedBytes.end() ? 0 : It->second);
  }
  std::erase_if(m_InheritedBytes,
                [](const auto &Pair) { return Pair.second == 0; });
  for (auto &[Id, Item] : m_Loans) {
    Item.m_HasReportAfterExpiry |=
        Item.m_Expired && Item.m_ExpiresAt <= AskedAt;
    reduceExpiredLoan(Item);
  }
  eraseEmptyLoans();
}

void CreditLedger::setHeadroom(std::int64_t Bytes) {
  m_HeadroomBytes = std::max<std::int64_t>(Bytes, 0);
}

std::int64_t CreditLedger::usedBytes() const {
  std::int64_t Used = m_HeadroomBytes;
  for (const auto &[Entry, Bytes] : m_Weights)
    Used = addSaturating(Used, Bytes);
  for (const auto &[Id, Item] : m_Loans)
    Used = addSaturating(Used, Item.countedBytes());
  for (const auto &[Router, Bytes] : m_InheritedBytes)
    Used = addSaturating(Used, Bytes);
  return std::min(Used, m_CapacityBytes);
}

std::int64_t CreditLedger::lentCredits(const EntryName &Entry) const {
  std::int64_t Result = 0;
  for (const auto &[Id, Item] : m_Loans)
    if (Item.m_Entry == Entry)
      Result += divideRoundingUp(Item.countedBytes(), Item.m_BytesEach);
  return Result;
}

bool CreditLedger::canLend(Instant) const { return !m_InheritedLoansExpireAt; }

} // namespace sff::memory
