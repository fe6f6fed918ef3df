#pragma once

#include "Core/Catalogue/EntrySpec.h"

#include <array>

namespace sff::retry {

/// Limits retries to a fraction of the requests of a traffic class, so that a
/// failure does not multiply the load. Thread safety: none.
class RetryBudget {
public:
  /// Allows \p Ratio retries per request, for example 0.1, and accumulates at
  /// most \p Burst unused retries. A new budget contains one retry, so that the
  /// first failure after a router's start can be retried. Precondition: both
  /// are not negative.
  RetryBudget(double Ratio, double Burst);

  void onRequest(catalogue::TrafficClass Class);
  /// Consumes one retry. Returns false if the budget is exhausted.
  bool tryRetry(catalogue::TrafficClass Class);

private:
  double m_Ratio;
  double m_Burst;
  std::array<double, 2> m_Tokens;
};

} // namespace sff::retry
