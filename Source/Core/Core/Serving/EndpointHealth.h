#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>

namespace sff::serving {

/// Result of a request, as it reflects on the endpoint's health.
enum class CallResult {
  Success,
  Failed,      ///< The endpoint answered with a failure that it caused itself.
  Broken,      ///< The connection was lost or the answer was incomplete.
  Silent,      ///< No answer within the time in which others answer.
  Unreachable, ///< The connection could not be established.
};

/// Tracks the health of endpoints from the results of this host's own requests.
/// An endpoint may fail requests while its registration and its health check
/// report it as healthy. What is known of an endpoint that gets no requests
/// becomes outdated, so that a trial can show whether it still holds.
/// Thread safety: none.
class EndpointHealth {
public:
  void onResult(const EndpointId &Endpoint, CallResult Result, Instant Now);
  /// Records the time from sending a request to the first byte of the answer.
  void onLatency(const EndpointId &Endpoint, Duration Latency, Instant Now);
  /// Records that a request is sent to an endpoint of which what is known is
  /// outdated. It stays in force for others until the result is known.
  void onTrial(const EndpointId &Endpoint, Instant Now) {
    m_Entries[Endpoint].m_TriedAt = Now;
  }
  /// Records that the endpoint did not run a request, which therefore was no
  /// trial.
  void onNotRun(const EndpointId &Endpoint);
  void forget(const EndpointId &Endpoint) { m_Entries.erase(Endpoint); }
  /// Drops what has been learned of all endpoints.
  void clear() { m_Entries.clear(); }

  /// Returns true while no requests should be sent to the endpoint.
  bool isSuspended(const EndpointId &Endpoint, Instant Now) const;
  /// Returns true if nothing has been learned of the endpoint lately and no
  /// trial is under way.
  bool isOutdated(const EndpointId &Endpoint, Instant Now) const;
  /// Returns true while the latency of the endpoint is that of its first answer
  /// only, which may include the setup of the connection, and no trial is under
  /// way.
  bool isUnconfirmed(const EndpointId &Endpoint, Instant Now) const;
  /// Returns the moving average of failed requests, between 0 and 1.
  double failureRate(const EndpointId &Endpoint) const;
  /// Returns the moving average of the latency, zero if unknown.
  Duration latency(const EndpointId &Endpoint) const;

private:
  struct Entry {
    double m_FailureRate = 0;
    /// Consecutive broken, silent or unreachable results.
    int m_ConsecutiveFailures = 0;
    Instant m_SuspendedUntil;
    Duration m_Latency{0};
    int m_LatencySamples = 0; ///< Counted up to 2.
    Instant m_ResultAt;
    Instant m_LatencyAt;
    Instant m_TriedAt;
  };
  std::map<EndpointId, Entry> m_Entries;
};

} // namespace sff::serving
