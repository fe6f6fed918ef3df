#pragma once

#include "Common/Time/Instant.h"

#include <cstdint>
#include <optional>

namespace sff::serving {

/// Increases with every change of holder. Endpoints reject orders with a lower
/// token than the highest one they have seen.
using FencingToken = std::int64_t;

/// The store's answer to a renewal of the membership that carries the order
/// lease.
struct LeaseRenewal {
  /// Time before the call was sent, on the clock of tokenForOrder().
  Instant m_SentAt;
  FencingToken m_Token = 0;
  bool m_IsHolder = false;
};

/// This host's lease on sending orders to the endpoints of one availability
/// zone. All times are from a clock that includes suspended time, so that the
/// lease has expired when a paused host resumes. Thread safety: none.
class OrderLease {
public:
  /// \p Term is the time after which the store reassigns the lease of a member
  /// that does not renew it. A new holder also waits for this long until the
  /// previous holder's last orders have arrived. With \p EndpointsCheckTokens,
  /// the endpoints reject lower fencing tokens.
  OrderLease(Duration Term, bool EndpointsCheckTokens)
      : m_Term(Term), m_EndpointsCheckTokens(EndpointsCheckTokens) {}

  void onRenewed(const LeaseRenewal &Renewal, Instant Now);
  /// Records that the store did not answer the renewal sent at \p SentAt.
  void onStoreUnreachable(Instant SentAt);
  /// Records that an endpoint has seen a newer token than \p Token.
  void onTokenRejected(FencingToken Token);
  void onReleased() { m_Token.reset(); }

  /// Returns the fencing token for an order sent now, or nothing if this host
  /// must not send orders. If endpoints check tokens, a holder that cannot
  /// reach the store continues until an endpoint rejects its token.
  std::optional<FencingToken> tokenForOrder(Instant Now) const;
  /// Returns true if this host holds the lease, even if it still has to wait
  /// for the previous holder's term.
  bool holds() const { return m_Token.has_value(); }
  /// Returns true if no other host can hold the lease at \p Now.
  bool holdsAlone(Instant Now) const {
    return m_Token.has_value() && isRenewalCurrent(Now);
  }

private:
  bool isRenewalCurrent(Instant Now) const;
  bool isStoreUnreachable(Instant Now) const;

  Duration m_Term;
  bool m_EndpointsCheckTokens;
  std::optional<FencingToken> m_Token;
  FencingToken m_FencedToken = 0; ///< Tokens up to this one are rejected.
  Instant m_AcquiredAt;
  Instant m_RenewalSentAt;
  /// Send time of the latest renewal if it failed.
  std::optional<Instant> m_LastFailedRenewalAt;
};

} // namespace sff::serving
