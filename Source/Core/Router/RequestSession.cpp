#include "Router/RequestSession.h"

#include "Router/EndpointApi.h"
#include "Router/OutcomeResponse.h"

namespace sff::router {

using execution::NotRun;
using execution::OutcomeUnknown;
using execution::Reason;

namespace {

constexpr milliseconds WatchPeriod{50};
constexpr milliseconds OverloadRetryAfter{1000};
constexpr milliseconds LostRetryAfter{1000};
// Cancel requests after an attempt was lost, before a retry.
constexpr int MaxCancelTries = 3;

} // namespace

std::shared_ptr<Mailbox<PlaceAnswer>> submit(FrontState &State,
                                             const PlacementRequest &Item) {
  auto Box = std::make_shared<Mailbox<PlaceAnswer>>(State.m_Http);
  Decisions &Peers = State.m_Decisions;
  const bool Sent = Peers.loop().tryPost([&Peers, Box, Item] {
    Peers.broker().submit(
        Item, [Box](PlaceAnswer Answer) { Box->put(std::move(Answer)); });
  });
  return Sent ? Box : nullptr;
}

RequestSession::RequestSession(FrontState &State, CallerRequest Request,
                               http::Exchange &Caller)
    : m_State(State), m_Request(std::move(Request)), m_Caller(Caller) {}

RequestSession::Task<void> RequestSession::run() {
  auto Self = shared_from_this();
  m_State.m_Budget.onRequest(m_Request.m_Placement.m_Class);
  while (co_await runOnce())
    m_State.m_Metrics.retries().Increment();
}

/// One attempt. Returns true when the request is to be tried again.
RequestSession::Task<bool> RequestSession::runOnce() {
  auto Place = co_await place();
  if (!Place)
    co_return false;
  const AttemptEnd End = co_await attempt(*Place);
  co_return co_await settle(std::move(*Place), End);
}

RequestSession::Task<std::optional<Placement>> RequestSession::place() {
  PlaceAnswer Answer = co_await awaitPlace();
  if (auto *Refused = std::get_if<admission::Refusal>(&Answer)) {
    co_await refuse(*Refused);
    co_return std::nullopt;
  }
  co_return std::get<Placement>(std::move(Answer));
}

RequestSession::Task<PlaceAnswer> RequestSession::awaitPlace() {
  auto Box = submit(m_State, m_Request.m_Placement);
  if (!Box)
    co_return PlaceAnswer(
        admission::Refusal{Reason::QueueFull, OverloadRetryAfter});
  bool Withdrawn = false;
  while (true) {
    auto Answer = co_await Box->wait(WatchPeriod);
    if (Answer)
      co_return std::move(*Answer);
    if (Withdrawn || !m_Caller.callerGone())
      continue;
    Withdrawn = true;
    co_await withdraw();
  }
}

RequestSession::Task<void> RequestSession::withdraw() {
  Decisions &Peers = m_State.m_Decisions;
  timers::DutyLoop::Task Work = [&Peers, Entry = m_Request.m_Placement.m_Entry,
                                 Id = m_Request.m_Placement.m_Id] {
    Peers.broker().withdraw(Entry, Id);
  };
  co_await postToDecisions(m_State, std::move(Work));
}

RequestSession::Task<AttemptEnd> RequestSession::attempt(Placement Used) {
  log::request(log::Category::Routing, "request.dispatched",
               Used.m_Request.str(), Used.m_Entry.str(),
               {{"endpoint", Used.m_Endpoint.str()},
                {"attempt", Used.m_Attempt.str()},
                {"why", Used.m_Why}});
  m_DispatchedAt = now();
  Attempt Running(m_State, m_Request, Used, m_Caller);
  co_await Running.run();
  const AttemptEnd End = Running.end();
  if (End != AttemptEnd::NotSent)
    m_Guard.markSent();
  m_Answer = Running.answer();
  m_Detail = Running.detail();
  m_EndpointDown = Running.endpointDown();
  m_EndpointCrashed = Running.endpointCrashed();
  co_return End;
}

RequestSession::Task<std::int64_t> RequestSession::noteCrash() {
  m_State.m_Metrics.crashes().Increment();
  Decisions &Peers = m_State.m_Decisions;
  std::function<void(std::function<void(std::int64_t)>)> Start =
      [&Peers, Fingerprint = m_Request.m_Placement.m_Fingerprint](
          const std::function<void(std::int64_t)> &Done) {
        Done(Peers.crashes().onCrash(Fingerprint));
      };
  const auto Total =
      co_await queryDecisions<std::int64_t>(m_State, std::move(Start));
  log::request(log::Category::Execution, "request.crashed_endpoint",
               m_Request.m_Placement.m_Id.str(),
               m_Request.m_Placement.m_Entry.str(),
               {{"crashes", Total.value_or(1)}});
  co_return Total.value_or(1);
}

/// Ends the placement and answers the caller. Returns true for a retry.
RequestSession::Task<bool> RequestSession::settle(Placement Used,
                                                  AttemptEnd End) {
  AttemptReport Report;
  Report.m_EndpointDown = m_EndpointDown;
  Report.m_Class = m_Request.m_Placement.m_Class;
  Report.m_Fingerprint = m_Request.m_Placement.m_Fingerprint;
  switch (End) {
  case AttemptEnd::Answered:
  case AttemptEnd::Streamed:
    Report.m_Answered = true;
    Report.m_ServiceTime = now() - m_DispatchedAt;
    co_await finish(m_State, std::move(Used), Report);
    if (End == AttemptEnd::Answered)
      co_await respond(m_Answer);
    else
      noteEnd("answered");
    co_return false;
  case AttemptEnd::CallerGone:
    noteEnd("caller_gone");
    m_State.m_Metrics.cancels().Increment();
    releaseInBackground(m_State, std::move(Used));
    co_return false;
  case AttemptEnd::Expired:
    co_await respondUnknown(Reason::DeadlineExpired, m_Detail);
    m_State.m_Metrics.cancels().Increment();
    releaseInBackground(m_State, std::move(Used));
    co_return false;
  case AttemptEnd::NotSent:
  case AttemptEnd::Lost:
  case AttemptEnd::Torn:
    break;
  }
  const std::int64_t Crashes = m_EndpointCrashed ? co_await noteCrash() : 0;
  if (m_EndpointDown || End == AttemptEnd::NotSent) {
    co_await finish(m_State, Used, Report);
    co_return co_await onLost(std::move(Used), End, Crashes);
  }
  if (End == AttemptEnd::Torn) {
    co_await endTorn();
    releaseInBackground(m_State, std::move(Used));
    co_return false;
  }
  // The endpoint may still run the attempt under the same request id, so a
  // retry waits until that has ended.
  if (co_await release(Used))
    co_return co_await onLost(std::move(Used), End, Crashes);
  co_await respondUnknown(Reason::EndpointLost, m_Detail);
  releaseInBackground(m_State, std::move(Used));
  co_return false;
}

RequestSession::Task<bool> RequestSession::release(Placement Used) {
  const auto Where = http::Address::parse(Used.m_Address);
  for (int Try = 0; Where && m_Request.m_Engine && Try < MaxCancelTries; ++Try)
    if (co_await cancel(m_State, *Where, Used.m_Request)) {
      co_await finish(m_State, std::move(Used), NoReport);
      co_return true;
    }
  if (m_Request.m_Engine)
    co_return false;
  // Services know no cancellation; the broken connection ended the attempt.
  co_await finish(m_State, std::move(Used), NoReport);
  co_return true;
}

RequestSession::Task<bool>
RequestSession::onLost(Placement Used, AttemptEnd End, std::int64_t Crashes) {
  constexpr std::int64_t RefusedCrashes = 2;
  if (End == AttemptEnd::Torn) {
    co_await endTorn();
    co_return false;
  }
  if (Crashes >= RefusedCrashes) {
    co_await respondUnknown(Reason::Quarantined,
                            "the request crashed several endpoints");
    co_return false;
  }
  if (tryRetry(Used))
    co_return true;
  const admission::Refusal Why{Reason::EndpointLost, LostRetryAfter};
  co_await refuse(Why);
  co_return false;
}

bool RequestSession::tryRetry(const Placement &Used) {
  PlacementRequest &Asked = m_Request.m_Placement;
  if (Used.m_Isolated || now() >= Asked.m_Deadline || m_Caller.callerGone())
    return false;
  if (!m_State.m_Budget.tryRetry(Asked.m_Class))
    return false;
  Asked.m_Avoid.insert(Used.m_Endpoint);
  log::request(
      log::Category::Routing, "request.retried", Asked.m_Id.str(),
      Asked.m_Entry.str(),
      {{"failed_endpoint", Used.m_Endpoint.str()}, {"reason", m_Detail}});
  return true;
}

RequestSession::Task<void> RequestSession::refuse(admission::Refusal Why) {
  if (m_Guard.mayHaveBeenSent()) {
    OutcomeUnknown Unknown{Why.m_Reason, Why.m_RetryAfter, m_Detail};
    co_await respond(std::move(Unknown));
    co_return;
  }
  // Nothing was lost when nothing was sent; there was no endpoint to reach.
  if (Why.m_Reason == Reason::EndpointLost)
    Why.m_Reason = Reason::NoReplica;
  execution::Outcome Refused =
      NotRun(m_Guard, Why.m_Reason, Why.m_RetryAfter, m_Detail);
  co_await respond(std::move(Refused));
}

RequestSession::Task<void> RequestSession::respondUnknown(Reason Why,
                                                          std::string Detail) {
  OutcomeUnknown Unknown{Why, LostRetryAfter, std::move(Detail)};
  co_await respond(std::move(Unknown));
}

RequestSession::Task<void> RequestSession::respond(execution::Outcome Value) {
  http::Response Answer = recordOutcome(m_State, m_Request.m_Placement, Value);
  co_await m_Caller.respond(std::move(Answer));
}

RequestSession::Task<void> RequestSession::endTorn() {
  nlohmann::json Problem = {
      {"outcome", "outcome_unknown"},
      {"reason", execution::toString(Reason::EndpointLost)},
      {"detail", m_Detail},
      {"retry_after_ms", LostRetryAfter.count()}};
  nlohmann::json Error = {{"error", std::move(Problem)}};
  const std::string Event = "event: error\ndata: " + Error.dump() + "\n\n";
  co_await m_Caller.writeChunk(Event);
  // Without the last chunk no client takes the answer for a whole one.
  m_Caller.abort();
  noteEnd("outcome_unknown");
}

void RequestSession::noteEnd(std::string_view Outcome) {
  const PlacementRequest &Asked = m_Request.m_Placement;
  m_State.m_Metrics.onStreamEnd(Asked.m_Class, Outcome,
                                now() - Asked.m_Arrival);
  log::request(log::Category::Execution, "request.finished", Asked.m_Id.str(),
               Asked.m_Entry.str(), {{"outcome", Outcome}});
}

} // namespace sff::router
