#pragma once

#include "Core/Messages/RouterMessages.h"
#include "Core/Retry/CrashQuarantine.h"
#include "Router/ClusterView.h"

namespace sff::router {

/// Counts the endpoint crashes caused by each request, as seen by this router
/// and by the others.
class CrashRegistry {
public:
  CrashRegistry(ClusterView &View, PeerConnectionPool &Peers,
                std::string OwnAddress, std::size_t MaxFingerprints,
                milliseconds Period)
      : m_View(View), m_Peers(Peers), m_OwnAddress(std::move(OwnAddress)),
        m_Quarantine(MaxFingerprints, Period) {}

  /// Records that a request crashed \p Endpoint, notifies the other routers,
  /// and returns the number of crashes of the request.
  std::int64_t onCrash(const std::string &Fingerprint,
                       const EndpointId &Endpoint);
  /// Adds the crash that another router reported.
  void onCrashNotice(const messages::CrashNotice &Notice);

  retry::CrashQuarantine &quarantine() { return m_Quarantine; }

private:
  ClusterView &m_View;
  PeerConnectionPool &m_Peers;
  std::string m_OwnAddress;
  retry::CrashQuarantine m_Quarantine;
};

} // namespace sff::router
