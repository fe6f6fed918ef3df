#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>

namespace sff::serving {

/// How a request at an endpoint ended, as far as it tells of the endpoint.
enum class CallResult {
  Good,
  Failed,      ///< The endpoint answered with a failure of its own.
  Broken,      ///< The connection or the answer broke.
  Silent,      ///< No answer in the time in which others answer.
  Unreachable, ///< No connection.
};

/// What this host's own requests tell of the endpoints. An endpoint may fail
/// while its registration and its health check say that it is well.
/// Thread safety: none.
class EndpointHealth {
public:
  void onResult(const EndpointId &Endpoint, CallResult Result, Instant Now);
  /// Time from sending a request to the first byte of its answer.
  void onLatency(const EndpointId &Endpoint, Duration Latency);
  void forget(const EndpointId &Endpoint) { m_Entries.erase(Endpoint); }

  /// No request should be sent there for now.
  bool isSuspended(const EndpointId &Endpoint, Instant Now) const;
  /// Share of recent requests that failed, between 0 and 1.
  double failureShare(const EndpointId &Endpoint) const;
  /// Recent latency, zero when unknown.
  Duration latency(const EndpointId &Endpoint) const;

private:
  struct Entry {
    double m_FailureShare = 0;
    int m_InRow = 0; ///< Broken, silent or unreachable results in a row.
    Instant m_SuspendedUntil;
    Duration m_Latency{0};
  };
  std::map<EndpointId, Entry> m_Entries;
};

} // namespace sff::serving
