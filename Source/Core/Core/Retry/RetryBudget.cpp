#include "Core/Retry/RetryBudget.h"

#include <algorithm>

namespace sff::retry {
namespace {

/// Tolerance for the rounding errors of repeatedly adding the ratio.
constexpr double RoundingTolerance = 1e-9;

} // namespace

RetryBudget::RetryBudget(double Ratio, double Burst)
    : m_Ratio(Ratio), m_Burst(Burst) {
  m_Tokens.fill(std::min(1.0, Burst));
}

void RetryBudget::onRequest(catalogue::TrafficClass Class) {
  double &Tokens = m_Tokens[static_cast<std::size_t>(Class)];
  Tokens = std::min(m_Burst, Tokens + m_Ratio);
}

bool RetryBudget::tryRetry(catalogue::TrafficClass Class) {
  double &Tokens = m_Tokens[static_cast<std::size_t>(Class)];
  if (Tokens + RoundingTolerance < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace sff::retry
