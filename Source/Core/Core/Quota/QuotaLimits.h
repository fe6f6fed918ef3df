#pragma once

#include "Common/Time/Instant.h"
#include "Core/Tenants/Tenant.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace sff::quota {

/// By how much all hosts together may exceed a tenant's quota in a window.
struct QuotaTolerance {
  Duration m_Window{std::chrono::seconds(8)};
  double m_Overshoot = 0; ///< Share of the quota of a window.
  double m_Slack = 0;     ///< Units, beside the overshoot.
};

/// The parts of a tenant's quota, each with a lessor of its own.
enum class QuotaScope {
  /// Most of the quota, for the hosts of all availability zones. Demand may be
  /// spread over the zones in any way.
  Shared,
  /// A smaller part for the hosts of one zone, which remains when the zone is
  /// cut off from the lessor of the shared part.
  Zone
};

NLOHMANN_JSON_SERIALIZE_ENUM(QuotaScope, {{QuotaScope::Shared, "shared"},
                                          {QuotaScope::Zone, "zone"}})

/// What one lessor may grant.
struct QuotaBudget {
  double m_Window = 0; ///< In any window.
  /// What may be granted at once. The rest is granted evenly over the window.
  double m_AtOnce = 0;
};

/// What a tenant may use in any window, over all hosts.
struct QuotaLimits {
  /// The quota of a window: its rate and its burst.
  double m_Quota = 0;
  double m_Burst = 0; ///< The part of it that may be used at once.
  /// Units beyond the quota that are tolerated.
  double m_Tolerance = 0;

  /// What all lessors may grant together: the quota and a half of the
  /// tolerance.
  QuotaBudget total() const;
  /// What the lessor of \p Scope may grant. Precondition: \p Zones > 0.
  QuotaBudget budget(QuotaScope Scope, std::size_t Zones) const;
  /// What a host may use in a window beside what it was granted, so that one
  /// that reaches no lessor serves small requests. Precondition: \p Hosts > 0.
  double hostReserve(std::size_t Hosts) const;
};

/// Returns the limits of a tenant; nothing if it has no quota.
/// Thread safety: reentrant.
std::optional<QuotaLimits> limitsOf(const tenants::TenantQuota &Quota,
                                    const QuotaTolerance &Tolerance);

/// Returns what a request counts, in the unit of the quota.
/// Thread safety: reentrant.
double costOf(const tenants::TenantQuota &Quota,
              std::optional<std::int64_t> PromptTokens,
              std::optional<std::int64_t> OutputTokens);

} // namespace sff::quota
