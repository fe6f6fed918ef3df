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

constexpr milliseconds WaitSlice{50};
constexpr milliseconds JoinPause{50};
constexpr milliseconds RetryAfter{1000};
// An answer that is not held by its author may still be on its way there.
constexpr int MaxUnknownFetches = 3;

Outcome toOutcome(const messages::FetchOutcomeReply &Reply) {
  return execution::Answered{static_cast<int>(Reply.m_Status),
                             Reply.m_ContentType, Reply.m_Body};
}

} // namespace

IntentSession::IntentSession(FrontState &State, CallerRequest Request)
    : m_State(State), m_Request(std::move(Request)) {
  const http::Request &Forward = m_Request.m_Forward;
  m_Call.m_KeyHash =
      hashOf({m_Request.m_Placement.m_Entry.str(), m_Request.m_IdempotencyKey});
  m_Call.m_Digest =
      hashOf({Forward.m_Method, Forward.m_Target, Forward.m_Body});
  m_Call.m_Attempt = makeId<AttemptId>();
  m_Call.m_Deadline = m_Request.m_Placement.m_Deadline;
}

Outcome IntentSession::notRun(Reason Why, milliseconds Pause,
                              std::string Detail) const {
  // Aborts if this call has been sent, because the statement would be false.
  return NotRun(m_Guard, Why, Pause, std::move(Detail));
}

IntentSession::Task<void> IntentSession::run(http::Exchange &Caller) {
  auto Self = shared_from_this();
  const Outcome Value = co_await obtain();
  http::Response Answer = recordOutcome(m_State, m_Request.m_Placement, Value);
  co_await Caller.respond(std::move(Answer));
}

IntentSession::Task<Outcome> IntentSession::obtain() {
  const IntentAnswer Known = co_await look();
  if (const auto *Refused = std::get_if<IntentRefused>(&Known))
    co_return notRun(Refused->m_Reason, Refused->m_RetryAfter);
  if (const auto *Taken = std::get_if<IntentTaken>(&Known))
    co_return co_await join(Taken->m_Valid);
  co_return co_await startAndWait();
}

IntentSession::Task<IntentAnswer> IntentSession::look() {
  Decisions &Peers = m_State.m_Decisions;
  std::function<void(std::function<void(IntentAnswer)>)> Start =
      [&Peers, Call = m_Call](const std::function<void(IntentAnswer)> &Done) {
        Done(Peers.intents().look(Call));
      };
  auto Answer =
      co_await queryDecisions<IntentAnswer>(m_State, std::move(Start));
  co_return Answer.value_or(IntentRefused{Reason::QueueFull, RetryAfter});
}

IntentSession::Task<IntentAnswer> IntentSession::announce() {
  Decisions &Peers = m_State.m_Decisions;
  std::function<void(std::function<void(IntentAnswer)>)> Start =
      [&Peers, Call = m_Call](const std::function<void(IntentAnswer)> &Done) {
        Peers.intents().announce(Call, Done);
      };
  auto Answer =
      co_await queryDecisions<IntentAnswer>(m_State, std::move(Start));
  co_return Answer.value_or(IntentRefused{Reason::QueueFull, RetryAfter});
}

IntentSession::Task<Outcome> IntentSession::startAndWait() {
  auto Self = shared_from_this();
  m_Result = std::make_shared<Mailbox<Result>>(m_State.m_Http);
  ++m_State.m_Background;
  boost::asio::co_spawn(
      m_State.m_Http.context(), [Self] { return Self->execute(); },
      [&State = m_State](std::exception_ptr) { --State.m_Background; });
  std::optional<Result> Ended;
  // Before dispatch the execution itself refuses in time; afterwards it goes
  // on without this caller.
  while (!Ended && !(isExpired() && m_Guard.mayHaveBeenSent()))
    Ended = co_await m_Result->wait(WaitSlice);
  if (!Ended) {
    OutcomeUnknown Unknown{Reason::DeadlineExpired, RetryAfter,
                           "the call is still running"};
    co_return Unknown;
  }
  if (const auto *Taken = std::get_if<IntentTaken>(&*Ended))
    co_return co_await join(Taken->m_Valid);
  co_return std::get<Outcome>(std::move(*Ended));
}

IntentSession::Task<void> IntentSession::execute() {
  m_Result->put(co_await placeAndRun());
}

IntentSession::Task<IntentSession::Result> IntentSession::placeAndRun() {
  auto Box = submit(m_State, m_Request.m_Placement);
  if (!Box)
    co_return notRun(Reason::QueueFull, RetryAfter);
  std::optional<PlaceAnswer> Place;
  while (!Place)
    Place = co_await Box->wait(WaitSlice);
  if (const auto *Refused = std::get_if<admission::Refusal>(&*Place))
    co_return notRun(Refused->m_Reason, Refused->m_RetryAfter);
  Placement First = std::get<Placement>(std::move(*Place));
  const IntentAnswer Verdict = co_await announce();
  log::request(log::Category::Execution, "request.announced",
               First.m_Request.str(), First.m_Entry.str(),
               {{"granted", std::holds_alternative<IntentGranted>(Verdict)},
                {"attempt", m_Call.m_Attempt.str()}});
  if (std::holds_alternative<IntentGranted>(Verdict))
    co_return co_await runGranted(std::move(First));
  co_await finish(m_State, std::move(First), NoReport);
  if (const auto *Taken = std::get_if<IntentTaken>(&Verdict))
    co_return *Taken;
  if (const auto *Refused = std::get_if<IntentRefused>(&Verdict))
    co_return notRun(Refused->m_Reason, Refused->m_RetryAfter);
  co_return notRun(Reason::LogUnavailable, RetryAfter);
}

