#pragma once

#include "Common/Codec/Fields.h"

#include <compare>
#include <cstdint>
#include <mutex>

namespace sff::timeline {

/// Hybrid logical timestamp: wall-clock time plus a counter. An event caused by
/// a message sorts after the sending of that message even if the clocks of the
/// two hosts differ.
struct HybridTime {
  std::int64_t m_WallMicros = 0; ///< Microseconds since the Unix epoch.
  std::uint32_t m_Counter = 0;

  friend auto operator<=>(const HybridTime &, const HybridTime &) = default;

  static constexpr auto describe() {
    return std::make_tuple(codec::field("us", &HybridTime::m_WallMicros),
                           codec::field("n", &HybridTime::m_Counter));
  }
};

/// Issues hybrid timestamps.
/// Thread safety: all methods may be called from any thread.
class HybridClock {
public:
  /// Returns a timestamp greater than all that were issued or observed before.
  HybridTime tick();

  /// Advances the clock to at least a timestamp received from another process.
  void observe(const HybridTime &Received);

private:
  std::mutex m_Mutex;
  HybridTime m_Last;
};

} // namespace sff::timeline
