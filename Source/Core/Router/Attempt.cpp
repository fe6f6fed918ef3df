#include "Router/Attempt.h"

#include "Router/EndpointApi.h"

namespace sff::router {

namespace {

// Interval at which a waiting attempt checks its caller and its deadline.
constexpr milliseconds PollPeriod{50};
// Consecutive resumptions without a new token after which a stream is given up.
constexpr int MaxResumesWithoutProgress = 5;
// Limits the rate of resumptions that fail immediately.
constexpr milliseconds ResumeDelay{10};
// Grace period for a response that was in transit while the inventory was read.
constexpr milliseconds InventoryGracePeriod{500};
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr milliseconds DeadlineMargin{1000};
constexpr int FirstServerError = 500;
constexpr int NotFound = 404;

/// Keeps a connection open while its endpoint sends nothing. Probes, not a read
/// timeout, detect a failed endpoint.
constexpr std::chrono::hours StreamReadTimeout{1};

} // namespace

Attempt::Attempt(FrontEndState &State, const CallerRequest &Request,
                 const Placement &Assigned, http::Exchange &Caller)
    : m_State(State), m_Request(Request), m_Assigned(Assigned),
      m_Caller(Caller) {}

http::Request Attempt::makeRequest() const {
  http::Request Result = m_Request.m_ForwardedRequest;
  addAttemptIds(Result.m_Headers, m_Assigned);
  Result.m_Headers.set(
      "X-Priority",
      nlohmann::json(m_Request.m_Placement.m_Class).get<std::string>());
  Result.m_Headers.set("X-Router-Incarnation", m_State.m_Incarnation.str());
  return Result;
}

http::ClientOptions Attempt::makeOptions() const {
  http::ClientOptions Options;
  const auto Left =
      toMilliseconds(m_Request.m_Placement.m_Deadline - now()) + DeadlineMargin;
  Options.m_ReadTimeout =
      m_Request.m_Stream ? milliseconds(StreamReadTimeout) : Left;
  Options.m_ConnectTimeout =
      std::min(Options.m_ConnectTimeout, m_State.m_Options.m_ProgressTimeout);
  return Options;
}

void Attempt::fail(std::string Detail) {
  m_Detail = std::move(Detail);
  if (m_Call)
    m_Call->closeConnection();
  m_Result =
      m_Caller.started() ? AttemptResult::Interrupted : AttemptResult::Lost;
}

Attempt::Task<void> Attempt::run() {
  const auto Addr = http::Address::parse(m_Assigned.m_Address);
  if (!Addr) {
    m_Detail = "the endpoint's address is not known";
    m_Result = AttemptResult::NotSent;
    co_return;
  }
  m_EndpointAddress = *Addr;
  m_LastProgress = now();
  m_Call = EndpointCall::start(m_State, m_EndpointAddress, makeRequest(),
                               makeOptions());
  while (!m_Result) {
    auto Event = co_await m_Call->next(PollPeriod);
    if (Event)
      co_await onEvent(std::move(*Event));
    else
      co_await checkTimeouts();
  }
  m_Call->closeConnection();
}

Attempt::Task<void> Attempt::onEvent(CallEvent Event) {
  if (const auto *Failure = std::get_if<http::TransportFailure>(&Event)) {
    recordFailure(*Failure);
    if (!m_Result)
      co_await onBrokenConnection();
    co_return;
  }
  m_LastProgress = now();
  if (const auto *Head = std::get_if<http::Response>(&Event))
    onHead(*Head);
  else if (const auto *Chunk = std::get_if<std::string>(&Event))
    onBodyChunk(*Chunk);
  else if (!isStreaming())
    finishResponse();
  if (isStreaming() && !m_Result)
    co_await deliverEvents();
  if (isStreaming() && !m_Result && std::holds_alternative<CallEnd>(Event))
    co_await endStream();
}

void Attempt::onHead(const http::Response &Head) {
  if (!echoesAttemptIds(Head.m_Headers, m_Assigned,
                        m_Request.m_TargetsEngine && Head.m_Status == 200)) {
    m_State.m_Metrics.mismatches().Increment();
    m_State.m_Client.dropIdle(m_EndpointAddress);
    fail("the answer belongs to another request");
    return;
  }
  const bool Unloaded = Head.m_Status == NotFound;
  if (m_Request.m_TargetsEngine &&
      (Head.m_Status >= FirstServerError || Unloaded)) {
    fail("the endpoint answered with status " + std::to_string(Head.m_Status));
    return;
  }
  m_Status = Head.m_Status;
  m_EndsWithConnection = Head.m_EndsWithConnection;
  m_Answer.m_Status = Head.m_Status;
  m_Answer.m_ContentType = Head.m_Headers.find("Content-Type").value_or("");
}

void Attempt::onBodyChunk(std::string_view Chunk) {
  if (isStreaming()) {
    m_Events.append(Chunk);
    return;
  }
  m_Answer.m_Body += Chunk;
  if (m_Answer.m_Body.size() > MaxAnswerBytes)
    fail("the answer exceeds the limit of this host");
}

Attempt::Task<void> Attempt::deliverEvents() {
  while (auto Event = m_Events.next()) {
    if (Event->m_Kind == streaming::EventKind::Cancelled) {
      co_await recoverFromConnectionLoss();
      co_return;
    }
    const bool Sent = co_await deliver(std::move(*Event));
    if (!Sent) {
      m_Result = AttemptResult::CallerGone;
      co_return;
    }
  }
}

Attempt::Task<bool> Attempt::deliver(streaming::StreamEvent Event) {
  if (!m_Caller.started()) {
    http::Response Head;
    Head.m_Headers.set("Content-Type", "text/event-stream");
    Head.m_Headers.set("Cache-Control", "no-cache");
    Head.m_Headers.set("X-Request-Id", m_Assigned.m_Request.str());
    if (!co_await m_Caller.beginStream(std::move(Head)))
      co_return false;
    const Duration Elapsed = now() - m_Request.m_Placement.m_Arrival;
    m_State.m_Metrics.onFirstToken(m_Request.m_Placement.m_Class, Elapsed);
    log::request(log::Category::Http, "request.first_token",
                 m_Assigned.m_Request.str(), m_Assigned.m_Entry.str(),
                 {{"after_ms", toMilliseconds(Elapsed).count()}});
  }
  m_ResumesWithoutProgress = 0;
  m_Finished = m_Finished || Event.m_Kind == streaming::EventKind::Finish;
  m_Done = m_Done || Event.m_Kind == streaming::EventKind::Done;
  co_return co_await m_Caller.writeChunk(Event.m_Text);
}

void Attempt::finishResponse() {
  if (m_Request.m_TargetsEngine &&
      streaming::isCancelledAnswer(m_Answer.m_Body))
    fail("the endpoint gave the request up");
  else if (m_EndsWithConnection)
    fail("the answer is not known to be complete");
  else
    m_Result = AttemptResult::Answered;
}

Attempt::Task<void> Attempt::endStream() {
  const bool IsUnproved = m_EndsWithConnection && !m_Done;
  if (m_Events.hasPartial() || !m_Caller.started() || IsUnproved) {
    co_await recoverFromConnectionLoss();
    co_return;
  }
  const bool Sent = co_await m_Caller.endStream();
  m_Result = Sent ? AttemptResult::Streamed : AttemptResult::CallerGone;
}

void Attempt::recordFailure(const http::TransportFailure &Failure) {
  m_Detail = Failure.m_Detail;
  m_TimedOut = Failure.m_TimedOut;
  if (!Failure.isKnownNotSent())
    return;
  m_EndpointDown = Failure.m_Stage == http::FailureStage::Connect;
  m_Result = AttemptResult::NotSent;
}

Attempt::Task<void> Attempt::onBrokenConnection() {
  const bool Alive = co_await probe(m_State, m_EndpointAddress);
  if (Alive) {
    co_await recoverFromConnectionLoss();
    co_return;
  }
  m_EndpointDown = true;
  m_EndpointCrashed = !m_TimedOut;
  fail("the endpoint was lost: " + m_Detail);
}

Attempt::Task<void> Attempt::checkTimeouts() {
  if (m_Caller.isCallerDisconnected()) {
    m_Result = AttemptResult::CallerGone;
  } else if (now() >= m_Request.m_Placement.m_Deadline && !m_Caller.started()) {
    m_Detail = "the deadline passed before the answer";
    m_Result = AttemptResult::Expired;
  } else if (now() - m_LastProgress >= m_State.m_Options.m_ProgressTimeout) {
    co_await onProgressTimeout();
  }
}

Attempt::Task<void> Attempt::onProgressTimeout() {
  const bool Alive = co_await probe(m_State, m_EndpointAddress);
  log::request(log::Category::Routing, "request.silence",
               m_Assigned.m_Request.str(), m_Assigned.m_Entry.str(),
               {{"endpoint", m_Assigned.m_Endpoint.str()}, {"alive", Alive}});
  m_LastProgress = now();
  if (!Alive) {
    m_EndpointDown = true;
    fail("the endpoint went silent");
  } else if (canResume()) {
    co_await recoverFromConnectionLoss();
  } else if (m_Request.m_TargetsEngine) {
    // A response that is not streamed may take long, so silence alone does not
    // prove a failure.
    co_await checkInventory();
  }
}

Attempt::Task<void> Attempt::checkInventory() {
  const bool Running = co_await isRequestRunning(m_State, m_EndpointAddress,
                                                 m_Assigned.m_Request);
  if (Running)
    co_return;
  auto Event = co_await m_Call->next(InventoryGracePeriod);
  if (Event) {
    co_await onEvent(std::move(*Event));
    co_return;
  }
  m_State.m_Client.dropIdle(m_EndpointAddress);
  fail("the connection to the endpoint went silent");
}

Attempt::Task<void> Attempt::recoverFromConnectionLoss() {
  m_State.m_Client.dropIdle(m_EndpointAddress);
  m_Events.discardPartial();
  if (m_Finished) {
    // Only the terminating [DONE] event is missing.
    bool Sent = co_await m_Caller.writeChunk("data: [DONE]\n\n");
    if (Sent)
      Sent = co_await m_Caller.endStream();
    m_Result = Sent ? AttemptResult::Streamed : AttemptResult::CallerGone;
    co_return;
  }
  bool Resumed = false;
  if (canResume())
    Resumed = co_await resume();
  if (!Resumed)
    fail("the connection to the endpoint was lost");
}

Attempt::Task<bool> Attempt::resume() {
  const bool Expired = now() >= m_Request.m_Placement.m_Deadline;
  if (m_Caller.started()
          ? ++m_ResumesWithoutProgress > MaxResumesWithoutProgress
          : Expired)
    co_return false;
  co_await pause(m_State, ResumeDelay);
  auto Resumed = co_await openResumed();
  if (!Resumed)
    co_return false;
  // Close the old connection only now: an engine may treat the disconnect as a
  // cancellation by the caller.
  m_Call->closeConnection();
  m_Call = std::move(Resumed);
  m_LastProgress = now();
  m_State.m_Metrics.resumes().Increment();
  log::request(log::Category::Routing, "request.resumed",
               m_Assigned.m_Request.str(), m_Assigned.m_Entry.str(),
               {{"endpoint", m_Assigned.m_Endpoint.str()},
                {"from_token", m_Events.tokens()}});
  co_return true;
}

Attempt::Task<std::shared_ptr<EndpointCall>> Attempt::openResumed() {
  http::ClientOptions Options = makeOptions();
  Options.m_ForceNewConnection = true;
  http::Request Message = makeResumeRequest(m_Assigned, m_Events.tokens());
  Message.m_Headers.set("X-Router-Incarnation", m_State.m_Incarnation.str());
  auto Opened = EndpointCall::start(m_State, m_EndpointAddress,
                                    std::move(Message), Options);
  auto First = co_await Opened->next(m_State.m_Options.m_ProgressTimeout);
  // No response head yet: the engine has queued the request again.
  if (!First)
    co_return Opened;
  const auto *Head = std::get_if<http::Response>(&*First);
  if (Head && Head->m_Status == 200 &&
      echoesAttemptIds(Head->m_Headers, m_Assigned, true)) {
    m_Status = Head->m_Status;
    m_EndsWithConnection = Head->m_EndsWithConnection;
    co_return Opened;
  }
  Opened->closeConnection();
  co_return nullptr;
}

} // namespace sff::router
