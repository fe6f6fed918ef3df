#include "Core/Serving/OrderLease.h"

#include <algorithm>

namespace sff::serving {

void OrderLease::onRenewed(const LeaseRenewal &Renewal, Instant Now) {
  m_UnreachableAt.reset();
  if (!Renewal.m_Holds) {
    m_Token.reset();
    return;
  }
  // A lapsed lease may have been another's meanwhile.
  const bool Kept = m_Token && Renewal.m_SentAt - m_RenewalSentAt < m_Term;
  if (!Kept)
    m_AcquiredAt = Now;
  m_Token = Renewal.m_Token;
  m_RenewalSentAt = Renewal.m_SentAt;
}

void OrderLease::onStoreUnreachable(Instant SentAt) {
  m_UnreachableAt = SentAt;
}

void OrderLease::onFenced(FencingToken Token) {
  m_FencedToken = std::max(m_FencedToken, Token);
}

bool OrderLease::isFresh(Instant Now) const {
  return Now - m_RenewalSentAt < m_Term;
}

bool OrderLease::isCutOff(Instant Now) const {
  return m_UnreachableAt && Now - *m_UnreachableAt < m_Term;
}

std::optional<FencingToken> OrderLease::mayOrder(Instant Now) const {
  if (!m_Token || *m_Token <= m_FencedToken)
    return std::nullopt;
  if (Now - m_AcquiredAt < m_Term)
    return std::nullopt;
  if (isFresh(Now) || (m_EndpointsFence && isCutOff(Now)))
    return m_Token;
  return std::nullopt;
}

} // namespace sff::serving
