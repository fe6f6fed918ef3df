#pragma once

#include "Common/Time/Instant.h"

#include <array>
#include <cstdint>

namespace sff::serving {

/// What all hosts together may send beyond the first attempt of each request,
/// in any window.
struct RetryBounds {
  double m_Ratio = 0; ///< Of the requests in the window.
  double m_Extra = 0; ///< Besides the ratio, over all hosts.
  Duration m_Window{std::chrono::seconds(10)};
};

/// This host's part of the retry budget of one service: the ratio of its own
/// requests and an equal share of the extra ones. Thread safety: none.
class SharedRetryBudget {
public:
  explicit SharedRetryBudget(const RetryBounds &Bounds) : m_Bounds(Bounds) {}

  void setHosts(std::size_t Hosts) { m_Hosts = Hosts; }
  void onRequest(Instant Now);
  /// A retry would be granted now.
  bool allows(Instant Now);
  /// Takes one retry. Returns false when the window's part is spent.
  bool tryRetry(Instant Now);

private:
  static constexpr std::size_t Slices = 10; ///< Of the window.
  /// Slices are counted whole, and hosts see their requests at other times
  /// than the callers sent them, so some of the budget is left unused.
  static constexpr double UsedPart = 0.8;

  struct Slice {
    std::int64_t m_Number = -1; ///< Since the clock's start.
    std::int64_t m_Requests = 0;
    std::int64_t m_Retries = 0;
  };
  Slice &current(Instant Now);
  std::int64_t sliceNumber(Instant Now) const;

  RetryBounds m_Bounds;
  std::size_t m_Hosts = 1;
  std::array<Slice, Slices + 1> m_Slices;
};

} // namespace sff::serving
