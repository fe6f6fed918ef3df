#include "Host/CrashTracker.h"

#include "Common/Logging/Log.h"
#include "Common/Time/Clock.h"
#include "Host/LogQueries.h"

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
constexpr milliseconds FollowInterval{500};
/// Crashes that are noticed within this time are appended by one call.
constexpr milliseconds PublishDelay{100};
constexpr milliseconds StoreRetryDelay{1000};
/// News beyond this number are not shared while the store is unreachable.
constexpr std::size_t MaxUnpublished = 1000;
/// Most news in one record, which the store limits to some hundred kilobytes.
constexpr std::size_t MaxNewsPerRecord = 500;
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

/// Moves items from the front of \p From to the end of \p To while \p Room is
/// left.
template <typename T>
void moveItems(std::vector<T> &From, std::vector<T> &To, std::size_t &Room) {
  const std::size_t Count = std::min(From.size(), Room);
  const auto End = From.begin() + static_cast<std::ptrdiff_t>(Count);
  To.insert(To.end(), std::make_move_iterator(From.begin()),
            std::make_move_iterator(End));
  From.erase(From.begin(), End);
  Room -= Count;
}

/// Moves news from \p From to \p To while \p Room is left. What decides about
/// parts, which concern many requests, comes first.
void moveNews(CrashNews &From, CrashNews &To, std::size_t Room) {
  moveItems(From.m_PartTrials, To.m_PartTrials, Room);
  moveItems(From.m_PartProofs, To.m_PartProofs, Room);
  moveItems(From.m_PartCrashes, To.m_PartCrashes, Room);
  moveItems(From.m_RequestProofs, To.m_RequestProofs, Room);
  moveItems(From.m_Requests, To.m_Requests, Room);
}

} // namespace

CrashTracker::CrashTracker(std::shared_ptr<Store> Log, StoreStatus &Status,
                           HostMetrics &Metrics)
    : m_Log(std::move(Log)), m_StoreStatus(Status), m_Metrics(Metrics),
      m_Quarantine(MaxFingerprints, RejectionPeriod), m_Parts(Metrics) {}

Task<void> CrashTracker::follow(LogQueries &Queries) {
  Cursor Position = 0;
  serving::CallBackoff Backoff(StoreRetryDelay);
  while (true) {
    const auto Confirmed =
        co_await Queries.confirm(FollowedLog::Crashes, Position);
    if (Confirmed)
      continue;
    const Instant SentAt = bootTime();
    // A call that is sent during an outage may hang even after its end, so it
    // must not wait for long.
    const CrashBatch Batch = co_await m_Log->followCrashes(
        Position,
        m_LogReachable ? Queries.readWait(MaxFollowWait) : milliseconds(0));
    const bool Answered = Batch.m_Status != FollowStatus::Unreachable;
    m_LogReachable = Answered;
    m_Metrics.onStoreCall("crashes", Answered);
    m_Metrics.onUnreadableRecords(Batch.m_MalformedRecords);
    const bool IsRepeated = Batch.m_Status == FollowStatus::HistoryCompacted &&
                            Batch.m_Next == Position;
    if (!Answered) {
      co_await m_StoreStatus.waitToRepeat(Backoff);
      continue;
    }
    Backoff.onAnswer();
    if (IsRepeated) {
      co_await timers::sleepFor(StoreRetryDelay);
      continue;
    }
    Position = Batch.m_Next;
    Queries.onRead(FollowedLog::Crashes, Position, SentAt);
    for (const CrashNews &News : Batch.m_News) {
      onMessages(News.m_Requests);
      for (const CrashMessage &Message : News.m_Requests)
        m_Quarantine.onShared(Message.m_Fingerprint, now());
      onProofs(News.m_RequestProofs);
      m_Parts.onNews(News);
    }
    if (!Batch.m_News.empty())
      co_await timers::sleepFor(FollowInterval);
  }
}

Task<void> CrashTracker::publish() {
  serving::CallBackoff Backoff(StoreRetryDelay);
  while (true) {
    if (m_Unpublished.empty())
      co_await m_PublishRequested.wait(IdleWait);
    co_await timers::sleepFor(PublishDelay);
    if (m_Unpublished.empty())
      continue;
    CrashNews Batch = takeUnpublished();
    const bool Appended = co_await m_Log->appendCrashes(Batch);
    m_Metrics.onStoreCall("crash_append", Appended);
    if (Appended) {
      Backoff.onAnswer();
      continue;
    }
    // Appending news twice does no harm.
    moveNews(m_Unpublished, Batch, MaxUnpublished - Batch.size());
    if (!m_Unpublished.empty())
      log::warning(LogCategory, "crash.not_shared",
                   {{"count", m_Unpublished.size()}});
    m_Unpublished = std::move(Batch);
    co_await m_StoreStatus.waitToRepeat(Backoff);
  }
}

