#include "Router/RequestSession.h"

#include "Router/EndpointApi.h"
#include "Router/OutcomeResponse.h"

namespace sff::router {

using execution::NotRun;
using execution::OutcomeUnknown;
using execution::Reason;

namespace {

constexpr milliseconds PollPeriod{50};
constexpr milliseconds OverloadRetryAfter{1000};
constexpr milliseconds LostRequestRetryAfter{1000};
// Number of cancel requests to send after an attempt was lost and before a
// retry.
constexpr int MaxCancelTries = 3;

} // namespace

std::shared_ptr<AsyncQueue<PlacementResult>>
submitPlacement(FrontEndState &State, const PlacementRequest &Item) {
  auto Queue = std::make_shared<AsyncQueue<PlacementResult>>(State.m_Http);
  RoutingCore &Core = State.m_RoutingCore;
  const bool Sent = Core.loop().tryPost([&Core, Queue, Item] {
    Core.scheduler().submit(Item, [Queue](PlacementResult Answer) {
      Queue->push(std::move(Answer));
    });
  });
  return Sent ? Queue : nullptr;
}

RequestSession::RequestSession(FrontEndState &State, CallerRequest Request,
                               http::Exchange &Caller)
    : m_State(State), m_Request(std::move(Request)), m_Caller(Caller) {}

RequestSession::Task<void> RequestSession::run() {
  auto Self = shared_from_this();
  m_State.m_Budget.onRequest(m_Request.m_Placement.m_Class);
  while (co_await runOnce())
    m_State.m_Metrics.retries().Increment();
}

/// Runs one attempt. Returns true if the request should be retried.
RequestSession::Task<bool> RequestSession::runOnce() {
  auto Place = co_await obtainPlacement();
  if (!Place)
    co_return false;
  const AttemptResult Result = co_await attempt(*Place);
  co_return co_await finishAttempt(std::move(*Place), Result);
}

RequestSession::Task<std::optional<Placement>>
RequestSession::obtainPlacement() {
  PlacementResult Answer = co_await awaitPlacement();
  if (auto *Refused = std::get_if<admission::Refusal>(&Answer)) {
    co_await refuse(*Refused);
    co_return std::nullopt;
  }
  co_return std::get<Placement>(std::move(Answer));
}

RequestSession::Task<PlacementResult> RequestSession::awaitPlacement() {
  auto Queue = submitPlacement(m_State, m_Request.m_Placement);
  if (!Queue)
    co_return PlacementResult(
        admission::Refusal{Reason::QueueFull, OverloadRetryAfter});
  bool Withdrawn = false;
  while (true) {
    auto Answer = co_await Queue->wait(PollPeriod);
    if (Answer)
      co_return std::move(*Answer);
    if (Withdrawn || !m_Caller.isCallerDisconnected())
      continue;
    Withdrawn = true;
    co_await withdraw();
  }
}

RequestSession::Task<void> RequestSession::withdraw() {
  RoutingCore &Core = m_State.m_RoutingCore;
  timers::EventLoop::Task Work = [&Core, Entry = m_Request.m_Placement.m_Entry,
                                  Id = m_Request.m_Placement.m_Id] {
    Core.scheduler().withdraw(Entry, Id);
  };
  co_await postToRoutingCore(m_State, std::move(Work));
}

RequestSession::Task<AttemptResult>
RequestSession::attempt(Placement Assigned) {
  log::request(log::Category::Routing, "request.dispatched",
               Assigned.m_Request.str(), Assigned.m_Entry.str(),
               {{"endpoint", Assigned.m_Endpoint.str()},
                {"attempt", Assigned.m_Attempt.str()},
                {"why", Assigned.m_ChoiceReason}});
  m_DispatchedAt = now();
  Attempt Running(m_State, m_Request, Assigned, m_Caller);
  co_await Running.run();
  const AttemptResult Result = Running.result();
  if (Result != AttemptResult::NotSent)
    m_Guard.markSent();
  m_Answer = Running.answer();
  m_Detail = Running.detail();
  m_EndpointDown = Running.endpointDown();
  m_EndpointCrashed = Running.endpointCrashed();
  co_return Result;
}

RequestSession::Task<std::int64_t>
RequestSession::reportCrash(EndpointId Endpoint) {
  m_State.m_Metrics.crashes().Increment();
  RoutingCore &Core = m_State.m_RoutingCore;
  std::function<void(std::function<void(std::int64_t)>)> Start =
      [&Core, Fingerprint = m_Request.m_Placement.m_Fingerprint,
       Endpoint](const std::function<void(std::int64_t)> &Done) {
        Done(Core.crashes().onCrash(Fingerprint, Endpoint));
      };
  const auto Total =
      co_await queryRoutingCore<std::int64_t>(m_State, std::move(Start));
  log::request(log::Category::Execution, "request.crashed_endpoint",
               m_Request.m_Placement.m_Id.str(),
               m_Request.m_Placement.m_Entry.str(),
               {{"crashes", Total.value_or(1)}});
  co_return Total.value_or(1);
}

/// Finishes the placement and answers the caller. Returns true if the request
/// should be retried instead.
RequestSession::Task<bool> RequestSession::finishAttempt(Placement Assigned,
                                                         AttemptResult Result) {
  AttemptReport Report;
  Report.m_EndpointDown = m_EndpointDown;
  Report.m_Class = m_Request.m_Placement.m_Class;
  Report.m_Fingerprint = m_Request.m_Placement.m_Fingerprint;
  switch (Result) {
  case AttemptResult::Answered:
  case AttemptResult::Streamed:
    Report.m_Answered = true;
    Report.m_ServiceTime = now() - m_DispatchedAt;
    co_await finishPlacement(m_State, std::move(Assigned), Report);
    if (Result == AttemptResult::Answered)
      co_await respond(m_Answer);
    else
      recordEnd("answered");
    co_return false;
  case AttemptResult::CallerGone:
    recordEnd("caller_gone");
    m_State.m_Metrics.cancels().Increment();
    finishInBackground(m_State, std::move(Assigned));
    co_return false;
  case AttemptResult::Expired:
    co_await respondUnknown(Reason::DeadlineExpired, m_Detail);
    m_State.m_Metrics.cancels().Increment();
    finishInBackground(m_State, std::move(Assigned));
    co_return false;
  case AttemptResult::NotSent:
  case AttemptResult::Lost:
  case AttemptResult::Interrupted:
    break;
  }
  const std::int64_t Crashes =
      m_EndpointCrashed ? co_await reportCrash(Assigned.m_Endpoint) : 0;
  if (m_EndpointDown || Result == AttemptResult::NotSent) {
    co_await finishPlacement(m_State, Assigned, Report);
    co_return co_await retryOrRefuse(std::move(Assigned), Result, Crashes);
  }
  if (Result == AttemptResult::Interrupted) {
    co_await endInterruptedStream();
    finishInBackground(m_State, std::move(Assigned));
    co_return false;
  }
  // The endpoint may still run the attempt under the same request id, so the
  // retry has to wait until the attempt has ended.
  if (co_await cancelAndFinish(Assigned))
    co_return co_await retryOrRefuse(std::move(Assigned), Result, Crashes);
  co_await respondUnknown(Reason::EndpointLost, m_Detail);
  finishInBackground(m_State, std::move(Assigned));
  co_return false;
}

RequestSession::Task<bool> RequestSession::cancelAndFinish(Placement Assigned) {
  const auto Addr = http::Address::parse(Assigned.m_Address);
  for (int Try = 0; Addr && m_Request.m_TargetsEngine && Try < MaxCancelTries;
       ++Try)
    if (co_await cancelRequest(m_State, *Addr, Assigned.m_Request)) {
      co_await finishPlacement(m_State, std::move(Assigned), EmptyReport);
      co_return true;
    }
  if (m_Request.m_TargetsEngine)
    co_return false;
  // Services have no cancellation; the broken connection ended the attempt.
  co_await finishPlacement(m_State, std::move(Assigned), EmptyReport);
  co_return true;
}

RequestSession::Task<bool> RequestSession::retryOrRefuse(Placement Assigned,
                                                         AttemptResult Result,
                                                         std::int64_t Crashes) {
  constexpr std::int64_t RefusedCrashes = 2;
  if (Result == AttemptResult::Interrupted) {
    co_await endInterruptedStream();
    co_return false;
  }
  if (Crashes >= RefusedCrashes) {
    co_await respondUnknown(Reason::Quarantined,
                            "the request crashed several endpoints");
    co_return false;
  }
  if (tryRetry(Assigned))
    co_return true;
  const admission::Refusal Cause{Reason::EndpointLost, LostRequestRetryAfter};
  co_await refuse(Cause);
  co_return false;
}

bool RequestSession::tryRetry(const Placement &Assigned) {
  PlacementRequest &Req = m_Request.m_Placement;
  if (Assigned.m_Isolated || now() >= Req.m_Deadline ||
      m_Caller.isCallerDisconnected())
    return false;
  if (!m_State.m_Budget.tryRetry(Req.m_Class))
    return false;
  Req.m_Avoid.insert(Assigned.m_Endpoint);
  log::request(
      log::Category::Routing, "request.retried", Req.m_Id.str(),
      Req.m_Entry.str(),
      {{"failed_endpoint", Assigned.m_Endpoint.str()}, {"reason", m_Detail}});
  return true;
}

RequestSession::Task<void> RequestSession::refuse(admission::Refusal Cause) {
  if (m_Guard.mayHaveBeenSent()) {
    OutcomeUnknown Unknown{Cause.m_Reason, Cause.m_RetryAfter, m_Detail};
    co_await respond(std::move(Unknown));
    co_return;
  }
  // Without a dispatched attempt nothing can have been lost: no endpoint was
  // reachable.
  if (Cause.m_Reason == Reason::EndpointLost)
    Cause.m_Reason = Reason::NoReplica;
  execution::Outcome Refused =
      NotRun(m_Guard, Cause.m_Reason, Cause.m_RetryAfter, m_Detail);
  co_await respond(std::move(Refused));
}

RequestSession::Task<void> RequestSession::respondUnknown(Reason Cause,
                                                          std::string Detail) {
  OutcomeUnknown Unknown{Cause, LostRequestRetryAfter, std::move(Detail)};
  co_await respond(std::move(Unknown));
}

RequestSession::Task<void> RequestSession::respond(execution::Outcome Value) {
  http::Response Answer = recordOutcome(m_State, m_Request.m_Placement, Value);
  co_await m_Caller.respond(std::move(Answer));
}

RequestSession::Task<void> RequestSession::endInterruptedStream() {
  nlohmann::json Problem = {
      {"outcome", "outcome_unknown"},
      {"reason", execution::toString(Reason::EndpointLost)},
      {"detail", m_Detail},
      {"retry_after_ms", LostRequestRetryAfter.count()}};
  nlohmann::json Error = {{"error", std::move(Problem)}};
  const std::string Event = "event: error\ndata: " + Error.dump() + "\n\n";
  co_await m_Caller.writeChunk(Event);
  // Without the final chunk, no client accepts the response as complete.
  m_Caller.abort();
  recordEnd("outcome_unknown");
}

void RequestSession::recordEnd(std::string_view Outcome) {
  const PlacementRequest &Req = m_Request.m_Placement;
  m_State.m_Metrics.onRequestEnd(Req.m_Class, Outcome, now() - Req.m_Arrival);
  log::request(log::Category::Execution, "request.finished", Req.m_Id.str(),
               Req.m_Entry.str(), {{"outcome", Outcome}});
}

} // namespace sff::router
