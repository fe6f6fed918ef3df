#include "Core/Memory/CreditLedger.h"

#include <algorithm>
#include <limits>

namespace sff::memory {

namespace {

/// Sum of non-negative numbers that stops at the largest value.
std::int64_t addSaturating(std::int64_t Left, std::int64_t Right) {
  constexpr auto Max = std::numeric_limits<std::int64_t>::max();
  return Left > Max - Right ? Max : Left + Right;
}

/// Number of requests that \p Bytes are needed for.
std::int64_t countOf(std::int64_t Bytes, std::int64_t BytesEach) {
  return Bytes / BytesEach + (Bytes % BytesEach == 0 ? 0 : 1);
}

} // namespace

bool CreditLedger::reserveWeights(const EntryName &Entry, std::int64_t Bytes) {
  if (const auto It = m_Weights.find(Entry); It != m_Weights.end())
    return It->second == Bytes;
  if (m_LendFrom || Bytes < 0 || Bytes > freeBytes())
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
    CreditLedger::Loan &Known = It->second;
    if (Known.m_Lapsed || Known.m_Router != Router || Known.m_Entry != Entry)
      return 0;
    Known.m_ExpiresAt = std::max(Known.m_ExpiresAt, Now + m_TimeToLive);
    return Known.m_Count;
  }
  if (!mayLend(Now) || BytesEach <= 0 || Count <= 0)
    return 0;
  const std::int64_t Lent = std::min(Count, freeBytes() / BytesEach);
  if (Lent > 0)
    m_Loans[Loan] = {.m_Router = Router,
                     .m_Entry = Entry,
                     .m_BytesEach = BytesEach,
                     .m_Count = Lent,
                     .m_ExpiresAt = Now + m_TimeToLive};
  return Lent;
}

bool CreditLedger::returnCredits(const LoanId &Loan, std::int64_t ReturnedTotal,
                                 Instant Now) {
  const auto It = m_Loans.find(Loan);
  if (It == m_Loans.end())
    return false;
  CreditLedger::Loan &Known = It->second;
  Known.m_Returned = std::clamp(ReturnedTotal, Known.m_Returned, Known.m_Count);
  const bool IsLive = !Known.m_Lapsed;
  if (IsLive)
    Known.m_ExpiresAt = std::max(Known.m_ExpiresAt, Now + m_TimeToLive);
  else
    Known.m_KeptBytes = std::min(Known.m_KeptBytes, Known.outstandingBytes());
  eraseSettled();
  return IsLive;
}

void CreditLedger::expire(Instant Now) {
  for (auto &[Id, Item] : m_Loans) {
    if (Item.m_Lapsed || Item.m_ExpiresAt > Now)
      continue;
    Item.m_KeptBytes = Item.outstandingBytes();
    Item.m_Lapsed = true;
  }
}

void CreditLedger::trimLapsed(Loan &Item) const {
  if (!Item.m_Lapsed || !Item.m_Reported)
    return;
  const auto It = m_ReportedBytes.find(Item.m_Router);
  const std::int64_t Running = It == m_ReportedBytes.end() ? 0 : It->second;
  const std::int64_t Floor = Item.m_RouterKnown ? 0 : Item.m_BytesEach;
  // Nothing starts under a lapsed loan, so its part of the running requests
  // only shrinks, even when the router starts others under a newer loan.
  Item.m_KeptBytes = std::min(Item.m_KeptBytes, std::max(Floor, Running));
}

void CreditLedger::eraseSettled() {
  std::erase_if(m_Loans, [](const auto &Pair) {
    return Pair.second.countedBytes() == 0;
  });
}

void CreditLedger::noteRouter(const IncarnationId &Router) {
  for (auto &[Id, Item] : m_Loans) {
    if (!Item.m_Lapsed || Item.m_Router != Router)
      continue;
    Item.m_RouterKnown = true;
    trimLapsed(Item);
  }
  eraseSettled();
}

void CreditLedger::onRouterSeen(const IncarnationId &Router) {
  noteRouter(Router);
}

void CreditLedger::onRouterGone(const IncarnationId &Router) {
  noteRouter(Router);
}

void CreditLedger::onTakeover(Instant Now) {
  m_Loans.clear();
  m_ReportedBytes.clear();
  m_LastReport.reset();
  m_InheritedBytes.clear();
  m_LendFrom = Now + m_TimeToLive;
}

void CreditLedger::onReport(std::span<const RunningRequest> Running,
                            Instant AskedAt) {
  if (m_LastReport && AskedAt < *m_LastReport)
    return;
  m_LastReport = AskedAt;
  m_ReportedBytes.clear();
  for (const RunningRequest &Request : Running) {
    std::int64_t &Sum = m_ReportedBytes[Request.m_Router];
    Sum = addSaturating(Sum, std::max<std::int64_t>(Request.m_Bytes, 0));
  }
  if (m_LendFrom) {
    m_InheritedBytes = m_ReportedBytes;
    if (AskedAt >= *m_LendFrom)
      m_LendFrom.reset();
  }
  for (auto &[Router, Bytes] : m_InheritedBytes) {
    const auto It = m_ReportedBytes.find(Router);
    Bytes = std::min(Bytes, It == m_ReportedBytes.end() ? 0 : It->second);
  }
  std::erase_if(m_InheritedBytes,
                [](const auto &Pair) { return Pair.second == 0; });
  for (auto &[Id, Item] : m_Loans) {
    Item.m_Reported |= Item.m_Lapsed && Item.m_ExpiresAt <= AskedAt;
    trimLapsed(Item);
  }
  eraseSettled();
}

void CreditLedger::setHeadroom(std::int64_t Bytes) {
  m_Headroom = std::max<std::int64_t>(Bytes, 0);
}

std::int64_t CreditLedger::usedBytes() const {
  std::int64_t Used = m_Headroom;
  for (const auto &[Entry, Bytes] : m_Weights)
    Used = addSaturating(Used, Bytes);
  for (const auto &[Id, Item] : m_Loans)
    Used = addSaturating(Used, Item.countedBytes());
  for (const auto &[Router, Bytes] : m_InheritedBytes)
    Used = addSaturating(Used, Bytes);
  return std::min(Used, m_Capacity);
}

std::int64_t CreditLedger::lentCount(const EntryName &Entry) const {
  std::int64_t Result = 0;
  for (const auto &[Id, Item] : m_Loans)
    if (Item.m_Entry == Entry)
      Result += countOf(Item.countedBytes(), Item.m_BytesEach);
  return Result;
}

bool CreditLedger::mayLend(Instant) const { return !m_LendFrom; }

} // namespace sff::memory
