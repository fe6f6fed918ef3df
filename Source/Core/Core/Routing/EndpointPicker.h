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

/// Load of the replicas as the endpoints report it, corrected by what this
/// router has sent since. What other routers have running is believed less the
/// older the report is compared with a request's duration, and tends to its
/// mean. Thread safety: none.
class LoadView {
public:
  /// A report that the endpoint made \p Lag ago and this router read now.
  void onReport(const EndpointId &Endpoint, std::int64_t RunningRequests,
                Duration Lag, Instant Now);
  void onDispatched(const EndpointId &Endpoint, Instant Now);
  void onFinished(const EndpointId &Endpoint, Instant Now);
  /// Estimated requests that run at the endpoint now.
  double estimate(const EndpointId &Endpoint, Instant Now) const;
  void forget(const EndpointId &Endpoint);

private:
  struct Entry {
    Instant m_ReportMadeAt;
    bool m_HasReport = false;
    double m_Others = 0; ///< Requests of other routers in the latest report.
    double m_OthersMean = 0;
    std::int64_t m_OwnRunning = 0;
    Instant m_OwnSince; ///< Latest change of m_OwnRunning.
    /// Own dispatches and ends after the report was made.
    std::deque<std::pair<Instant, int>> m_Changes;
  };
  void addChange(Entry &Known, Instant Now, int Delta);
  double meanServiceSeconds() const;

  std::map<EndpointId, Entry> m_Entries;
  double m_OwnBusySeconds = 0; ///< Of own requests; fades with each end.
  double m_OwnFinished = 0;
};

struct PickCandidate {
  EndpointId m_Endpoint;
  double m_Load = 0;               ///< From LoadView::estimate().
  std::int64_t m_PrefixTokens = 0; ///< Cached prefix length for the request.
  bool m_HasCredit = false;        ///< A free credit is held for it.
};

struct PickWeights {
  /// Requests of load that one cached prefix token is worth.
  double m_LoadPerPrefixToken = 0.002;
  /// Requests of load that a credit at hand is worth.
  double m_LoadPerCredit = 1.0;
};

/// Chooses the best of all candidates, or at random one of the best two when
/// their scores are about equal. Load estimates differ between routers because
/// each counts its own requests fully, so routers with the same stale reports
/// do not all choose the same endpoint. With one candidate it is chosen; with
/// none the result is empty. Thread safety: reentrant.
std::optional<std::size_t> pickEndpoint(std::span<const PickCandidate> List,
                                        const PickWeights &Weights,
                                        std::mt19937_64 &Random);

} // namespace sff::routing
