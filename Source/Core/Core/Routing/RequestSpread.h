#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace sff::routing {

/// An endpoint that a request may be sent to.
struct TimedCandidate {
  double m_Time = 0; ///< Expected time of the request there.
  /// By how much one more request there raises the time. Precondition: above 0.
  double m_TimePerRequest = 1;
};

/// Returns how many of the next \p Requests each candidate takes if each of
/// them goes where the time is shortest: the least times rise to a common one,
/// and candidates above it take none. The sum is \p Requests. Precondition:
/// \p Requests > 0. Thread safety: reentrant.
std::vector<double> spreadRequests(std::span<const TimedCandidate> List,
                                   double Requests);

/// Returns an index with a probability in proportion to its weight; nothing if
/// there are none. Hosts that send \p Requests by the same report and choose in
/// proportion to spreadRequests() together raise the times evenly, without
/// knowing of each other. Thread safety: reentrant.
std::optional<std::size_t> pickInProportion(std::span<const double> Weights,
                                            std::mt19937_64 &Random);

} // namespace sff::routing
