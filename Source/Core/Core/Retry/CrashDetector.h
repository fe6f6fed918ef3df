#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sff::retry {

/// Distinguishes a crash from a lost answer: a request is considered to have
/// crashed its endpoint only if the endpoint is found to be down soon after the
/// request's connection was lost. Thread safety: none.
class CrashDetector {
public:
  /// Time within which this host notices that a crashed endpoint refuses
  /// connections or has restarted.
  static constexpr milliseconds CorrelationWindow{3000};

  /// Records that the connection of a request was lost without an answer.
  void onConnectionLost(const EndpointId &Endpoint, std::string Fingerprint,
                        Instant Now);
  /// Call when the endpoint refuses connections or has restarted. Returns the
  /// fingerprints of the requests that were lost with it, each only once.
  std::vector<std::string> popLostRequests(const EndpointId &Endpoint,
                                           Instant Now);

private:
  struct BrokenRequest {
    std::string m_Fingerprint;
    Instant m_At;
  };
  static constexpr std::size_t MaxPerEndpoint = 100;

  std::map<EndpointId, std::deque<BrokenRequest>> m_BrokenRequests;
};

} // namespace sff::retry
