#include "Core/Serving/OrderLease.h"

#include <algorithm>

namespace sff::serving {

void OrderLease::onRenewed(const LeaseRenewal &Renewal, Instant Now) {
  m_LastFailedRenewalAt.reset();
  if (!Renewal.m_IsHolder) {
    m_Token.reset();
    return;
  }
  // After the lease has expired, another host may have held it in between.
  const bool IsContinuous =
      m_Token && Renewal.m_SentAt - m_RenewalSentAt < m_Term;
  if (!IsContinuous)
    m_AcquiredAt = Now;
  m_Token = Renewal.m_Token;
  m_RenewalSentAt = Renewal.m_SentAt;
}

void OrderLease::onStoreUnreachable(Instant SentAt) {
  m_LastFailedRenewalAt = SentAt;
}

void OrderLease::onTokenRejected(FencingToken Token) {
  m_FencedToken = std::max(m_FencedToken, Token);
}

bool OrderLease::isRenewalCurrent(Instant Now) const {
  return Now - m_RenewalSentAt < m_Term;
}

bool OrderLease::isStoreUnreachable(Instant Now) const {
  return m_LastFailedRenewalAt && Now - *m_LastFailedRenewalAt < m_Term;
}

std::optional<FencingToken> OrderLease::tokenForOrder(Instant Now) const {
  if (!m_Token || *m_Token <= m_FencedToken)
    return std::nullopt;
  if (Now - m_AcquiredAt < m_Term)
    return std::nullopt;
  if (isRenewalCurrent(Now) ||
      (m_EndpointsCheckTokens && isStoreUnreachable(Now)))
    return m_Token;
  return std::nullopt;
}

} // namespace sff::serving
