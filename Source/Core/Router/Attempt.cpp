#include "Router/Attempt.h"

#include "Router/EndpointApi.h"

namespace sff::router {

namespace {

// How often a session looks at its caller and its deadline.
constexpr milliseconds WatchPeriod{50};
// Resumptions in a row without a token, after which a stream is given up.
constexpr int MaxIdleResumes = 5;
// Keeps resumptions that end at once from following each other without rest.
constexpr milliseconds ResumePause{10};
// Time for an answer that was on its way while the inventory was read.
constexpr milliseconds InventoryGrace{500};
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr milliseconds DeadlineMargin{1000};
constexpr int FirstServerError = 500;
constexpr int NotFound = 404;

/// Keeps a connection open while its endpoint is silent; the session decides
/// by probes, not by a read time-out.
constexpr std::chrono::hours StreamReadTimeout{1};

} // namespace

Attempt::Attempt(FrontState &State, const CallerRequest &Request,
                 const Placement &Used, http::Exchange &Caller)
    : m_State(State), m_Request(Request), m_Used(Used), m_Caller(Caller) {}

http::Request Attempt::makeRequest() const {
  http::Request Result = m_Request.m_Forward;
  addIds(Result.m_Headers, m_Used);
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

void Attempt::lose(std::string Detail) {
  m_Detail = std::move(Detail);
  if (m_Call)
    m_Call->abandon();
  m_End = m_Caller.started() ? AttemptEnd::Torn : AttemptEnd::Lost;
}

Attempt::Task<void> Attempt::run() {
  const auto Where = http::Address::parse(m_Used.m_Address);
  if (!Where) {
    m_Detail = "the endpoint's address is not known";
    m_End = AttemptEnd::NotSent;
    co_return;
  }
  m_Where = *Where;
  m_LastProgress = now();
  m_Call = EndpointCall::start(m_State, m_Where, makeRequest(), makeOptions());
  while (!m_End) {
    auto Event = co_await m_Call->next(WatchPeriod);
    if (Event)
      co_await onEvent(std::move(*Event));
    else
      co_await onQuiet();
  }
  m_Call->abandon();
}

Attempt::Task<void> Attempt::onEvent(CallEvent Event) {
  if (const auto *Failure = std::get_if<http::TransportFailure>(&Event)) {
    noteFailure(*Failure);
    if (!m_End)
      co_await onBrokenConnection();
    co_return;
  }
  m_LastProgress = now();
  if (const auto *Head = std::get_if<http::Response>(&Event))
    onHead(*Head);
  else if (const auto *Piece = std::get_if<std::string>(&Event))
    onPiece(*Piece);
  else if (!isStreaming())
    endWhole();
  if (isStreaming() && !m_End)
    co_await deliverEvents();
  if (isStreaming() && !m_End && std::holds_alternative<CallEnd>(Event))
    co_await endStream();
}

void Attempt::onHead(const http::Response &Head) {
  if (!echoesIds(Head.m_Headers, m_Used,
                 m_Request.m_Engine && Head.m_Status == 200)) {
    m_State.m_Metrics.mismatches().Increment();
    m_State.m_Client.dropIdle(m_Where);
    lose("the answer belongs to another request");
    return;
  }
  const bool Unloaded = Head.m_Status == NotFound;
  if (m_Request.m_Engine && (Head.m_Status >= FirstServerError || Unloaded)) {
    lose("the endpoint answered with status " + std::to_string(Head.m_Status));
    return;
  }
  m_Status = Head.m_Status;
  m_Answer.m_Status = Head.m_Status;
  m_Answer.m_ContentType = Head.m_Headers.find("Content-Type").value_or("");
}

void Attempt::onPiece(std::string_view Piece) {
  if (isStreaming()) {
    m_Events.append(Piece);
    return;
  }
  m_Answer.m_Body += Piece;
  if (m_Answer.m_Body.size() > MaxAnswerBytes)
    lose("the answer exceeds the limit of this host");
}

Attempt::Task<void> Attempt::deliverEvents() {
  while (auto Event = m_Events.next()) {
    if (Event->m_Kind == streaming::EventKind::Cancelled) {
      co_await onDeadConnection();
      co_return;
    }
    const bool Sent = co_await deliver(std::move(*Event));
    if (!Sent) {
      m_End = AttemptEnd::CallerGone;
      co_return;
    }
  }
}

Attempt::Task<bool> Attempt::deliver(streaming::StreamEvent Event) {
  if (!m_Caller.started()) {
    http::Response Head;
    Head.m_Headers.set("Content-Type", "text/event-stream");
    Head.m_Headers.set("Cache-Control", "no-cache");
    Head.m_Headers.set("X-Request-Id", m_Used.m_Request.str());
    if (!co_await m_Caller.beginStream(std::move(Head)))
      co_return false;
    const Duration Taken = now() - m_Request.m_Placement.m_Arrival;
    m_State.m_Metrics.onFirstToken(m_Request.m_Placement.m_Class, Taken);
    log::request(log::Category::Http, "request.first_token",
                 m_Used.m_Request.str(), m_Used.m_Entry.str(),
                 {{"after_ms", toMilliseconds(Taken).count()}});
  }
  m_IdleResumes = 0;
  m_Finished = m_Finished || Event.m_Kind == streaming::EventKind::Finish;
  co_return co_await m_Caller.writeChunk(Event.m_Text);
}

void Attempt::endWhole() {
  if (m_Request.m_Engine && streaming::isCancelledAnswer(m_Answer.m_Body))
    lose("the endpoint gave the request up");
  else
    m_End = AttemptEnd::Answered;
}

Attempt::Task<void> Attempt::endStream() {
  if (m_Events.hasPartial() || !m_Caller.started()) {
    co_await onDeadConnection();
    co_return;
  }
  const bool Sent = co_await m_Caller.endStream();
  m_End = Sent ? AttemptEnd::Streamed : AttemptEnd::CallerGone;
}

void Attempt::noteFailure(const http::TransportFailure &Failure) {
  m_Detail = Failure.m_Detail;
  m_TimedOut = Failure.m_TimedOut;
  if (!Failure.provesNotSent())
    return;
  m_EndpointDown = Failure.m_Stage == http::FailureStage::Connect;
  m_End = AttemptEnd::NotSent;
}

Attempt::Task<void> Attempt::onBrokenConnection() {
  const bool Alive = co_await probe(m_State, m_Where);
  if (Alive) {
    co_await onDeadConnection();
    co_return;
  }
  m_EndpointDown = true;
  m_EndpointCrashed = !m_TimedOut;
  lose("the endpoint was lost: " + m_Detail);
}

Attempt::Task<void> Attempt::onQuiet() {
  if (m_Caller.callerGone()) {
    m_End = AttemptEnd::CallerGone;
  } else if (now() >= m_Request.m_Placement.m_Deadline && !m_Caller.started()) {
    m_Detail = "the deadline passed before the answer";
    m_End = AttemptEnd::Expired;
  } else if (now() - m_LastProgress >= m_State.m_Options.m_ProgressTimeout) {
    co_await onSilence();
  }
}

Attempt::Task<void> Attempt::onSilence() {
  const bool Alive = co_await probe(m_State, m_Where);
  log::request(log::Category::Routing, "request.silence",
               m_Used.m_Request.str(), m_Used.m_Entry.str(),
               {{"endpoint", m_Used.m_Endpoint.str()}, {"alive", Alive}});
  m_LastProgress = now();
  if (!Alive) {
    m_EndpointDown = true;
    lose("the endpoint went silent");
  } else if (mayResume()) {
    co_await onDeadConnection();
  } else if (m_Request.m_Engine) {
    // A whole answer may take long, so silence alone proves nothing.
    co_await checkInventory();
  }
}

Attempt::Task<void> Attempt::checkInventory() {
  const bool Running = co_await runsAt(m_State, m_Where, m_Used.m_Request);
  if (Running)
    co_return;
  auto Event = co_await m_Call->next(InventoryGrace);
  if (Event) {
    co_await onEvent(std::move(*Event));
    co_return;
  }
  m_State.m_Client.dropIdle(m_Where);
  lose("the connection to the endpoint went silent");
}

Attempt::Task<void> Attempt::onDeadConnection() {
  m_State.m_Client.dropIdle(m_Where);
  m_Events.dropPartial();
  if (m_Finished) {
    // Only the closing mark is missing.
    bool Sent = co_await m_Caller.writeChunk("data: [DONE]\n\n");
    if (Sent)
      Sent = co_await m_Caller.endStream();
    m_End = Sent ? AttemptEnd::Streamed : AttemptEnd::CallerGone;
    co_return;
  }
  bool Resumed = false;
  if (mayResume())
    Resumed = co_await resume();
  if (!Resumed)
    lose("the connection to the endpoint was lost");
}

Attempt::Task<bool> Attempt::resume() {
  const bool Expired = now() >= m_Request.m_Placement.m_Deadline;
  if (m_Caller.started() ? ++m_IdleResumes > MaxIdleResumes : Expired)
    co_return false;
  co_await pause(m_State, ResumePause);
  auto Resumed = co_await openResumed();
  if (!Resumed)
    co_return false;
  // The old connection is closed last, because an engine may take its end as
  // the end of the caller's interest.
  m_Call->abandon();
  m_Call = std::move(Resumed);
  m_LastProgress = now();
  m_State.m_Metrics.resumes().Increment();
  log::request(log::Category::Routing, "request.resumed",
               m_Used.m_Request.str(), m_Used.m_Entry.str(),
               {{"endpoint", m_Used.m_Endpoint.str()},
                {"from_token", m_Events.tokens()}});
  co_return true;
}

Attempt::Task<std::shared_ptr<EndpointCall>> Attempt::openResumed() {
  http::ClientOptions Options = makeOptions();
  Options.m_FreshConnection = true;
  http::Request Message = makeResume(m_Used, m_Events.tokens());
  Message.m_Headers.set("X-Router-Incarnation", m_State.m_Incarnation.str());
  auto Opened =
      EndpointCall::start(m_State, m_Where, std::move(Message), Options);
  auto First = co_await Opened->next(m_State.m_Options.m_ProgressTimeout);
  // No head yet: the engine has queued the request again.
  if (!First)
    co_return Opened;
  const auto *Head = std::get_if<http::Response>(&*First);
  if (Head && Head->m_Status == 200 &&
      echoesIds(Head->m_Headers, m_Used, true)) {
    m_Status = Head->m_Status;
    co_return Opened;
  }
  Opened->abandon();
  co_return nullptr;
}

} // namespace sff::router
