#pragma once

#include "Core/Catalogue/EntrySpec.h"

#include <array>

namespace sff::retry {

/// Limits retries to a share of the requests of a traffic class, so that a
/// failure does not multiply the load. Thread safety: none.
class RetryBudget {
public:
  /// \p Ratio retries per request, for example 0.1; \p Burst retries may be
  /// saved up. A new budget holds one retry, so that the first failure of a
  /// fresh router can be retried. Precondition: both are not negative.
  RetryBudget(double Ratio, double Burst);

  void onRequest(catalogue::TrafficClass Class);
  /// Takes one retry from the budget. Returns false when it is spent.
  bool tryRetry(catalogue::TrafficClass Class);

private:
  double m_Ratio;
  double m_Burst;
  std::array<double, 2> m_Tokens;
};

} // namespace sff::retry
