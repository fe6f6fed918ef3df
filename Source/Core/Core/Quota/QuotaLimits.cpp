#include "Core/Quota/QuotaLimits.h"

namespace sff::quota {

namespace {

/// Shares of the tolerance: what lessors may grant, the part of that which they
/// may grant at once, and what hosts may use without a grant. The remaining
/// quarter covers grants that a new lessor does not know of.
constexpr double BudgetShare = 0.5;
constexpr double BurstShare = 0.25;
constexpr double ReserveShare = 0.25;
/// Share of the quota that the zones share.
constexpr double SharedShare = 0.7;

} // namespace

QuotaBudget QuotaLimits::total() const {
  return {m_Quota + BudgetShare * m_Tolerance,
          m_Burst + BurstShare * m_Tolerance};
}

QuotaBudget QuotaLimits::budget(QuotaScope Scope, std::size_t Zones) const {
  const double Share = Scope == QuotaScope::Shared
                           ? SharedShare
                           : (1 - SharedShare) / static_cast<double>(Zones);
  return {Share * total().m_Window, Share * total().m_AtOnce};
}

double QuotaLimits::hostReserve(std::size_t Hosts) const {
  return ReserveShare * m_Tolerance / static_cast<double>(Hosts);
}

std::optional<QuotaLimits> limitsOf(const tenants::TenantQuota &Quota,
                                    const QuotaTolerance &Tolerance) {
  if (!Quota.isLimited())
    return std::nullopt;
  QuotaLimits Result;
  Result.m_Quota =
      Quota.m_RatePerSecond * toSeconds(Tolerance.m_Window) + Quota.m_Burst;
  Result.m_Burst = Quota.m_Burst;
  Result.m_Tolerance =
      Tolerance.m_Overshoot * Result.m_Quota + Tolerance.m_Slack;
  return Result;
}

double costOf(const tenants::TenantQuota &Quota,
              std::optional<std::int64_t> PromptTokens,
              std::optional<std::int64_t> OutputTokens) {
  if (Quota.m_Unit == tenants::QuotaUnit::Requests)
    return 1;
  if (!PromptTokens || !OutputTokens)
    return Quota.m_UncountedTokens;
  return static_cast<double>(*PromptTokens + *OutputTokens);
}

} // namespace sff::quota
