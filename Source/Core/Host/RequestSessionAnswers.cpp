#include "Host/RequestSession.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Routing;

constexpr int HttpOk = 200;
constexpr int FirstServerErrorStatus = 500;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// How the body of an answer ended, as metrics and log lines name it.
constexpr std::string_view EndComplete = "complete";
constexpr std::string_view EndBroken = "broken";
constexpr std::string_view EndInsideEvent = "inside_event";
constexpr std::string_view EndUnproved = "unproved";

/// Detail of an answer without a mark of its end, for which there is no proof.
constexpr const char *UnconfirmedEnd = "the end of the answer is not confirmed";

} // namespace

Task<RequestSession::Step> RequestSession::onHead(EndpointId Id,
                                                  OpenStream Answer) {
  const http::Response &Head = Answer->head();
  const ResponseMetadata Facts = m_State.m_Platform.m_WireFormat->decode(Head);
  if (Facts.m_NotRun) {
    Answer->close();
    co_return co_await onNotRun(Facts, Head.m_Status);
  }
  m_History.onPossiblyExecuted(Id);
  m_DispatchGuard.markSent();
  if (!Facts.m_Sealed) {
    Answer->close();
    co_return co_await onIncompleteResponse(Id, serving::CallResult::Broken,
                                            "the answer has no seal");
  }
  const bool HasFailed = Head.m_Status >= FirstServerErrorStatus;
  const bool IsStream =
      m_Route->m_Kind == serving::RouteKind::Stream && Head.m_Status == HttpOk;
  // A second attempt may still succeed, and no other answer may reach the
  // caller of a stream that has begun.
  if ((HasFailed && (m_Backup || m_Taken)) || (m_HeadSent && !IsStream)) {
    Answer->close();
    co_return onUnusableAnswer(Id, Head.m_Status);
  }
  onProgress();
  m_Current->onAnswerBegun();
  m_Sessions.record(m_Facts.m_Session, Id);
  if (IsStream)
    co_return co_await forwardStream(Id, std::move(Answer));
  co_return co_await forwardBuffered(Id, std::move(Answer));
}

RequestSession::Step RequestSession::onUnusableAnswer(const EndpointId &Id,
                                                      int Status) {
  m_History.exclude(Id);
  if (Status >= FirstServerErrorStatus)
    m_State.m_Chooser.health().onResult(Id, serving::CallResult::Failed, now());
  logEvent("request.failed_at_endpoint",
           {{"endpoint", Id}, {"status", Status}});
  return Step::TryAgain;
}

void RequestSession::recordReports(const Attempt &Answered,
                                   const ResponseMetadata &Facts) {
  const EndpointId &Id = Answered.endpoint();
  std::optional<std::int64_t> Load;
  if (Facts.m_Load) {
    Load = Facts.m_Load->m_Running + Facts.m_Load->m_Waiting;
    m_State.m_Chooser.onReport(Id, *Load, now());
    if (Facts.m_Load->m_WorkTime)
      m_State.m_Chooser.speeds().onReport(Id, *Facts.m_Load->m_WorkTime, now());
  }
  const serving::Endpoint *Endpoint = m_State.m_Endpoints.find(Id);
  // An endpoint that names a time without requests is not full after it.
  if (Facts.m_WasFull && Endpoint && !Facts.m_Notice.m_RetryAfter)
    m_State.m_Chooser.onRejected(*Endpoint, Load, now());
  recordRoom(Answered, Facts);
  if (!Facts.isFromEndpoint())
    return;
  // A rejection takes no time, however slow the endpoint is.
  if (!Facts.m_NotRun && !Answered.isSuperseded())
    m_State.m_Chooser.health().onLatency(Id, now() - Answered.sentAt(), now());
  m_State.onNotice(Id, Answered.registration(), Facts.m_Notice, "request",
                   m_Facts.m_Id.str());
  if (!m_State.m_Endpoints.find(Id))
    return;
  recordRateLimit(Answered, Facts);
  recordCapacity(Answered, Facts);
}

