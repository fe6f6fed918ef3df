#pragma once

#include "Common/Time/Instant.h"

#include <array>
#include <cstdint>

namespace sff::serving {

/// Limits on the retries of all hosts together in any window. Each attempt
/// after the first one of a request counts as a retry.
struct RetryLimits {
  double m_Ratio = 0; ///< Retries per request in the window.
  /// Additional retries per window, over all hosts.
  double m_FixedAllowance = 0;
  Duration m_Window{std::chrono::seconds(10)};
};

/// This host's share of a service's retry budget: the ratio applied to its own
/// requests plus an equal share of the fixed allowance. Thread safety: none.
class SharedRetryBudget {
public:
  /// \p StartedAt is the time at which this process started; by default it is
  /// older than a window. The share of the fixed allowance grows from a part of
  /// it to its full size over the first window after the start, because
  /// the process may replace one that has used
  /// the share of the same window.
  explicit SharedRetryBudget(const RetryLimits &Bounds,
                             Instant StartedAt = Instant())
      : m_Bounds(Bounds), m_StartedAt(StartedAt) {}

  void setHosts(std::size_t Hosts) { m_Hosts = Hosts; }
  void onRequest(Instant Now);
  /// Returns true if a retry would be granted now.
  bool allows(Instant Now);
  /// Consumes one retry. Returns false if the budget of the window is
  /// exhausted.
  bool tryRetry(Instant Now);

private:
  static constexpr std::size_t BucketCount = 10; ///< Buckets per window.
  /// Fraction of the budget that is used. The rest is a margin, because buckets
  /// are counted whole and hosts see requests at other times than the callers
  /// sent them.
  static constexpr double UsableShare = 0.8;

  struct Bucket {
    std::int64_t m_Number = -1; ///< Index since the clock's epoch.
    std::int64_t m_Requests = 0;
    std::int64_t m_Retries = 0;
  };
  Bucket &currentBucket(Instant Now);
  std::int64_t bucketNumber(Instant Now) const;
  /// Returns the usable part of this host's share of the fixed allowance.
  double usableFixedShare(Instant Now) const;

  RetryLimits m_Bounds;
  Instant m_StartedAt;
  std::size_t m_Hosts = 1;
  std::array<Bucket, BucketCount + 1> m_Buckets;
};

} // namespace sff::serving
