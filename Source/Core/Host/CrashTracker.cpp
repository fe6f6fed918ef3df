#include "Host/CrashTracker.h"

#include "Common/Logging/Log.h"

#include <algorithm>

namespace sff::host {

namespace {

/// Capacity of the crash quarantine and how long it keeps a fingerprint.
constexpr std::size_t MaxFingerprints = 1000;
constexpr milliseconds FingerprintLifetime{60000};

constexpr auto LogCategory = log::Category::Execution;

Instant now() { return std::chrono::steady_clock::now(); }

milliseconds unixTime() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

CrashMessage toMessage(const retry::CrashReport &Report) {
  const auto Age = toMilliseconds(now() - Report.m_At);
  return {Report.m_Fingerprint, Report.m_Crash, (unixTime() - Age).count()};
}

retry::CrashReport toReport(const CrashMessage &Message) {
  const milliseconds Age = unixTime() - milliseconds(Message.m_NoticedAtUnixMs);
  // Clocks of hosts differ, so a crash may seem to lie in the future.
  return {Message.m_Fingerprint, Message.m_Crash,
          now() - std::max(Age, milliseconds(0))};
}

} // namespace

CrashTracker::CrashTracker(HostMetrics &Metrics)
    : m_Metrics(Metrics), m_Quarantine(MaxFingerprints, FingerprintLifetime) {}

void CrashTracker::onRequestLost(const serving::Endpoint &Endpoint,
                                 const std::string &Fingerprint) {
  const serving::Registration &Known = Endpoint.m_Registration;
  const IncarnationId Incarnation(
      std::to_string(Known.m_Incarnation.m_StartedAtMs));
  m_Detector.onRequestLost({Known.m_Id, Incarnation}, Fingerprint, now());
}

void CrashTracker::onEndpointDown(const EndpointId &Id) {
  for (const retry::CrashReport &Report :
       m_Detector.popLostRequests(Id, now())) {
    if (!m_Quarantine.add(Report, now()))
      continue;
    log::warning(
        LogCategory, "request.crashed_endpoint",
        {{"endpoint", Id},
         {"incarnation", Report.m_Crash.m_Incarnation},
         {"fingerprint", Report.m_Fingerprint},
         {"crashes", m_Quarantine.crashCount(Report.m_Fingerprint, now())}});
    m_Metrics.onCrash("observed");
  }
}

void CrashTracker::onMessages(std::span<const CrashMessage> Messages) {
  for (const CrashMessage &Message : Messages) {
    if (!m_Quarantine.add(toReport(Message), now()))
      continue;
    log::info(
        LogCategory, "crash.reported",
        {{"endpoint", Message.m_Crash.m_Endpoint},
         {"incarnation", Message.m_Crash.m_Incarnation},
         {"fingerprint", Message.m_Fingerprint},
         {"noticed_unix_ms", Message.m_NoticedAtUnixMs},
         {"crashes", m_Quarantine.crashCount(Message.m_Fingerprint, now())}});
    m_Metrics.onCrash("reported");
  }
}

bool CrashTracker::isRejected(const std::string &Fingerprint) const {
  return m_Quarantine.verdict(Fingerprint, now()) ==
         retry::QuarantineVerdict::Reject;
}

std::vector<CrashMessage> CrashTracker::recentMessages() const {
  std::vector<CrashMessage> Result;
  for (const retry::CrashReport &Report : m_Quarantine.recentReports(now()))
    Result.push_back(toMessage(Report));
  return Result;
}

} // namespace sff::host
