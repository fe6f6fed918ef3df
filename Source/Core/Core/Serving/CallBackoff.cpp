#include "Core/Serving/CallBackoff.h"

#include <algorithm>
#include <cstdint>

namespace sff::serving {

namespace {

/// Bounds the factor of the first delay, which would overflow.
constexpr int MaxDoublings = 10;
/// Smallest part of a delay that is waited.
constexpr double MinJitter = 0.85;

} // namespace

Duration CallBackoff::onFailure(std::mt19937_64 &Random, Duration Shortest,
                                Duration Longest) {
  const Duration Doubled =
      m_First * (std::int64_t{1} << std::min(m_Failures, MaxDoublings));
  ++m_Failures;
  const double Jitter =
      std::uniform_real_distribution<double>(MinJitter, 1)(Random);
  const Duration Bounded =
      std::clamp(Doubled, Shortest, std::max({Shortest, Longest, m_First}));
  return fromSeconds(toSeconds(Bounded) * Jitter);
}

} // namespace sff::serving
