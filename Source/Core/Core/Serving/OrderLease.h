#pragma once

#include "Common/Time/Instant.h"

#include <cstdint>
#include <optional>

namespace sff::serving {

/// Rises with every change of holder; endpoints refuse lower ones.
using FencingToken = std::int64_t;

/// Answer of the store to one renewal of the membership that carries the
/// right to give orders.
struct LeaseRenewal {
  Instant m_SentAt; ///< Before the call left, by the clock of mayOrder().
  FencingToken m_Token = 0;
  bool m_Holds = false;
};

/// The right of this host to give orders to the endpoints of one availability
/// zone. All times are of a clock that counts suspended time, so that a host
/// that was paused finds its lease lapsed. Thread safety: none.
class OrderLease {
public:
  /// \p Term is the time after which the store gives a silent member's right
  /// to another, and the time that a new holder waits for orders of the last
  /// one. With \p EndpointsFence, the endpoints refuse lower tokens.
  OrderLease(Duration Term, bool EndpointsFence)
      : m_Term(Term), m_EndpointsFence(EndpointsFence) {}

  void onRenewed(const LeaseRenewal &Renewal, Instant Now);
  /// The store did not answer a renewal that was sent at \p SentAt.
  void onStoreUnreachable(Instant SentAt);
  /// An endpoint has seen a newer token than \p Token.
  void onFenced(FencingToken Token);
  void onReleased() { m_Token.reset(); }

  /// The token for an order that leaves now, or nothing when this host must
  /// not order. Where endpoints fence, a holder that is cut off from the
  /// store goes on until an endpoint refuses its token.
  std::optional<FencingToken> mayOrder(Instant Now) const;
  /// Holds the right, though it may still wait for the last holder's term.
  bool holds() const { return m_Token.has_value(); }

private:
  bool isFresh(Instant Now) const;
  bool isCutOff(Instant Now) const;

  Duration m_Term;
  bool m_EndpointsFence;
  std::optional<FencingToken> m_Token;
  FencingToken m_FencedToken = 0; ///< Tokens up to this one are of no use.
  Instant m_AcquiredAt;
  Instant m_RenewalSentAt;
  std::optional<Instant> m_UnreachableAt; ///< Latest failed renewal.
};

} // namespace sff::serving
