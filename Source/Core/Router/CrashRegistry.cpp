#include "Router/CrashRegistry.h"

namespace sff::router {

namespace {

constexpr milliseconds NoticeTimeout{2000};

} // namespace

std::int64_t CrashRegistry::onCrash(const std::string &Fingerprint) {
  const std::int64_t Total =
      m_Quarantine.onCrash(Fingerprint, std::chrono::steady_clock::now());
  const messages::CrashNotice Notice{Fingerprint, Total};
  for (const std::string &Address : m_View.routerAddresses())
    if (Address != m_OwnAddress)
      m_Peers.at(Address).call(Notice, NoticeTimeout, [](auto) {});
  return Total;
}

void CrashRegistry::onCrashNotice(const messages::CrashNotice &Notice) {
  m_Quarantine.merge(Notice.m_Fingerprint, Notice.m_Crashes,
                     std::chrono::steady_clock::now());
  log::info(
      log::Category::Execution, "crash.notice",
      {{"fingerprint", Notice.m_Fingerprint}, {"crashes", Notice.m_Crashes}});
}

} // namespace sff::router
