#pragma once

#include "Common/Time/Instant.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace sff::quota {

/// Amounts that were spent within a sliding window, counted in buckets of a
/// sixteenth of it. Sums never leave out an amount of the window; they may hold
/// older ones for up to two buckets, so that a window can be told to another
/// host whose buckets begin at other times.
/// Thread safety: none.
class SpendWindow {
public:
  static constexpr std::size_t BucketsPerWindow = 16;
  static constexpr std::size_t BucketCount = BucketsPerWindow + 2;

  /// Precondition: \p Window is at least a few milliseconds.
  explicit SpendWindow(Duration Window)
      : m_BucketLength(Window / static_cast<int>(BucketsPerWindow)) {}

  void add(double Amount, Instant Now);
  /// Takes back an amount that was added at \p SpentAt.
  void remove(double Amount, Instant SpentAt, Instant Now);
  /// Upper bound of the amounts of the window that ends now.
  double total(Instant Now) const;
  /// The amounts by age in buckets, the current bucket first.
  std::vector<double> byAge(Instant Now) const;
  /// Replaces the content by amounts that were told by byAge() of another
  /// window of the same length. Amounts that are negative or older than the
  /// window are ignored.
  void assign(std::span<const double> Amounts, Instant Now);

private:
  struct Bucket {
    std::int64_t m_Number = -1; ///< Index since the clock's epoch.
    double m_Amount = 0;
  };
  std::int64_t numberAt(Instant Time) const {
    return Time.time_since_epoch() / m_BucketLength;
  }
  static std::size_t slotOf(std::int64_t Number) {
    return static_cast<std::size_t>(Number) % BucketCount;
  }

  Duration m_BucketLength;
  std::array<Bucket, BucketCount> m_Buckets;
};

} // namespace sff::quota
