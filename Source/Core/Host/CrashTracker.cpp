#include "Host/CrashTracker.h"

#include "Common/Logging/Log.h"
#include "Common/Time/Clock.h"

#include <algorithm>

namespace sff::host {

namespace {

/// Capacity of the crash quarantine, and the time for which it rejects a
/// request after two crashes.
constexpr std::size_t MaxFingerprints = 1000;
constexpr milliseconds RejectionPeriod{60000};

/// Longest wait of one read of the log. Bounded because a dead connection is
/// noticed only by the next read.
constexpr milliseconds MaxFollowWait{3000};
/// Delay between reads while there are crashes, so that all hosts together stay
/// within the read rate of the store when many endpoints crash at once.
constexpr milliseconds FollowInterval{1500};
/// Crashes that are noticed within this time are appended by one call.
constexpr milliseconds PublishDelay{100};
constexpr milliseconds StoreRetryDelay{1000};
/// Crashes beyond this number are not shared while the store is unreachable.
constexpr std::size_t MaxUnpublished = 1000;
/// Wake-up interval of the publisher when there is nothing to publish.
constexpr milliseconds IdleWait{60000};

constexpr auto LogCategory = log::Category::Execution;

CrashMessage toMessage(const retry::CrashReport &Report) {
  const auto Age = toMilliseconds(now() - Report.m_At);
  return {Report.m_Fingerprint, Report.m_Crash, (unixTime() - Age).count(),
          Report.m_Run};
}

retry::CrashReport toReport(const CrashMessage &Message) {
  // Clocks of hosts differ, so a crash may seem to lie in the future.
  const milliseconds NoticedAt = std::clamp(
      milliseconds(Message.m_NoticedAtUnixMs), milliseconds(0), unixTime());
  return {Message.m_Fingerprint, Message.m_Crash,
          now() - (unixTime() - NoticedAt), Message.m_Run};
}

/// The crash that would end the present incarnation of \p Endpoint.
retry::EndpointCrash possibleCrash(const serving::Endpoint &Endpoint) {
  const serving::Registration &Known = Endpoint.m_Registration;
  return {Known.m_Id,
          IncarnationId(std::to_string(Known.m_Incarnation.m_StartedAtMs))};
}

} // namespace

CrashTracker::CrashTracker(std::shared_ptr<Store> Log, HostMetrics &Metrics)
    : m_Log(std::move(Log)), m_Metrics(Metrics),
      m_Quarantine(MaxFingerprints, RejectionPeriod) {}

Task<void> CrashTracker::follow() {
  Cursor Position = 0;
  bool Reachable = true;
  while (true) {
    // A call that is sent during an outage may hang even after its end, so it
    // must not wait for long.
    const CrashBatch Batch = co_await m_Log->followCrashes(
        Position, Reachable ? MaxFollowWait : milliseconds(0));
    const bool Answered = Batch.m_Status != FollowStatus::Unreachable;
    Reachable = Answered;
    m_Metrics.onStoreCall("crashes", Answered);
    m_Metrics.onUnreadableRecords(Batch.m_MalformedRecords);
    const bool IsRepeated = Batch.m_Status == FollowStatus::HistoryCompacted &&
                            Batch.m_Next == Position;
    if (!Answered || IsRepeated) {
      co_await timers::sleepFor(StoreRetryDelay);
      continue;
    }
    Position = Batch.m_Next;
    onMessages(Batch.m_Crashes);
    for (const CrashMessage &Message : Batch.m_Crashes)
      m_Quarantine.onShared(Message.m_Fingerprint, now());
    if (!Batch.m_Crashes.empty())
      co_await timers::sleepFor(FollowInterval);
  }
}

Task<void> CrashTracker::publish() {
  while (true) {
    if (m_Unpublished.empty())
      co_await m_PublishRequested.wait(IdleWait);
    co_await timers::sleepFor(PublishDelay);
    if (m_Unpublished.empty())
      continue;
    std::vector<CrashMessage> Batch = std::exchange(m_Unpublished, {});
    const bool Appended = co_await m_Log->appendCrashes(Batch);
    m_Metrics.onStoreCall("crash_append", Appended);
    if (Appended)
      continue;
    // Appending a crash twice does no harm.
    m_Unpublished.insert(m_Unpublished.begin(), Batch.begin(), Batch.end());
    if (m_Unpublished.size() > MaxUnpublished) {
      log::warning(LogCategory, "crash.not_shared",
                   {{"count", m_Unpublished.size() - MaxUnpublished}});
      m_Unpublished.resize(MaxUnpublished);
    }
    co_await timers::sleepFor(StoreRetryDelay);
  }
}

void CrashTracker::share(const retry::CrashReport &Report) {
  m_Unpublished.push_back(toMessage(Report));
  m_PublishRequested.notifyAll();
}

void CrashTracker::onRequestLost(const serving::Endpoint &Endpoint,
                                 const std::string &Fingerprint,
                                 const RequestId &Run) {
  m_Detector.onRequestLost(possibleCrash(Endpoint), Fingerprint, Run, now());
}

void CrashTracker::onRequestSent(const serving::Endpoint &Endpoint,
                                 const std::string &Fingerprint,
                                 const RequestId &Run) {
  m_Detector.onRequestSent(possibleCrash(Endpoint), Fingerprint, Run, now());
}

void CrashTracker::onSuccess(const std::string &Fingerprint) {
  if (m_Quarantine.crashCount(Fingerprint, now()) == 0)
    return;
  m_Quarantine.onSuccess(Fingerprint);
  log::info(LogCategory, "crash.refuted", {{"fingerprint", Fingerprint}});
  m_Metrics.onCrash("refuted");
  measure(Fingerprint);
}

void CrashTracker::measure(const std::string &Fingerprint) {
  m_Metrics.setSuspect(Fingerprint,
                       m_Quarantine.crashCount(Fingerprint, now()));
}

nlohmann::json CrashTracker::describe(const retry::CrashReport &Report) const {
  return {{"endpoint", Report.m_Crash.m_Endpoint},
          {"incarnation", Report.m_Crash.m_Incarnation},
          {"fingerprint", Report.m_Fingerprint},
          {"run", Report.m_Run},
          {"crashes", m_Quarantine.crashCount(Report.m_Fingerprint, now())}};
}

void CrashTracker::onNoticed(const retry::CrashReport &Report) {
  if (!m_Quarantine.add(Report, now()))
    return;
  log::warning(LogCategory, "request.crashed_endpoint", describe(Report));
  m_Metrics.onCrash("observed");
  measure(Report.m_Fingerprint);
  share(Report);
}

void CrashTracker::onEndpointDown(const EndpointId &Id) {
  for (const retry::CrashReport &Report : m_Detector.popLostRequests(Id, now()))
    onNoticed(Report);
}

void CrashTracker::onEndpointCrashed(const EndpointId &Id) {
  onEndpointDown(Id);
  for (const retry::CrashReport &Report :
       m_Detector.popRunningRequests(Id, now()))
    onNoticed(Report);
}

void CrashTracker::onMessages(std::span<const CrashMessage> Messages) {
  for (const CrashMessage &Message : Messages) {
    // Requests that this host lost there were lost by the same crash.
    for (const retry::CrashReport &Report :
         m_Detector.popLostRequests(Message.m_Crash, now()))
      onNoticed(Report);
    const retry::CrashReport Reported = toReport(Message);
    if (!m_Quarantine.add(Reported, now()))
      continue;
    nlohmann::json Fields = describe(Reported);
    Fields["noticed_unix_ms"] = Message.m_NoticedAtUnixMs;
    log::info(LogCategory, "crash.reported", std::move(Fields));
    m_Metrics.onCrash("reported");
    measure(Message.m_Fingerprint);
  }
}

void CrashTracker::onRejected(const std::string &Fingerprint) {
  for (const retry::CrashReport &Report :
       m_Quarantine.reportsToShareAgain(Fingerprint, now()))
    share(Report);
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
