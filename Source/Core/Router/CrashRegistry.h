#pragma once

#include "Core/Messages/RouterMessages.h"
#include "Core/Retry/CrashQuarantine.h"
#include "Router/ClusterView.h"

namespace sff::router {

/// Counts the crashes that a request caused, here and at other routers.
/// Thread safety: all calls on the loop's thread.
class CrashRegistry {
public:
  CrashRegistry(ClusterView &View, ControllerPool &Peers,
                std::string OwnAddress, std::size_t MaxFingerprints,
                milliseconds Period)
      : m_View(View), m_Peers(Peers), m_OwnAddress(std::move(OwnAddress)),
        m_Quarantine(MaxFingerprints, Period) {}

  /// Notes a crash, tells the other routers, and returns the total.
  std::int64_t onCrash(const std::string &Fingerprint);
  /// Takes notice of another router's total.
  void onNotice(const messages::CrashNotice &Notice);

  retry::CrashQuarantine &quarantine() { return m_Quarantine; }

private:
  ClusterView &m_View;
  ControllerPool &m_Peers;
  std::string m_OwnAddress;
  retry::CrashQuarantine m_Quarantine;
};

} // namespace sff::router