void RequestSession::recordFirstByte(Attempt &Answered, int Status) {
  const auto Made = Answered.takeChoice();
  if (!Made || !isSuccess(Status))
    return;
  const Duration Taken = now() - Answered.sentAt();
  m_State.m_Chooser.speeds().onAnswer(Answered.endpoint(), Made->m_Work, Taken,
                                      now());
  if (Made->m_ExpectedFirstByte)
    m_State.m_Metrics.onExpectedFirstByte(Taken, *Made->m_ExpectedFirstByte);
}

void RequestSession::recordRoom(const Attempt &Answered,
                                const ResponseMetadata &Facts) {
  const EndpointId &Id = Answered.endpoint();
  AdmissionControl &Admission = m_State.m_Admission;
  std::optional<std::int64_t> Load;
  if (Facts.m_Load)
    Load = Facts.m_Load->m_Running + Facts.m_Load->m_Waiting;
  if (Load && !Facts.m_WasFull)
    Admission.onReport(Id, *Load, now());
  const bool LacksRoom = Facts.m_WasFull && !Facts.m_AddressReused &&
                         !Facts.m_ModelNotLoaded &&
                         !Facts.m_Notice.m_RetryAfter;
  if (LacksRoom)
    Admission.onRejected(Id, Load, now());
  else if (!Facts.m_NotRun)
    Admission.onAccepted(
        Id, admission::workOf(m_Facts.m_PromptTokens, m_Facts.m_OutputTokens),
        now() - Answered.sentAt(), now());
}

void RequestSession::recordRateLimit(const Attempt &Answered,
                                     const ResponseMetadata &Facts) {
  const EndpointId &Id = Answered.endpoint();
  if (!m_State.m_RateLimits.onAnswer(Id, Facts.m_RateLimit, Answered.sentAt(),
                                     now()))
    return;
  logEvent(
      "endpoint.rate_limit",
      {{"endpoint", Id},
       {"per_second", Facts.m_RateLimit ? nlohmann::json(*Facts.m_RateLimit)
                                        : nlohmann::json()},
       {"hosts", m_State.hosts()}});
  m_State.m_Metrics.setLimitedEndpoints(
      m_State.m_RateLimits.limitedEndpoints());
}

void RequestSession::recordCapacity(const Attempt &Answered,
                                    const ResponseMetadata &Facts) {
  const EndpointId &Id = Answered.endpoint();
  const serving::Endpoint *Endpoint = m_State.m_Endpoints.find(Id);
  if (!Endpoint)
    return;
  serving::RejectionLimits &Limits = m_State.m_RejectionLimits;
  serving::CapacityReport Report;
  Report.m_MaxRejections = Facts.m_MaxRejections;
  Report.m_WasRejected = Facts.m_WasFull;
  if (Facts.m_Load)
    Report.m_Load = Facts.m_Load->m_Running + Facts.m_Load->m_Waiting;
  if (Facts.m_IsMaxRejectionsUnreadable) {
    logEvent("endpoint.rejection_limit_unreadable", {{"endpoint", Id}});
    // What cannot be read changes nothing.
    if (!Report.m_MaxRejections)
      Report.m_MaxRejections = Limits.limitOf(*Endpoint, now());
  }
  if (!Limits.onAnswer(*Endpoint, Report, Answered.sentAt(), now()))
    return;
  logEvent("endpoint.rejection_limit",
           {{"endpoint", Id},
            {"per_second", Report.m_MaxRejections
                               ? nlohmann::json(*Report.m_MaxRejections)
                               : nlohmann::json()},
            {"load",
             Report.m_Load ? nlohmann::json(*Report.m_Load) : nlohmann::json()},
            {"hosts", m_State.hosts()}});
  m_State.m_Metrics.setRejectionLimitedEndpoints(Limits.limitedEndpoints());
}

