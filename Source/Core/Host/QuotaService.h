#pragma once

#include "Core/Quota/QuotaLedger.h"
#include "Core/Quota/TenantAllowance.h"
#include "Host/HostState.h"
#include "Host/OrderLeases.h"
#include "Host/QuotaMessages.h"

#include <map>
#include <optional>
#include <string>

namespace sff::host {

/// What a request has taken from a tenant's quota.
struct QuotaUse {
  std::string m_Tenant;
  double m_Cost = 0; ///< In the unit of the quota.
  Instant m_TakenAt;
};

/// Whether a request fits into the quota of its tenant, and the inputs.
struct QuotaDecision {
  bool m_Fits = true;
  std::optional<QuotaUse> m_Use; ///< Nothing if the tenant has no quota.
  double m_Cost = 0;
  double m_Held = 0; ///< What this host may still use.
  /// Time since the lessor was last asked with success; negative if never.
  milliseconds m_GrantAge{-1};
  milliseconds m_RetryAfter{0};
};

/// Keeps the quotas of tenants together with the other hosts. The holder of the
/// order lease of an availability zone is the lessor of that zone: it grants
/// parts of the zone's share to the hosts, which report their use. A request
/// waits for an answer of the lessor only if this host holds too little, and
/// only for a moment. Nothing is sent while no tenant with a quota is active.
/// Thread safety: use from the host's io_context only.
class QuotaService {
public:
  /// Precondition: both arguments outlive the run of the io_context.
  QuotaService(HostState &State, OrderLeases &Leases);

  void start();
  /// Takes the cost of a request from the quota of its tenant.
  Task<QuotaDecision> take(std::string Tenant,
                           std::optional<std::int64_t> PromptTokens,
                           std::optional<std::int64_t> OutputTokens);
  /// Gives back what a request has taken that has not run.
  void refund(const QuotaUse &Use);
  /// Handles the report of a host of a zone for which this host is the lessor.
  QuotaResponse onReport(const QuotaReport &Report);

private:
  /// The limits of a tenant in the newest catalogue.
  std::optional<quota::QuotaLimits> limitsOf(const std::string &Tenant) const;
  /// The allowance of a tenant with its limits in force; null if it has none.
  quota::TenantAllowance *allowance(const std::string &Tenant);
  /// Asks the lessor while requests wait for more than this host holds.
  Task<void> ask();
  Task<void> reportPeriodically();
  /// Sends a report of the tenants that are active, and applies the answer.
  Task<void> report();
  QuotaReport makeReport();
  /// The answer of the lessor at \p Lessor, or nothing.
  Task<std::optional<QuotaResponse>> send(std::string Lessor,
                                          QuotaReport Report);
  /// Begins the books of the zones for which this host has become the lessor.
  void followLeases();

  HostState &m_State;
  OrderLeases &m_Leases;
  http::Client m_Peers;
  quota::QuotaTolerance m_Tolerance;
  std::map<std::string, quota::TenantAllowance> m_Allowances;
  /// Cost of the requests that wait for the lessor, by tenant.
  std::map<std::string, double> m_Needed;
  bool m_IsAsking = false;
  timers::AsyncCondition m_Answered;
  Instant m_SilentUntil; ///< The lessor gave no answer.
  std::map<ZoneId, quota::QuotaLedger> m_Ledgers;
};

} // namespace sff::host
