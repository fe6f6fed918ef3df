#include "Router/CrashRegistry.h"

namespace sff::router {

namespace {

constexpr milliseconds NoticeTimeout{2000};

} // namespace

std::int64_t CrashRegistry::onCrash(const std::string &Fingerprint,
                                    const EndpointId &Endpoint) {
  const Instant Now = std::chrono::steady_clock::now();
  // Routers do not know the incarnation of an endpoint, so each crash that a
  // router observes counts by itself.
  const retry::EndpointCrash Crash{Endpoint, makeId<IncarnationId>()};
  m_Quarantine.add({Fingerprint, Crash, Now}, Now);
  const messages::CrashNotice Notice{Fingerprint, Crash};
  for (const std::string &Address : m_View.routerAddresses())
    if (Address != m_OwnAddress)
      m_Peers.at(Address).call(Notice, NoticeTimeout, [](auto) {});
  return static_cast<std::int64_t>(m_Quarantine.crashCount(Fingerprint, Now));
}

void CrashRegistry::onCrashNotice(const messages::CrashNotice &Notice) {
  const Instant Now = std::chrono::steady_clock::now();
  m_Quarantine.add({Notice.m_Fingerprint, Notice.m_Crash, Now}, Now);
  log::info(log::Category::Execution, "crash.notice",
            {{"fingerprint", Notice.m_Fingerprint},
             {"endpoint", Notice.m_Crash.m_Endpoint},
             {"crashes", m_Quarantine.crashCount(Notice.m_Fingerprint, Now)}});
}

} // namespace sff::router
