#pragma once

#include "Core/Quota/GrantMessages.h"
#include "Core/Quota/QuotaLimits.h"
#include "Core/Quota/SpendWindow.h"

#include <optional>

namespace sff::quota {

/// What one host may use of a part of a tenant's quota: what the lessor of the
/// part has granted, and a small reserve of its own. Decides without a message
/// as long as the grant lasts.
///
/// What is held may be used until the grant expires, one window after it was
/// requested; the lessor counts it as used until then. A request to the lessor
/// gives back what the host does not expect to use.
/// Thread safety: none.
class TenantAllowance {
public:
  /// Requests to the lessor are numbered from \p LastNumber on. An allowance
  /// that replaces one of the same process must go on with higher numbers.
  TenantAllowance(std::string Tenant, Duration Window,
                  std::int64_t LastNumber = 0);

  /// Sets what this host may use in a window beside what it is granted, which
  /// may change with each catalogue.
  void setReserve(double PerWindow, Instant Now);
  /// Records that a request has come, whether it fits or not.
  void recordDemand(double Cost, Instant Now);
  /// Uses \p Cost for a request. Returns false if it does not fit.
  bool tryTake(double Cost, Instant Now);
  /// Takes \p Cost, taken at \p TakenAt for a request that has not run, out of
  /// the use that is reported. The host may use it again once it is granted
  /// anew.
  void refund(double Cost, Instant TakenAt, Instant Now);

  /// The request to the lessor. \p Needed is the cost of requests that wait for
  /// the answer.
  GrantRequest makeRequest(double Needed, Instant Now);
  /// Applies the answer to the latest request; other answers are ignored.
  void onGrant(const Grant &Answer, Instant Now);

  /// Whether a request that does not fit is worth a request to the lessor,
  /// which may just have rejected another one.
  bool mayAsk(Instant Now) const { return Now >= m_RejectedUntil; }
  /// Whether the lessor has to know of this host's use.
  bool isActive(Instant Now) const;
  double held(Instant Now) const;
  /// Time since the latest answered request was made; nothing without one.
  std::optional<Duration> grantAge(Instant Now) const;
  /// When a request that did not fit should come again.
  milliseconds retryAfter() const { return m_RetryAfter; }

private:
  /// Refills the reserve.
  void refill(Instant Now);
  /// What this host expects to use soon.
  double expectedUse(Instant Now) const;

  std::string m_Tenant;
  Duration m_Window;
  SpendWindow m_Spent;
  SpendWindow m_Asked;      ///< Includes requests that did not fit.
  double m_TypicalCost = 0; ///< Mean cost of recent requests.
  double m_Held = 0;
  Instant m_HeldUntil;
  double m_ReserveCapacity = 0;
  double m_Reserve = 0;
  std::optional<Instant> m_RefilledAt;
  std::int64_t m_Number = 0; ///< Of the latest request.
  Instant m_RequestedAt;
  bool m_IsAnswered = true;
  double m_TakenSinceRequest = 0;
  std::optional<Instant> m_GrantedAt;
  milliseconds m_RetryAfter{0};
  Instant m_RejectedUntil;
};

} // namespace sff::quota