Task<RequestSession::Step> RequestSession::forwardBuffered(EndpointId Id,
                                                           OpenStream Answer) {
  const int Status = Answer->head().m_Status;
  recordFirstByte(*m_Current, Status);
  std::string Body;
  while (true) {
    auto Next = co_await Answer->read();
    if (auto *Failure = std::get_if<http::TransportFailure>(&Next)) {
      recordAnswerEnd(Id, Answer->head(), EndBroken);
      co_return co_await onIncompleteResponse(Id, resultOf(*Failure),
                                              Failure->m_Detail);
    }
    if (!m_Current->isSuperseded())
      onProgress();
    std::string &Chunk = std::get<std::string>(Next);
    if (Chunk.empty())
      break;
    if (!appendToBody(Body, Chunk)) {
      Answer->close();
      co_return co_await onIncompleteResponse(Id, serving::CallResult::Broken,
                                              "the body is too long");
    }
  }
  recordAnswerEnd(Id, Answer->head(), EndComplete);
  m_SilenceTimer.cancel();
  const bool Confirmed =
      co_await confirmEnd(Answer->head().m_EndsWithConnection);
  if (!Confirmed)
    co_return co_await onIncompleteResponse(Id, serving::CallResult::Broken,
                                            UnconfirmedEnd);
  const bool Failed = Status >= FirstServerErrorStatus;
  m_State.m_Chooser.health().onResult(
      Id, Failed ? serving::CallResult::Failed : serving::CallResult::Success,
      now());
  const bool Repeat = Failed && m_Route->isIdempotent() &&
                      candidates().size() > m_History.excluded().size() + 1 &&
                      tryAcquireRetry();
  if (Repeat) {
    m_History.exclude(Id);
    m_RetryGranted = true;
    logEvent("request.failed_at_endpoint",
             {{"endpoint", Id}, {"status", Status}});
    co_return Step::TryAgain;
  }
  http::Response Final = makeAnswerHead(Answer->head());
  Final.m_Body = std::move(Body);
  if (isSuccess(Status) && !Final.m_EndsWithConnection)
    recordCompletion();
  m_State.m_Metrics.onFirstByte(now() - m_ArrivedAt);
  const bool Delivered = co_await m_Caller.respond(std::move(Final));
  recordOutcome(Delivered ? "answered" : "caller_gone", Status, "");
  co_return Step::Finished;
}

bool RequestSession::mayHold(std::size_t Size, std::size_t Limit) {
  if (Size <= Limit && m_AnswerMemory.resize(Size))
    return true;
  m_State.m_Metrics.onAnswerTooLong(Size > Limit ? "single" : "together");
  logEvent("answer.too_long", {{"bytes", Size},
                               {"limit", Limit},
                               {"held_by_all", m_State.m_AnswerMemory.used()}});
  return false;
}

bool RequestSession::appendToBody(std::string &Body, std::string_view Chunk) {
  if (!mayHold(Body.size() + Chunk.size(), MaxBodyBytes))
    return false;
  Body += Chunk;
  return true;
}

Task<RequestSession::Step> RequestSession::forwardStream(EndpointId Id,
                                                         OpenStream Answer) {
  if (m_HeadSent)
    m_State.m_Metrics.onResume();
  StreamResult End = co_await copyStream(Id, Answer);
  m_SilenceTimer.cancel();
  if (End == StreamResult::Complete) {
    const bool Confirmed =
        co_await confirmEnd(Answer->head().m_EndsWithConnection);
    if (!Confirmed)
      End = StreamResult::EndpointFailed;
  }
  if (End == StreamResult::Complete) {
    m_State.m_Chooser.health().onResult(Id, serving::CallResult::Success,
                                        now());
    if (!Answer->head().m_EndsWithConnection)
      recordCompletion();
    co_await m_Caller.endStream();
    recordOutcome("answered", Answer->head().m_Status, "");
    co_return Step::Finished;
  }
  Answer->close();
  if (End == StreamResult::CallerGone) {
    recordOutcome("caller_gone", 0, "");
    co_return Step::Finished;
  }
  m_Events.discardPartial();
  co_return co_await onIncompleteResponse(Id,
                                          m_Current->isSuperseded()
                                              ? serving::CallResult::Silent
                                              : serving::CallResult::Broken,
                                          "the stream broke");
}