IntentSession::Task<IntentSession::Result>
IntentSession::runGranted(Placement First) {
  if (isExpired()) {
    co_await giveUp();
    co_await finish(m_State, std::move(First), NoReport);
    co_return notRun(Reason::DeadlineExpired, RetryAfter);
  }
  co_return co_await dispatch(std::move(First));
}

IntentSession::Task<IntentSession::Result>
IntentSession::dispatch(Placement Used) {
  const auto Where = http::Address::parse(Used.m_Address);
  http::Request Message = m_Request.m_Forward;
  addIds(Message.m_Headers, Used);
  http::ClientOptions Options;
  Options.m_FreshConnection = true;
  Options.m_ReadTimeout = m_State.m_Options.m_ExecutionTimeout;
  log::request(log::Category::Routing, "request.dispatched",
               Used.m_Request.str(), Used.m_Entry.str(),
               {{"endpoint", Used.m_Endpoint.str()},
                {"attempt", Used.m_Attempt.str()},
                {"why", Used.m_Why}});
  http::SendResult Sent = http::TransportFailure();
  const Instant Started = now();
  const execution::DispatchGuard Before = m_Guard;
  if (Where) {
    m_Guard.markSent();
    Sent = co_await m_State.m_Client.send(*Where, std::move(Message), Options);
  }
  AttemptReport Report;
  Report.m_Class = m_Request.m_Placement.m_Class;
  const auto *Failure = std::get_if<http::TransportFailure>(&Sent);
  if (Failure && Failure->provesNotSent()) {
    // The transport proves that nothing left, so the statement of the guard
    // before this dispatch holds again.
    m_Guard = Before;
    Report.m_EndpointDown = true;
    co_await giveUp();
    co_await finish(m_State, std::move(Used), Report);
    co_return notRun(Reason::NoReplica, RetryAfter, Failure->m_Detail);
  }
  const auto *Answer = std::get_if<http::Response>(&Sent);
  const bool Matches = Answer && echoesIds(Answer->m_Headers, Used, false);
  Report.m_Answered = Matches;
  Report.m_ServiceTime = now() - Started;
  if (Failure && !co_await probe(m_State, *Where)) {
    Report.m_EndpointDown = true;
    if (!Failure->m_TimedOut)
      co_await noteCrash();
  }
  co_await finish(m_State, std::move(Used), Report);
  if (!Matches) {
    co_await noteExecuted(std::nullopt);
    OutcomeUnknown Unknown{Reason::EndpointLost, RetryAfter,
                           Failure ? Failure->m_Detail
                                   : "the answer belongs to another request"};
    co_return Outcome(std::move(Unknown));
  }
  execution::Answered Whole{Answer->m_Status,
                            Answer->m_Headers.find("Content-Type").value_or(""),
                            Answer->m_Body};
  co_await noteExecuted(Whole);
  co_return Outcome(std::move(Whole));
}

IntentSession::Task<void> IntentSession::giveUp() {
  Decisions &Peers = m_State.m_Decisions;
  timers::DutyLoop::Task Work = [&Peers, Call = m_Call] {
    Peers.intents().giveUp(Call);
  };
  co_await postToDecisions(m_State, std::move(Work));
}

IntentSession::Task<void> IntentSession::noteCrash() {
  m_State.m_Metrics.crashes().Increment();
  Decisions &Peers = m_State.m_Decisions;
  timers::DutyLoop::Task Work = [&Peers,
                                 Print = m_Request.m_Placement.m_Fingerprint] {
    Peers.crashes().onCrash(Print);
  };
  co_await postToDecisions(m_State, std::move(Work));
}

IntentSession::Task<void>
IntentSession::noteExecuted(std::optional<execution::Answered> Answer) {
  Decisions &Peers = m_State.m_Decisions;
  timers::DutyLoop::Task Work = [&Peers, Call = m_Call, Answer] {
    Peers.intents().onExecuted(Call, Answer);
  };
  co_await postToDecisions(m_State, std::move(Work));
}

IntentSession::Task<messages::FetchOutcomeReply>
IntentSession::fetch(execution::ValidIntent Valid) {
  using Reply = messages::FetchOutcomeReply;
  Decisions &Peers = m_State.m_Decisions;
  std::function<void(std::function<void(Reply)>)> Start =
      [&Peers, Valid,
       Key = m_Call.m_KeyHash](const std::function<void(Reply)> &Done) {
        Peers.intents().fetchFrom(Valid, Key, Done);
      };
  auto Answer = co_await queryDecisions<Reply>(m_State, std::move(Start));
  co_return Answer.value_or(Reply());
}

IntentSession::Task<Outcome> IntentSession::join(execution::ValidIntent Valid) {
  int Unknown = 0;
  while (!isExpired() && Unknown < MaxUnknownFetches) {
    const auto Reply = co_await fetch(Valid);
    if (Reply.m_Outcome == messages::StoredOutcome::Answered)
      co_return toOutcome(Reply);
    if (Reply.m_Outcome == messages::StoredOutcome::Unknown)
      ++Unknown;
    co_await pause(m_State, JoinPause);
  }
  OutcomeUnknown Result{Reason::KeyInProgress, RetryAfter,
                        "the call is still running"};
  if (Unknown == MaxUnknownFetches)
    Result = {Reason::EndpointLost, RetryAfter,
              "the answer of an earlier call with this key is not known"};
  co_return Result;
}

} // namespace sff::router
