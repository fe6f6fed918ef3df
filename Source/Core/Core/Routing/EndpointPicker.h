#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace sff::routing {

/// Estimates the load of the replicas from the endpoints' reports and from the
/// requests that this router has sent since. The estimate of other routers'
/// requests approaches its long-term mean as the report ages, relative to the
/// duration of a request. Thread safety: none.
class LoadEstimator {
public:
  LoadEstimator() = default;
  /// Weights each report in the long-term mean by the time since the one
  /// before, not equally: reports that are seconds apart are few.
  explicit LoadEstimator(Duration MeanTimeConstant)
      : m_MeanTimeConstant(MeanTimeConstant) {}

  /// Applies a report that the endpoint made \p Lag ago and this router reads
  /// now.
  void onReport(const EndpointId &Endpoint, std::int64_t RunningRequests,
                Duration Lag, Instant Now);
  void onDispatched(const EndpointId &Endpoint, Instant Now);
  void onFinished(const EndpointId &Endpoint, Instant Now);
  /// Returns how many of these are other routers' requests.
  double otherRouters(const EndpointId &Endpoint, Instant Now) const;
  /// Returns the time since the endpoint made its latest report, if there is
  /// one.
  std::optional<Duration> reportAge(const EndpointId &Endpoint,
                                    Instant Now) const;
  /// Removes a request that the endpoint has not run. Its duration says nothing
  /// of the service time.
  void onNotRun(const EndpointId &Endpoint, Instant Now);
  /// Returns the estimated number of requests that are running at the endpoint.
  double estimate(const EndpointId &Endpoint, Instant Now) const;
  /// Mean duration of this router's finished requests.
  double meanServiceSeconds() const;
  void forget(const EndpointId &Endpoint);

private:
  struct Entry {
    Instant m_ReportMadeAt;
    bool m_HasReport = false;
    /// Requests of other routers in the latest report.
    double m_OtherRouters = 0;
    double m_OtherRoutersMean = 0;
    std::int64_t m_OwnRunning = 0;
    Instant m_OwnRunningSince; ///< Latest change of m_OwnRunning.
    /// This router's dispatched (+1) and finished (-1) requests since the
    /// report was made.
    std::deque<std::pair<Instant, int>> m_Changes;
  };
  void addChange(Entry &State, Instant Now, int Delta);
  /// Weight in the mean of a report that was made \p Elapsed after another.
  double weightOfReport(Duration Elapsed) const;
  double otherRouters(const Entry &State, Instant Now) const;

  std::optional<Duration> m_MeanTimeConstant;
  std::map<EndpointId, Entry> m_Entries;
  /// Total running time of this router's requests; decays with each finished
  /// request.
  double m_OwnBusySeconds = 0;
  double m_OwnFinished = 0;
};

struct PickCandidate {
  EndpointId m_Endpoint;
  double m_Load = 0;               ///< From LoadEstimator::estimate().
  std::int64_t m_PrefixTokens = 0; ///< Length of the cached prompt prefix.
  /// This router holds a free credit for the endpoint.
  bool m_HasCredit = false;
};

struct ScoreWeights {
  /// Load, in requests, that one cached prefix token outweighs.
  double m_LoadPerPrefixToken = 0.002;
  /// Load, in requests, that an available credit outweighs.
  double m_LoadPerCredit = 1.0;
};

/// Returns the index of the candidate with the best score, or randomly one of
/// the best two if their scores are nearly equal. Each router counts its own
/// requests exactly, so load estimates differ and routers with the same stale
/// reports do not all choose the same endpoint. A single candidate is always
/// chosen; without candidates the result is empty. Thread safety: reentrant.
std::optional<std::size_t> pickEndpoint(std::span<const PickCandidate> List,
                                        const ScoreWeights &Weights,
                                        std::mt19937_64 &Random);

} // namespace sff::routing
