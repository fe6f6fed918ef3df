#pragma once

#include "Core/Quota/QuotaLedger.h"
#include "Host/QuotaChannel.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sff::host {

/// What a request has taken from a tenant's quota.
struct QuotaUse {
  std::string m_Tenant;
  quota::QuotaScope m_Scope = quota::QuotaScope::Shared;
  double m_Cost = 0; ///< In the unit of the quota.
  Instant m_TakenAt;
};

/// Whether a request fits into the quota of its tenant, and the inputs.
struct QuotaDecision {
  bool m_Fits = true;
  std::optional<QuotaUse> m_Use; ///< Nothing if the tenant has no quota.
  double m_Cost = 0;
  /// Units of the shared part that this host may still use.
  double m_Held = 0;
  /// Time since the latest answered request to the lessor of the shared part;
  /// negative if there was none.
  milliseconds m_GrantAge{-1};
  milliseconds m_RetryAfter{0}; ///< As the lessor of the shared part named it.
};

/// Keeps the quotas of tenants together with the other hosts. The holder of the
/// order lease of an availability zone is the lessor of the zone's part of each
/// quota, and of the shared part of the tenants that are assigned to the zone
/// by a hash of their names. A request takes from the shared part, and from
/// that of its own zone if the shared one has too little or its lessor cannot
/// be reached. Nothing is sent while no tenant with a quota is active. Thread
/// safety: use from the host's io_context only.
class QuotaService {
public:
  /// Precondition: both arguments outlive the run of the io_context.
  QuotaService(HostState &State, OrderLeases &Leases);

  void start();
  /// Takes the cost of a request from the quota of its tenant. Waits for an
  /// answer of a lessor only if this host holds too little, and only for a
  /// moment.
  Task<QuotaDecision> take(std::string Tenant,
                           std::optional<std::int64_t> PromptTokens,
                           std::optional<std::int64_t> OutputTokens);
  /// Gives back what a request has taken that has not run.
  void refund(const QuotaUse &Use);
  /// Handles the report of a host to the holder of a zone.
  QuotaResponse onReport(const QuotaReport &Report);

private:
  using LedgerKey = std::pair<ZoneId, quota::QuotaScope>;

  /// The limits of a tenant in the newest catalogue.
  std::optional<quota::QuotaLimits> limitsOf(const std::string &Tenant) const;
  /// The zone whose holder is the lessor of the shared part of the tenant's
  /// quota. The same on all hosts with the same zones.
  const ZoneId &sharedZoneOf(const std::string &Tenant) const;
  /// The channel to the lessor of a part of the tenant's quota.
  QuotaChannel &channel(const std::string &Tenant, quota::QuotaScope Scope);
  Task<void> reportPeriodically(QuotaChannel &Reporting);
  /// Begins the records of the zones whose holder this host has become.
  void followLeases();
  Task<void> followLeasesPeriodically();

  HostState &m_State;
  OrderLeases &m_Leases;
  quota::QuotaTolerance m_Tolerance;
  std::vector<ZoneId> m_Zones; ///< In an order that is the same on all hosts.
  QuotaChannel m_OwnZone;
  std::map<ZoneId, QuotaChannel> m_Shared; ///< By the zone of the lessor.
  std::map<LedgerKey, quota::QuotaLedger> m_Ledgers;
};

} // namespace sff::host