Task<RequestSession::StreamResult>
RequestSession::copyStream(EndpointId Id, OpenStream Answer) {
  while (true) {
    auto Next = co_await Answer->read();
    if (m_CallerGone)
      co_return StreamResult::CallerGone;
    // Bytes that were received before the connection was closed may still come.
    if (m_Current->isSuperseded())
      co_return StreamResult::EndpointFailed;
    if (std::holds_alternative<http::TransportFailure>(Next)) {
      recordAnswerEnd(Id, Answer->head(), EndBroken);
      co_return StreamResult::EndpointFailed;
    }
    onProgress();
    const std::string &Chunk = std::get<std::string>(Next);
    std::string Complete = m_Events.append(Chunk);
    if (!mayHold(m_Events.partialEvent().size(), MaxEventBytes))
      co_return StreamResult::EndpointFailed;
    if (Chunk.empty() && !checkStreamEnd(Id, Answer->head()))
      co_return StreamResult::EndpointFailed;
    recordFirstByte(*m_Current, Answer->head().m_Status);
    if (!m_HeadSent) {
      logEvent(
          "request.streaming",
          {{"endpoint", Id},
           {"first_byte_ms", toMilliseconds(now() - m_ArrivedAt).count()}});
      const bool Begun = co_await beginStream(Answer->head());
      if (!Begun)
        co_return StreamResult::CallerGone;
    }
    if (!Complete.empty()) {
      onFirstEvent();
      m_IsDelivering = true;
      const bool Written = co_await m_Caller.writeChunk(Complete);
      m_IsDelivering = false;
      if (!Written)
        co_return StreamResult::CallerGone;
      m_LastEventAt = now();
    }
    if (Chunk.empty())
      co_return StreamResult::Complete;
  }
}

http::Response
RequestSession::makeAnswerHead(const http::Response &Head) const {
  http::Response Result =
      m_State.m_Platform.m_WireFormat->makeCallerResponse(Head);
  for (const std::string_view Name : {std::string_view("Content-Length"),
                                      RelayOutcomeHeader, RelayEndpointHeader})
    Result.m_Headers.erase(std::string(Name));
  if (m_Origin == RequestOrigin::Host && m_Current)
    Result.m_Headers.set(std::string(RelayEndpointHeader),
                         m_Current->endpoint().str());
  return Result;
}

Task<bool> RequestSession::beginStream(http::Response Head) {
  m_CallerReadsToEnd = Head.m_EndsWithConnection;
  http::Response Begun = makeAnswerHead(Head);
  m_State.m_Metrics.onFirstByte(now() - m_ArrivedAt);
  m_HeadSent = true;
  m_IsDelivering = true;
  const bool IsBegun = co_await m_Caller.beginStream(std::move(Begun));
  m_IsDelivering = false;
  co_return IsBegun;
}

bool RequestSession::checkStreamEnd(const EndpointId &Id,
                                    const http::Response &Head) {
  const bool InsideEvent = !m_Events.partialEvent().empty();
  // The end of the connection shows neither that an answer without an event is
  // complete, nor that one is whose caller expects a mark of the end.
  const bool IsUnproved =
      Head.m_EndsWithConnection && (!m_HeadSent || !m_CallerReadsToEnd);
  recordAnswerEnd(Id, Head,
                  InsideEvent  ? EndInsideEvent
                  : IsUnproved ? EndUnproved
                               : EndComplete);
  return !InsideEvent && !IsUnproved;
}

