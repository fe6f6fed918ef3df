#pragma once

#include "Core/Retry/CrashQuarantine.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sff::retry {

/// Distinguishes a crash from a lost answer: a request is considered to have
/// crashed its endpoint only if the endpoint is found to be down soon after the
/// request was lost. Thread safety: none.
class CrashDetector {
public:
  /// Time within which this host notices that an endpoint has crashed. The
  /// slowest evidence is the removal of its registration after three missed
  /// heartbeats.
  static constexpr milliseconds CorrelationWindow{8000};

  /// Records that the attempt \p Run of a request was sent to an endpoint, and
  /// that it has ended there in whatever way.
  void onRequestSent(const EndpointCrash &Possible, std::string Fingerprint,
                     RequestId Run, Instant Now,
                     std::vector<PromptPartId> Parts = {});
  void onRequestEnded(const EndpointId &Endpoint, const RequestId &Run);
  bool hasRunningRequests(const EndpointId &Endpoint) const {
    return m_RunningRequests.contains(Endpoint);
  }

  /// Records that the attempt \p Run of a request got no complete answer.
  /// \p Possible describes the crash that may be the cause. Call it before
  /// onRequestEnded().
  void onRequestLost(const EndpointCrash &Possible, std::string Fingerprint,
                     RequestId Run, Instant Now);
  /// Whether a crash of the endpoint now would count for a lost request.
  bool hasLostRequests(const EndpointId &Endpoint, Instant Now) const;
  /// Call when the requests that were lost so far have another cause than
  /// crashes.
  void forgetLostRequests() { m_LostRequests.clear(); }
  /// Call when the endpoint refuses connections, has restarted or has vanished
  /// from the registry. Returns a report for each request that was lost with
  /// it, each only once.
  std::vector<CrashReport> popLostRequests(const EndpointId &Endpoint,
                                           Instant Now);
  /// Call when the endpoint has crashed without closing its connections.
  /// Returns a report for each request that runs there, each only once.
  std::vector<CrashReport> popRunningRequests(const EndpointId &Endpoint,
                                              Instant Now);
  /// Call when another host has noticed the crash. Same as above for one
  /// incarnation of the endpoint.
  std::vector<CrashReport> popLostRequests(const EndpointCrash &Crash,
                                           Instant Now);

private:
  static constexpr std::size_t MaxPerEndpoint = 100;

  /// The parts of the prompt of a running request.
  std::vector<PromptPartId> partsOf(const EndpointId &Endpoint,
                                    const RequestId &Run) const;

  /// The reports to make if the endpoint is found to have crashed.
  std::map<EndpointId, std::deque<CrashReport>> m_LostRequests;
  /// The requests that run at each endpoint; no entry is empty.
  std::map<EndpointId, std::map<RequestId, CrashReport>> m_RunningRequests;
};

} // namespace sff::retry
