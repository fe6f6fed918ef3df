#include "Core/Quota/TenantAllowance.h"

#include <algorithm>

namespace sff::quota {

namespace {

/// A host asks for what it has lately used in this part of a window, so that it
/// goes on while the lessor is replaced.
constexpr double HeldShare = 0.5;
/// Weight of the latest request in the mean cost of a request.
constexpr double CostWeight = 0.1;
/// Longest time after a rejection by the lessor without another request for
/// more. Bounds the messages of a tenant that exceeds its quota.
constexpr milliseconds MaxAskPause{200};
/// Retry-After before the lessor has named a time.
constexpr milliseconds DefaultRetryAfter{500};

} // namespace

TenantAllowance::TenantAllowance(std::string Tenant, Duration Window,
                                 std::int64_t LastNumber)
    : m_Tenant(std::move(Tenant)), m_Window(Window), m_Spent(Window),
      m_Asked(Window), m_Number(LastNumber), m_RetryAfter(DefaultRetryAfter) {}

void TenantAllowance::setReserve(double PerWindow, Instant Now) {
  refill(Now);
  // A full bucket and its refill in a window make up the reserve.
  m_ReserveCapacity = PerWindow / 2;
  m_Reserve = std::min(m_Reserve, m_ReserveCapacity);
}

void TenantAllowance::refill(Instant Now) {
  if (m_RefilledAt) {
    const double Windows = toSeconds(Now - *m_RefilledAt) / toSeconds(m_Window);
    m_Reserve =
        std::min(m_ReserveCapacity, m_Reserve + Windows * m_ReserveCapacity);
  }
  m_RefilledAt = Now;
}

void TenantAllowance::recordDemand(double Cost, Instant Now) {
  m_Asked.add(Cost, Now);
  m_TypicalCost += (Cost - m_TypicalCost) * CostWeight;
}

bool TenantAllowance::tryTake(double Cost, Instant Now) {
  if (held(Now) >= Cost) {
    m_Held -= Cost;
    m_TakenSinceRequest += Cost;
    m_Spent.add(Cost, Now);
    return true;
  }
  refill(Now);
  if (m_Reserve < Cost)
    return false;
  m_Reserve -= Cost;
  m_Spent.add(Cost, Now);
  return true;
}

void TenantAllowance::refund(double Cost, Instant TakenAt, Instant Now) {
  m_Spent.remove(Cost, TakenAt, Now);
}

double TenantAllowance::expectedUse(Instant Now) const {
  if (m_Asked.total(Now) == 0)
    return 0;
  return HeldShare * m_Asked.total(Now) + m_TypicalCost;
}

GrantRequest TenantAllowance::makeRequest(double Needed, Instant Now) {
  GrantRequest Result;
  Result.m_Tenant = m_Tenant;
  Result.m_Number = ++m_Number;
  Result.m_Spent = m_Spent.byAge(Now);
  Result.m_Needed = Needed;
  const double Kept = std::min(held(Now), expectedUse(Now) + Needed);
  Result.m_Returned = held(Now) - Kept;
  m_Held = Kept;
  Result.m_Held = m_Held;
  Result.m_Wanted = std::max(m_Held, expectedUse(Now) + Needed);
  m_RequestedAt = Now;
  m_IsAnswered = false;
  m_TakenSinceRequest = 0;
  return Result;
}

void TenantAllowance::onGrant(const Grant &Answer, Instant Now) {
  if (m_IsAnswered || Answer.m_Number != m_Number)
    return;
  m_IsAnswered = true;
  m_GrantedAt = m_RequestedAt;
  m_RetryAfter = DefaultRetryAfter;
  if (Answer.m_RetryAfterMs > 0) {
    m_RetryAfter = milliseconds(Answer.m_RetryAfterMs);
    m_RejectedUntil = Now + std::min(m_RetryAfter, MaxAskPause);
  }
  m_HeldUntil = m_RequestedAt + m_Window;
  m_Held = std::max(0.0, Answer.m_Amount - m_TakenSinceRequest);
  if (Now >= m_HeldUntil)
    m_Held = 0;
}

bool TenantAllowance::isActive(Instant Now) const {
  return m_Asked.total(Now) > 0 || m_Spent.total(Now) > 0 || held(Now) > 0;
}

double TenantAllowance::held(Instant Now) const {
  return Now < m_HeldUntil ? m_Held : 0;
}

std::optional<Duration> TenantAllowance::grantAge(Instant Now) const {
  if (!m_GrantedAt)
    return std::nullopt;
  return Now - *m_GrantedAt;
}

} // namespace sff::quota
