#include "Host/RequestSession.h"

#include <algorithm>

namespace sff::host {

namespace {

/// A repeatable request is offered to another endpoint after this multiple of
/// its target latency without a response, but not before the minimum.
constexpr int SilenceTimeoutFactor = 3;
constexpr milliseconds MinSilenceTimeout{400};
/// The same for a pause in a stream that can be resumed at another endpoint.
constexpr milliseconds StreamSilenceTimeout{1500};
constexpr int HttpOk = 200;
constexpr int FirstServerErrorStatus = 500;

} // namespace

milliseconds RequestSession::silenceTimeout() const {
  if (m_HeadSent)
    return StreamSilenceTimeout;
  return std::max(m_Route->m_Kind == serving::RouteKind::Stream
                      ? StreamSilenceTimeout
                      : MinSilenceTimeout,
                  SilenceTimeoutFactor * m_Route->m_TargetLatency);
}

std::optional<EndpointId> RequestSession::chooseBackup() {
  // Attempts in flight count as if their endpoints ran the request.
  serving::AttemptHistory Assumed = m_History;
  for (const auto &Active : {m_Current, m_Backup}) {
    if (!Active)
      continue;
    Assumed.onPossiblyExecuted(Active->endpoint());
    Assumed.exclude(Active->endpoint());
    if (!Active->hasAnswered())
      Assumed.onSent();
  }
  if (!m_Route->isIdempotent() || !Assumed.canTryAnotherEndpoint() ||
      Assumed.sends() >= MaxSends ||
      !m_State.budget(m_Service->m_Name).allows(now()) ||
      !m_State.m_SendLimit.allows(m_Service->m_Name) || isQuarantined() ||
      !identifyCaller().isAdmitted())
    return std::nullopt;
  auto List = candidates();
  std::erase_if(List, [&, Now = now()](const serving::Endpoint *Item) {
    return Assumed.isExcluded(Item->id()) ||
           m_State.m_Chooser.health().isSuspended(Item->id(), Now);
  });
  return m_State.m_Chooser.choose(List, choiceContext(Assumed.excluded()),
                                  now());
}

bool RequestSession::mustLeave() {
  return mustPassOn() && canPassOn() &&
         m_State.m_Links.silence() >= silenceTimeout();
}

void RequestSession::startSilenceTimer(Instant From) {
  m_SilenceTimer.expires_at(From + silenceTimeout());
  m_SilenceTimer.async_wait(
      [Self = shared_from_this(), Weak = std::weak_ptr<Attempt>(m_Current)](
          const boost::system::error_code &Error) {
        const auto Watched = Weak.lock();
        if (Error || Self->m_Ended || !Watched || Watched != Self->m_Current)
          return;
        if (Self->m_IsDelivering)
          Watched->onProgress();
        if (now() - Watched->lastProgressAt() < Self->silenceTimeout()) {
          Self->startSilenceTimer(Watched->lastProgressAt());
          return;
        }
        if (Self->mustLeave()) {
          Watched->supersede();
          return;
        }
        Self->onSilence();
        Self->startSilenceTimer(now());
      });
}

void RequestSession::onSilence() {
  bool HasChoice = chooseBackup().has_value();
  if (!HasChoice && !m_Backup) {
    // Endpoints that refused the request may have room by now.
    m_History.clearExclusions(false);
    HasChoice = chooseBackup().has_value();
  }
  m_State.m_Metrics.onSilence(HasChoice ? "tries_another" : "waits");
  const Duration Silent = now() - m_Current->lastProgressAt();
  logEvent("request.silent",
           {{"endpoint", m_Current->endpoint()},
            {"silent_ms", toMilliseconds(Silent).count()},
            {"begun", m_HeadSent},
            {"tries_another", HasChoice},
            {"backup", m_Backup ? m_Backup->endpoint().str() : std::string()},
            {"sends", m_History.sends()}});
  if (!HasChoice)
    return;
  // Its coroutine goes on to the next endpoint.
  if (m_Backup)
    m_Backup->cancel();
  else
    m_State.spawn("backup_attempts", runBackups(shared_from_this()));
}

Task<void> RequestSession::runBackups(std::shared_ptr<RequestSession> Self) {
  const std::weak_ptr<Attempt> Silent = Self->m_Current;
  const Instant SilentSince = Self->m_Current->lastProgressAt();
  const auto IsSilent = [&] {
    const auto Watched = Silent.lock();
    return !Self->isOver() && !Self->m_Ended && Watched &&
           Watched == Self->m_Current &&
           Watched->lastProgressAt() == SilentSince;
  };
  bool IsTaken = false;
  while (!IsTaken && IsSilent()) {
    const auto Chosen = Self->chooseBackup();
    if (!Chosen)
      break;
    IsTaken = co_await Self->tryBackup(*Chosen);
  }
  if (IsTaken && IsSilent())
    Self->m_Current->supersede();
  Self->m_BackupSettled.notifyAll();
}

Task<bool> RequestSession::tryBackup(EndpointId Id) {
  const auto Remote = m_State.addressOf(Id);
  const bool IsPaid =
      Remote && (std::exchange(m_RetryGranted, false) ||
                 m_State.budget(m_Service->m_Name).tryRetry(now()));
  if (!IsPaid) {
    m_History.exclude(Id);
    co_return false;
  }
  const auto Backup = startAttempt(Id);
  m_Backup = Backup;
  m_State.m_Metrics.onRetry();
  http::OpenResult Result = co_await open(Backup, *Remote);
  if (m_Backup == Backup)
    m_Backup.reset();
  if (const auto *Failure = std::get_if<http::TransportFailure>(&Result))
    co_return onBackupFailed(*Backup, *Failure);
  co_return onBackupOpened(Backup, std::get<OpenStream>(std::move(Result)));
}

bool RequestSession::onBackupFailed(Attempt &Failed,
                                    const http::TransportFailure &Failure) {
  const bool WasCancelled = Failed.canceller()->cancelled();
  if (!Failure.isKnownNotSent()) {
    onBackupLost(Failed, WasCancelled ? serving::CallResult::Silent
                                      : serving::CallResult::Broken);
    return false;
  }
  Failed.onNotRun();
  m_History.exclude(Failed.endpoint());
  m_RetryGranted = true;
  if (!WasCancelled && Failure.m_Stage == http::FailureStage::Connect)
    m_State.spawn("attribute_crash",
                  reportUnreachable(shared_from_this(), Failed.endpoint()));
  return false;
}

bool RequestSession::onBackupOpened(const std::shared_ptr<Attempt> &Opened,
                                    OpenStream Answer) {
  m_State.m_Links.onData();
  const ResponseMetadata Facts =
      m_State.m_Platform.m_WireFormat->decode(Answer->head());
  if (Facts.m_NotRun) {
    m_History.onSent();
    recordRefusal(*Opened, Facts, Answer->head().m_Status);
    return false;
  }
  // A failure is no reason to end an attempt that may still succeed, and only
  // a success goes on with a stream that has begun.
  const int Status = Answer->head().m_Status;
  const bool IsUseful =
      !m_Current ||
      (m_HeadSent ? Status == HttpOk : Status < FirstServerErrorStatus);
  if (!Facts.m_Sealed || !IsUseful || Opened->canceller()->cancelled()) {
    onBackupLost(*Opened, serving::CallResult::Broken);
    return false;
  }
  m_DispatchGuard.markSent();
  m_Taken = OpenedAttempt{Opened, std::move(Answer)};
  return true;
}

void RequestSession::onBackupLost(const Attempt &Lost,
                                  serving::CallResult Result) {
  const EndpointId &Id = Lost.endpoint();
  m_History.onSent();
  m_History.exclude(Id);
  m_History.onPossiblyExecuted(Id);
  m_DispatchGuard.markSent();
  recordPossibleLoss(Id);
  // A backup that is no longer needed says nothing of its endpoint.
  if (!Lost.isSuperseded() && !isOver() && !m_Ended)
    m_State.m_Chooser.health().onResult(Id, Result, now());
}

Task<void> RequestSession::waitForBackup() {
  const auto Waited = m_Backup;
  co_await m_BackupSettled.wait(
      std::min<Duration>(remainingTime(), silenceTimeout()));
  const bool IsOpen = m_Backup && m_Backup == Waited;
  if (IsOpen && (mustLeave() || chooseBackup()))
    Waited->cancel();
}

void RequestSession::onProgress() {
  m_Current->onProgress();
  m_State.m_Links.onData();
  if (const auto Unneeded = std::exchange(m_Backup, nullptr))
    Unneeded->supersede();
  // It goes on from an event that may be in the past now.
  m_Taken.reset();
}

Task<RequestSession::Step> RequestSession::goOnWithBackup() {
  const OpenedAttempt Taken = std::move(*std::exchange(m_Taken, std::nullopt));
  logEvent("request.taken_over",
           {{"endpoint", Taken.m_Attempt->endpoint()}, {"begun", m_HeadSent}});
  m_Current = Taken.m_Attempt;
  const auto Watch = watchCurrent();
  co_return co_await onOpened(Taken.m_Answer);
}

} // namespace sff::host
