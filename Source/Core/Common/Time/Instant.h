#pragma once

#include <chrono>

namespace sff {

/// Monotonic time that is passed into the core; the core reads no clock.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

using std::chrono::milliseconds;

/// Rounds a duration down to whole milliseconds.
constexpr milliseconds toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value);
}

/// The duration in seconds, with its fraction.
constexpr double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// The reverse of toSeconds(), rounded down to the clock's ticks.
constexpr Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace sff
