#include "Router/IntentSession.h"

#include "Router/EndpointApi.h"
#include "Router/OutcomeResponse.h"
#include "Router/RequestSession.h"

namespace sff::router {

using execution::NotRun;
using execution::Outcome;
using execution::OutcomeUnknown;
using execution::Reason;

namespace {

constexpr milliseconds PollPeriod{50};
constexpr milliseconds OutcomePollPeriod{50};
constexpr milliseconds RetryAfter{1000};
// The executing router may not have stored the answer yet, so an unknown answer
// is fetched again up to this limit.
constexpr int MaxUnknownFetches = 3;

Outcome toOutcome(const messages::FetchOutcomeReply &Reply) {
  return execution::Answered{static_cast<int>(Reply.m_Status),
                             Reply.m_ContentType, Reply.m_Body};
}

} // namespace

IntentSession::IntentSession(FrontEndState &State, CallerRequest Request)
    : m_State(State), m_Request(std::move(Request)) {
  const http::Request &Forward = m_Request.m_ForwardedRequest;
  m_Call.m_KeyHash = hashParts(
      {m_Request.m_Placement.m_Entry.str(), m_Request.m_IdempotencyKey});
  m_Call.m_Digest =
      hashParts({Forward.m_Method, Forward.m_Target, Forward.m_Body});
  m_Call.m_Attempt = makeId<AttemptId>();
  m_Call.m_Deadline = m_Request.m_Placement.m_Deadline;
}

Outcome IntentSession::notRun(Reason Cause, milliseconds Pause,
                              std::string Detail) const {
  // NotRun aborts if this call may have been sent, because the response would
  // be false.
  return NotRun(m_Guard, Cause, Pause, std::move(Detail));
}

IntentSession::Task<void> IntentSession::run(http::Exchange &Caller) {
  auto Self = shared_from_this();
  const Outcome Value = co_await resolveOutcome();
  http::Response Answer = recordOutcome(m_State, m_Request.m_Placement, Value);
  co_await Caller.respond(std::move(Answer));
}

IntentSession::Task<Outcome> IntentSession::resolveOutcome() {
  const IntentStatus Found = co_await lookup();
  if (const auto *Refused = std::get_if<IntentRefused>(&Found))
    co_return notRun(Refused->m_Reason, Refused->m_RetryAfter);
  if (const auto *Taken = std::get_if<IntentTaken>(&Found))
    co_return co_await awaitOtherAttempt(Taken->m_Valid);
  co_return co_await executeAndWait();
}

IntentSession::Task<IntentStatus> IntentSession::lookup() {
  RoutingCore &Core = m_State.m_RoutingCore;
  std::function<void(std::function<void(IntentStatus)>)> Start =
      [&Core, Call = m_Call](const std::function<void(IntentStatus)> &Done) {
        Done(Core.intents().lookup(Call));
      };
  auto Answer =
      co_await queryRoutingCore<IntentStatus>(m_State, std::move(Start));
  co_return Answer.value_or(IntentRefused{Reason::QueueFull, RetryAfter});
}

IntentSession::Task<IntentStatus> IntentSession::appendIntent() {
  RoutingCore &Core = m_State.m_RoutingCore;
  std::function<void(std::function<void(IntentStatus)>)> Start =
      [&Core, Call = m_Call](const std::function<void(IntentStatus)> &Done) {
        Core.intents().appendIntent(Call, Done);
      };
  auto Answer =
      co_await queryRoutingCore<IntentStatus>(m_State, std::move(Start));
  co_return Answer.value_or(IntentRefused{Reason::QueueFull, RetryAfter});
}

IntentSession::Task<Outcome> IntentSession::executeAndWait() {
  auto Self = shared_from_this();
  m_Result = std::make_shared<AsyncQueue<Result>>(m_State.m_Http);
  ++m_State.m_BackgroundTasks;
  boost::asio::co_spawn(
      m_State.m_Http.context(), [Self] { return Self->execute(); },
      [&State = m_State](std::exception_ptr) { --State.m_BackgroundTasks; });
  std::optional<Result> Ended;
  // Before dispatch, execute() itself refuses the call at the deadline. After
  // dispatch, it continues without this caller.
  while (!Ended && !(isExpired() && m_Guard.mayHaveBeenSent()))
    Ended = co_await m_Result->wait(PollPeriod);
  if (!Ended) {
    OutcomeUnknown Unknown{Reason::DeadlineExpired, RetryAfter,
                           "the call is still running"};
    co_return Unknown;
  }
  if (const auto *Taken = std::get_if<IntentTaken>(&*Ended))
    co_return co_await awaitOtherAttempt(Taken->m_Valid);
  co_return std::get<Outcome>(std::move(*Ended));
}

IntentSession::Task<void> IntentSession::execute() {
  m_Result->push(co_await placeAndRun());
}

IntentSession::Task<IntentSession::Result> IntentSession::placeAndRun() {
  auto Queue = submitPlacement(m_State, m_Request.m_Placement);
  if (!Queue)
    co_return notRun(Reason::QueueFull, RetryAfter);
  std::optional<PlacementResult> Place;
  while (!Place)
    Place = co_await Queue->wait(PollPeriod);
  if (const auto *Refused = std::get_if<admission::Refusal>(&*Place))
    co_return notRun(Refused->m_Reason, Refused->m_RetryAfter);
  Placement First = std::get<Placement>(std::move(*Place));
  const IntentStatus Verdict = co_await appendIntent();
  log::request(log::Category::Execution, "request.announced",
               First.m_Request.str(), First.m_Entry.str(),
               {{"granted", std::holds_alternative<IntentGranted>(Verdict)},
                {"attempt", m_Call.m_Attempt.str()}});
  if (std::holds_alternative<IntentGranted>(Verdict))
    co_return co_await runIfNotExpired(std::move(First));
  co_await finishPlacement(m_State, std::move(First), EmptyReport);
  if (const auto *Taken = std::get_if<IntentTaken>(&Verdict))
    co_return *Taken;
  if (const auto *Refused = std::get_if<IntentRefused>(&Verdict))
    co_return notRun(Refused->m_Reason, Refused->m_RetryAfter);
  co_return notRun(Reason::LogUnavailable, RetryAfter);
}

IntentSession::Task<IntentSession::Result>
IntentSession::runIfNotExpired(Placement First) {
  if (isExpired()) {
    co_await voidAttempt();
    co_await finishPlacement(m_State, std::move(First), EmptyReport);
    co_return notRun(Reason::DeadlineExpired, RetryAfter);
  }
  co_return co_await dispatch(std::move(First));
}

IntentSession::Task<IntentSession::Result>
IntentSession::dispatch(Placement Assigned) {
  const auto Addr = http::Address::parse(Assigned.m_Address);
  http::Request Message = m_Request.m_ForwardedRequest;
  addAttemptIds(Message.m_Headers, Assigned);
  http::ClientOptions Options;
  Options.m_ForceNewConnection = true;
  Options.m_ReadTimeout = m_State.m_Options.m_ExecutionTimeout;
  log::request(log::Category::Routing, "request.dispatched",
               Assigned.m_Request.str(), Assigned.m_Entry.str(),
               {{"endpoint", Assigned.m_Endpoint.str()},
                {"attempt", Assigned.m_Attempt.str()},
                {"why", Assigned.m_ChoiceReason}});
  http::SendResult Sent = http::TransportFailure();
  const Instant Started = now();
  const execution::DispatchGuard GuardBeforeSend = m_Guard;
  if (Addr) {
    m_Guard.markSent();
    Sent = co_await m_State.m_Client.send(*Addr, std::move(Message), Options);
  }
  AttemptReport Report;
  Report.m_Class = m_Request.m_Placement.m_Class;
  const auto *Failure = std::get_if<http::TransportFailure>(&Sent);
  if (Failure && Failure->isKnownNotSent()) {
    // The transport proves that nothing was sent, so the guard is reset to its
    // state before this dispatch.
    m_Guard = GuardBeforeSend;
    Report.m_EndpointDown = true;
    co_await voidAttempt();
    co_await finishPlacement(m_State, std::move(Assigned), Report);
    co_return notRun(Reason::NoReplica, RetryAfter, Failure->m_Detail);
  }
  const auto *Answer = std::get_if<http::Response>(&Sent);
  const bool Matches =
      Answer && echoesAttemptIds(Answer->m_Headers, Assigned, false);
  Report.m_Answered = Matches;
  Report.m_ServiceTime = now() - Started;
  if (Failure && !co_await probe(m_State, *Addr)) {
    Report.m_EndpointDown = true;
    if (!Failure->m_TimedOut)
      co_await reportCrash(Assigned.m_Endpoint);
  }
  co_await finishPlacement(m_State, std::move(Assigned), Report);
  // An answer that may have been cut off is not kept for the key.
  if (!Matches || Answer->m_EndsWithConnection) {
    std::string Detail = "the answer is not known to be complete";
    if (Failure)
      Detail = Failure->m_Detail;
    else if (!Matches)
      Detail = "the answer belongs to another request";
    co_await reportExecuted(std::nullopt);
    OutcomeUnknown Unknown{Reason::EndpointLost, RetryAfter, std::move(Detail)};
    co_return Outcome(std::move(Unknown));
  }
  execution::Answered Whole{Answer->m_Status,
                            Answer->m_Headers.find("Content-Type").value_or(""),
                            Answer->m_Body};
  co_await reportExecuted(Whole);
  co_return Outcome(std::move(Whole));
}

IntentSession::Task<void> IntentSession::voidAttempt() {
  RoutingCore &Core = m_State.m_RoutingCore;
  timers::EventLoop::Task Work = [&Core, Call = m_Call] {
    Core.intents().voidAttempt(Call);
  };
  co_await postToRoutingCore(m_State, std::move(Work));
}

IntentSession::Task<void> IntentSession::reportCrash(EndpointId Endpoint) {
  m_State.m_Metrics.crashes().Increment();
  RoutingCore &Core = m_State.m_RoutingCore;
  timers::EventLoop::Task Work =
      [&Core, Fingerprint = m_Request.m_Placement.m_Fingerprint, Endpoint] {
        Core.crashes().onCrash(Fingerprint, Endpoint);
      };
  co_await postToRoutingCore(m_State, std::move(Work));
}

IntentSession::Task<void>
IntentSession::reportExecuted(std::optional<execution::Answered> Answer) {
  RoutingCore &Core = m_State.m_RoutingCore;
  timers::EventLoop::Task Work = [&Core, Call = m_Call, Answer] {
    Core.intents().onExecuted(Call, Answer);
  };
  co_await postToRoutingCore(m_State, std::move(Work));
}

IntentSession::Task<messages::FetchOutcomeReply>
IntentSession::fetch(execution::ValidIntent Valid) {
  using Reply = messages::FetchOutcomeReply;
  RoutingCore &Core = m_State.m_RoutingCore;
  std::function<void(std::function<void(Reply)>)> Start =
      [&Core, Valid,
       Key = m_Call.m_KeyHash](const std::function<void(Reply)> &Done) {
        Core.intents().fetchOutcome(Valid, Key, Done);
      };
  auto Answer = co_await queryRoutingCore<Reply>(m_State, std::move(Start));
  co_return Answer.value_or(Reply());
}

IntentSession::Task<Outcome>
IntentSession::awaitOtherAttempt(execution::ValidIntent Valid) {
  int Unknown = 0;
  while (!isExpired() && Unknown < MaxUnknownFetches) {
    const auto Reply = co_await fetch(Valid);
    if (Reply.m_Outcome == messages::StoredOutcome::Answered)
      co_return toOutcome(Reply);
    if (Reply.m_Outcome == messages::StoredOutcome::Unknown)
      ++Unknown;
    co_await pause(m_State, OutcomePollPeriod);
  }
  OutcomeUnknown Result{Reason::KeyInProgress, RetryAfter,
                        "the call is still running"};
  if (Unknown == MaxUnknownFetches)
    Result = {Reason::EndpointLost, RetryAfter,
              "the answer of an earlier call with this key is not known"};
  co_return Result;
}

} // namespace sff::router
