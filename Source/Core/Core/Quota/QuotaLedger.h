#pragma once

#include "Common/Identity/Ids.h"
#include "Core/Quota/GrantMessages.h"
#include "Core/Quota/QuotaLimits.h"
#include "Core/Quota/SpendWindow.h"

#include <map>
#include <optional>
#include <string>

namespace sff::quota {

/// The records of a lessor: what its hosts have used of the tenants' quotas,
/// and what they hold. What is used and held together stays within the budget
/// of the lessor for each window.
///
/// A token bucket spreads the grants over the window, so that a tenant above
/// its quota does not use it up at once and then get nothing for the rest.
///
/// Each request of a host tells its whole use, so a new lessor knows the use
/// once its hosts have reported. Until then it grants no more than
/// what they hold. Its bucket is empty at first, because it does not learn of
/// the use of hosts that have ended with its predecessor.
/// Thread safety: none.
class QuotaLedger {
public:
  /// Time in which the hosts that reach a new lessor report to it.
  static constexpr milliseconds SettleTime{2000};

  explicit QuotaLedger(Duration Window) : m_Window(Window) {}

  /// Called when this host has become the lessor.
  void begin(Instant Now) {
    m_Tenants.clear();
    m_BegunAt = Now;
  }
  /// Answers the request of a host process. \p Budget is what the lessor may
  /// grant of the tenant's quota.
  /// Precondition: begin() has been called.
  Grant onRequest(const HostId &Host, const GrantRequest &Request,
                  const QuotaBudget &Budget, Instant Now);
  /// What the hosts have used in the last window, and hold.
  double used(const std::string &Tenant, Instant Now);

private:
  struct HostUse {
    explicit HostUse(Duration Window) : m_Spent(Window) {}

    SpendWindow m_Spent;
    double m_Held = 0;
    Instant m_HeldUntil;
    std::int64_t m_Number = 0; ///< Of the latest request; 0 before any.
  };
  struct TenantUse {
    std::map<HostId, HostUse> m_Hosts;
    double m_Bucket = 0; ///< What may be granted at once.
    Instant m_RefilledAt;
  };

  /// Counts what has expired as used: the host may have used it just before.
  void expire(TenantUse &Use, Instant Now) const;
  void refill(TenantUse &Use, const QuotaBudget &Budget, Instant Now) const;
  static double sum(const TenantUse &Use, Instant Now);
  /// How much of \p Free a host gets that asks for \p Wanted more.
  static double share(double Wanted, double Needed, double Free);
  /// The time after which \p Needed is expected to fit.
  milliseconds waitFor(double Needed, double Used, double Bucket,
                       const QuotaBudget &Budget) const;

  Duration m_Window;
  std::map<std::string, TenantUse, std::less<>> m_Tenants;
  Instant m_BegunAt;
};

} // namespace sff::quota
