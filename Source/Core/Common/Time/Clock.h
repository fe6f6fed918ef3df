#pragma once

#include "Common/Time/Instant.h"

namespace sff {

/// The current time of the monotonic clock that is passed to the core.
inline Instant now() { return std::chrono::steady_clock::now(); }

/// The time of day, as Unix time.
inline milliseconds unixTime() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace sff