CrashNews CrashTracker::takeUnpublished() {
  CrashNews Result;
  moveNews(m_Unpublished, Result, MaxNewsPerRecord);
  return Result;
}

void CrashTracker::share(CrashNews News) {
  if (News.empty())
    return;
  const std::size_t All = m_Unpublished.size() + News.size();
  moveNews(News, m_Unpublished, All);
  m_PublishRequested.notifyAll();
}

void CrashTracker::onRequestLost(const serving::Endpoint &Endpoint,
                                 const std::string &Fingerprint,
                                 const RequestId &Run) {
  m_Detector.onRequestLost(possibleCrash(Endpoint), Fingerprint, Run, now());
}

void CrashTracker::onRequestSent(const serving::Endpoint &Endpoint,
                                 const std::string &Fingerprint,
                                 const RequestId &Run,
                                 std::vector<PromptPartId> Parts) {
  m_Detector.onRequestSent(possibleCrash(Endpoint), Fingerprint, Run, now(),
                           std::move(Parts));
}

bool CrashTracker::hasLostRequests(const EndpointId &Id) const {
  return m_Detector.hasLostRequests(Id, now());
}

void CrashTracker::onSuccess(const std::string &Fingerprint) {
  CrashNews News;
  News.m_RequestProofs = m_Quarantine.onSuccess(Fingerprint, now());
  if (News.empty())
    return;
  log::info(
      LogCategory, "crash.refuted",
      {{"fingerprint", Fingerprint}, {"crashes", News.m_RequestProofs.size()}});
  m_Metrics.onCrash("refuted");
  measure(Fingerprint);
  share(std::move(News));
}

void CrashTracker::onProofs(std::span<const retry::CrashProof> Proofs) {
  for (const retry::CrashProof &Proof : Proofs) {
    if (!m_Quarantine.addProof(Proof, now()))
      continue;
    log::info(LogCategory, "crash.refutation_reported",
              {{"fingerprint", Proof.m_Fingerprint},
               {"endpoint", Proof.m_Crash.m_Endpoint},
               {"incarnation", Proof.m_Crash.m_Incarnation}});
    m_Metrics.onCrash("refutation_reported");
    measure(Proof.m_Fingerprint);
  }
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

void CrashTracker::onNoticed(std::span<const retry::CrashReport> Ended) {
  CrashNews News = m_Parts.onCrash(Ended);
  for (const retry::CrashReport &Report : Ended) {
    if (!m_Quarantine.add(Report, now()))
      continue;
    log::warning(LogCategory, "request.crashed_endpoint", describe(Report));
    m_Metrics.onCrash("observed");
    measure(Report.m_Fingerprint);
    News.m_Requests.push_back(toMessage(Report));
  }
  share(std::move(News));
}

void CrashTracker::onEndpointDown(const EndpointId &Id) {
  onNoticed(m_Detector.popLostRequests(Id, now()));
}

void CrashTracker::onEndpointCrashed(const EndpointId &Id) {
  onEndpointDown(Id);
  onNoticed(m_Detector.popRunningRequests(Id, now()));
}

void CrashTracker::onMessages(std::span<const CrashMessage> Messages) {
  std::size_t Added = 0;
  for (const CrashMessage &Message : Messages) {
    // Requests that this host lost there were lost by the same crash.
    onNoticed(m_Detector.popLostRequests(Message.m_Crash, now()));
    const retry::CrashReport Reported = toReport(Message);
    if (!m_Quarantine.add(Reported, now()))
      continue;
    ++Added;
    m_Metrics.onCrash("reported");
    measure(Message.m_Fingerprint);
    // A request that has ended with one endpoint need not be the cause.
    if (m_Quarantine.crashCount(Message.m_Fingerprint, now()) > 1)
      logReported(Reported, Message.m_NoticedAtUnixMs);
  }
  if (Added > 0)
    log::info(LogCategory, "crash.reports", {{"runs", Added}});
}

void CrashTracker::logReported(const retry::CrashReport &Reported,
                               std::int64_t NoticedAtUnixMs) const {
  nlohmann::json Fields = describe(Reported);
  Fields["noticed_unix_ms"] = NoticedAtUnixMs;
  log::info(LogCategory, "crash.reported", std::move(Fields));
}

void CrashTracker::onRejected(const std::string &Fingerprint) {
  CrashNews News;
  for (const retry::CrashReport &Report :
       m_Quarantine.reportsToShareAgain(Fingerprint, now()))
    News.m_Requests.push_back(toMessage(Report));
  share(std::move(News));
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
