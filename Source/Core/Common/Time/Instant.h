#pragma once

#include <chrono>

namespace sff {

/// Monotonic time point. The core library receives the time as a parameter and
/// never reads a clock.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

using std::chrono::milliseconds;

/// Rounds a duration down to whole milliseconds.
constexpr milliseconds toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value);
}

/// Converts a duration to fractional seconds.
constexpr double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Inverse of toSeconds(), rounded down to clock ticks.
constexpr Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace sff
