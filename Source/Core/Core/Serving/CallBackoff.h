#pragma once

#include "Common/Time/Instant.h"

#include <random>

namespace sff::serving {

/// Delays between the repeats of one kind of call that gets no answer. They
/// double, with jitter, so that hosts that have failed together do not call
/// again together.
/// Thread safety: none.
class CallBackoff {
public:
  explicit CallBackoff(Duration First) : m_First(First) {}

  /// Returns the time to wait after a call without an answer: \p Longest at
  /// most, and a little less than \p Shortest at least.
  Duration onFailure(std::mt19937_64 &Random, Duration Shortest,
                     Duration Longest);
  void onAnswer() { m_Failures = 0; }

private:
  Duration m_First;
  int m_Failures = 0; ///< Since the last answer.
};

} // namespace sff::serving