void RequestSession::recordCompletion() {
  m_State.m_Crashes.onSuccess(m_Fingerprint);
  m_State.m_Crashes.onCompleted(m_Facts.m_PromptParts,
                                m_Current->answerBegunAt());
  // The rest of a stream takes less time than a whole one.
  if (m_Service->m_Engine && !isTakenUp() && m_History.sends() <= 1)
    m_Demands.onCompleted(m_Route->m_Name, m_Current->endpoint(),
                          m_Current->sentAt());
}

void RequestSession::recordPossibleLoss(const EndpointId &Id) {
  if (m_State.m_Links.isIsolated())
    return;
  if (const auto *Known = m_State.m_Endpoints.find(Id))
    m_State.m_Crashes.onRequestLost(*Known, m_Fingerprint, m_Facts.m_Id);
}

void RequestSession::recordAnswerEnd(const EndpointId &Id,
                                     const http::Response &Head,
                                     std::string_view End) {
  const std::string_view Framing =
      Head.m_EndsWithConnection ? "connection" : "marked";
  m_State.m_Metrics.onAnswer(Framing, End);
  if (End == EndComplete && !Head.m_EndsWithConnection)
    return;
  logEvent("answer.ended",
           {{"endpoint", Id}, {"framing", Framing}, {"end", End}});
}

Task<void> RequestSession::endWithFailure(std::string_view Reason,
                                          milliseconds RetryAfter) {
  if (m_CallerGone) {
    recordOutcome("caller_gone", 0, Reason);
    co_return;
  }
  if (m_HeadSent) {
    m_Caller.abort();
    recordOutcome("broken_off", 0, Reason);
    co_return;
  }
  if (m_DispatchGuard.mayHaveBeenSent()) {
    const bool IsTimeout = m_Expired && !endsWithProcess();
    co_await respondWithProblem(IsTimeout ? 504 : 502, Reason, std::nullopt);
    co_return;
  }
  co_await refuse(Reason, RetryAfter);
}

Task<void> RequestSession::refuse(std::string_view Reason,
                                  milliseconds RetryAfter) {
  // NotRun aborts the process when an endpoint may have run the request.
  const execution::NotRun Proof(m_DispatchGuard, execution::Reason::NoReplica,
                                RetryAfter, std::string(Reason));
  co_await respondWithProblem(503, Reason, Proof.retryAfter());
}

Task<void>
RequestSession::respondWithProblem(int Status, std::string_view Reason,
                                   std::optional<milliseconds> RetryAfter) {
  nlohmann::json Extra = {{"reason", Reason},
                          {"outcome", Status == 502 || Status == 504
                                          ? "outcome_unknown"
                                          : "not_run"}};
  http::Response Answer =
      http::makeProblem(Status, "request not served", Reason, std::move(Extra));
  if (RetryAfter)
    Answer.m_Headers.set("Retry-After",
                         std::to_string(toSeconds(*RetryAfter)).substr(0, 5));
  if (m_Origin == RequestOrigin::Host)
    markRelayOutcome(Answer, Reason);
  co_await m_Caller.respond(std::move(Answer));
  recordOutcome(RetryAfter ? "refused" : "failed", Status, Reason);
}

void RequestSession::recordOutcome(std::string_view Outcome, int Status,
                                   std::string_view Reason) {
  const Duration Taken = now() - m_ArrivedAt;
  m_State.m_Metrics.onOutcome(Outcome, Reason, Taken);
  nlohmann::json Fields = {{"outcome", Outcome},
                           {"status", Status},
                           {"reason", Reason},
                           {"sends", m_History.sends()},
                           {"took_ms", toMilliseconds(Taken).count()}};
  if (m_State.m_StopBegunAt)
    Fields["arrived_after_stop_ms"] =
        toMilliseconds(m_ArrivedAt - *m_State.m_StopBegunAt).count();
  logEvent("request.finished", std::move(Fields));
}

void RequestSession::logEvent(std::string_view Event,
                              nlohmann::json Fields) const {
  log::request(LogCategory, Event, m_Facts.m_Id.str(), m_Facts.m_Model.str(),
               std::move(Fields));
}

} // namespace sff::host
