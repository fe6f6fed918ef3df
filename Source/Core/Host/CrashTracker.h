#pragma once

#include "Core/Retry/CrashDetector.h"
#include "Core/Retry/CrashQuarantine.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Host/HostMetrics.h"
#include "Host/PeerMessages.h"

#include <span>
#include <vector>

namespace sff::host {

/// Attributes crashes of endpoints to the requests that were running there, and
/// exchanges them with other hosts, so that all hosts reject a request that
/// crashes endpoints.
/// Thread safety: use from the host's io_context only.
class CrashTracker {
public:
  /// Precondition: \p Metrics outlives the object.
  explicit CrashTracker(HostMetrics &Metrics);

  /// Called when a request got no complete answer though \p Endpoint may have
  /// run it.
  void onRequestLost(const serving::Endpoint &Endpoint,
                     const std::string &Fingerprint);
  /// Called when the endpoint refuses connections, has restarted or has
  /// vanished from the registry. Counts a crash for the requests that were lost
  /// at it shortly before.
  void onEndpointDown(const EndpointId &Id);
  void onSuccess(const std::string &Fingerprint) {
    m_Quarantine.onSuccess(Fingerprint);
  }
  /// Adds the crashes that other hosts have noticed.
  void onMessages(std::span<const CrashMessage> Messages);

  /// Returns true if the request has crashed too many endpoints to be sent.
  bool isRejected(const std::string &Fingerprint) const;
  /// Returns the crashes that this host has noticed or learned of recently.
  std::vector<CrashMessage> recentMessages() const;

private:
  HostMetrics &m_Metrics;
  retry::CrashQuarantine m_Quarantine;
  retry::CrashDetector m_Detector;
};

} // namespace sff::host
