#pragma once

#include "Core/Quota/TenantAllowance.h"
#include "Host/HostState.h"
#include "Host/OrderLeases.h"
#include "Host/QuotaMessages.h"

#include <functional>
#include <map>
#include <string>

namespace sff::host {

/// The grants that this host gets from one lessor, by tenant. Reports the use
/// of the tenants that are active, and asks when a request needs more than this
/// host holds.
/// Thread safety: use from the host's io_context only.
class QuotaChannel {
public:
  using Handler = std::function<QuotaResponse(const QuotaReport &)>;

  /// Reports to the holder of \p Zone. \p HandleLocally answers reports while
  /// this host is that holder. Precondition: \p State and \p Leases outlive the
  /// run of the io_context.
  QuotaChannel(HostState &State, OrderLeases &Leases, ZoneId Zone,
               quota::QuotaScope Scope, Duration Window, Handler HandleLocally);
  // Its coroutines refer to it.
  QuotaChannel(const QuotaChannel &) = delete;
  QuotaChannel &operator=(const QuotaChannel &) = delete;

  /// The allowance of a tenant, created on first use.
  quota::TenantAllowance &allowance(const std::string &Tenant);
  /// Takes \p Cost; asks the lessor if too little is held, and waits for its
  /// answer for a moment. Returns whether it fits.
  Task<bool> take(std::string Tenant, double Cost);
  void refund(const std::string &Tenant, double Cost, Instant TakenAt);
  /// Reports the use of the active tenants, if there are any.
  Task<void> report();

private:
  /// Waits until the lessor has answered a report that includes \p Cost, for at
  /// most AskTimeout.
  Task<void> awaitGrant(const std::string &Tenant, double Cost);
  /// Asks the lessor while requests wait for more than this host holds.
  Task<void> ask();
  QuotaReport makeReport();
  /// Sends a report and applies the answer.
  Task<void> exchange();
  /// Lets the holder of the zone be looked up again, if that was not done a
  /// short time ago.
  void lookUpHolder();
  Task<std::optional<QuotaResponse>> send(std::string Lessor,
                                          QuotaReport Report);

  HostState &m_State;
  OrderLeases &m_Leases;
  ZoneId m_Zone;
  quota::QuotaScope m_Scope;
  Duration m_Window;
  Handler m_HandleLocally;
  http::Client m_Peers;
  std::map<std::string, quota::TenantAllowance> m_Allowances;
  /// Cost of the requests that wait for the lessor, by tenant.
  std::map<std::string, double> m_Needed;
  bool m_IsAsking = false;
  std::int64_t m_Reports = 0;         ///< Number of reports made.
  std::int64_t m_AnsweredReports = 0; ///< The latest that has ended.
  timers::AsyncCondition m_Answered;
  Instant m_SilentUntil; ///< The lessor gave no answer.
  Instant m_NextLookupAt;
};

} // namespace sff::host
