#include "Host/RequestSession.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>

namespace sff::host {

namespace {

/// Left of the caller's time for the way of the final answer.
constexpr milliseconds AnswerMargin{30};
/// Used where the caller names no deadline and the route no timeout.
constexpr milliseconds DefaultTimeout{30000};
constexpr milliseconds ConnectTimeout{600};
constexpr milliseconds ReadSlack{1000};
/// Pooled connections that are idle longer are not used again.
constexpr milliseconds MaxIdle{4000};
/// A request that may be repeated goes to another endpoint after this multiple
/// of its target latency without an answer, and not before this time.
constexpr int PatienceFactor = 3;
constexpr milliseconds LeastPatience{400};
/// Longest pause in a stream that may go on at another endpoint.
constexpr milliseconds StreamPatience{1500};
/// Wake-up of a wait for the directory, which notifies of changes itself.
constexpr milliseconds RecheckPeriod{250};
/// Pause before endpoints that refused are asked again, for each request that
/// they refused.
constexpr milliseconds FullPause{60};
/// Endpoints that one request is sent to at most, with those that refuse it;
/// each further one is taken from the retry budget.
constexpr int MaxSends = 4;
/// A request that crashed endpoints is not worth another try soon.
constexpr milliseconds QuarantineRetryAfter{30000};
/// Requests with less time left than this are refused while they wait.
constexpr milliseconds LeastUsefulTime{50};
constexpr std::int64_t HighestRank = 9;

std::uint64_t hashOf(std::string_view Text) {
  return std::hash<std::string_view>()(Text);
}

} // namespace

std::optional<EndpointId> SessionMemory::find(std::string_view Session) const {
  const auto Found = m_Endpoints.find(Session);
  if (Found == m_Endpoints.end())
    return std::nullopt;
  return Found->second;
}

void SessionMemory::note(const std::string &Session,
                         const EndpointId &Endpoint) {
  if (Session.empty())
    return;
  if (m_Endpoints.size() >= MaxSessions && !m_Endpoints.contains(Session))
    m_Endpoints.erase(m_Endpoints.begin());
  m_Endpoints[Session] = Endpoint;
}

RequestSession::RequestSession(HostState &State, DemandRouter &Demands,
                               SessionMemory &Sessions, http::Request Incoming,
                               http::Exchange &Caller)
    : m_State(State), m_Demands(Demands), m_Sessions(Sessions),
      m_Incoming(std::move(Incoming)), m_Caller(Caller), m_Arrived(now()),
      m_Timer(State.m_Context), m_SilenceTimer(State.m_Context) {}

Task<void> RequestSession::run() {
  m_Facts = m_State.m_Platform.m_Wire->decode(m_Incoming);
  m_Catalogue = m_State.m_Catalogue;
  if (!m_Catalogue) {
    co_await refuse("no_catalogue", DefaultRetryAfter);
    co_return;
  }
  if (!findRoute()) {
    co_await answerProblem(404, "no_route", std::nullopt);
    co_return;
  }
  m_History = serving::AttemptHistory(m_Route->m_MaxEndpoints);
  startClocks();
  m_Fingerprint = std::to_string(
      hashOf(m_Incoming.m_Target + m_Facts.m_Model.str() + m_Incoming.m_Body));
  if (m_State.m_Quarantine.verdict(m_Fingerprint, now()) ==
      retry::QuarantineVerdict::Refuse)
    co_await refuse("crashed_endpoints", QuarantineRetryAfter);
  else
    co_await serve();
  m_Ended = true;
  m_Timer.cancel();
  m_SilenceTimer.cancel();
}

bool RequestSession::findRoute() {
  m_Route = m_Catalogue->findRoute(m_Incoming.m_Headers.view("Host"),
                                   m_Incoming.path());
  if (!m_Route || m_Route->m_Shares.empty())
    return false;
  // The request id decides, so that a share does not depend on the host.
  m_Service =
      m_Catalogue->findService(m_Route->serviceAt(hashOf(m_Facts.m_Id.str())));
  return m_Service != nullptr;
}

void RequestSession::startClocks() {
  milliseconds Limit = DefaultTimeout;
  if (m_Route->m_Timeout > milliseconds(0))
    Limit = m_Route->m_Timeout;
  if (m_Facts.m_Deadline)
    Limit = std::min(Limit, *m_Facts.m_Deadline - AnswerMargin);
  m_AnswerBy = m_Arrived + Limit;
  m_Timer.expires_at(m_AnswerBy);
  m_Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (Error || Self->m_Ended)
          return;
        Self->m_Expired = true;
        if (Self->m_Canceller)
          Self->m_Canceller->cancel();
      });
  m_Caller.watchCaller([Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (!Self || Self->m_Ended)
      return;
    Self->m_CallerGone = true;
    if (Self->m_Canceller)
      Self->m_Canceller->cancel();
  });
}

Task<void> RequestSession::serve() {
  m_State.budget(m_Service->m_Name).onRequest(now());
  if (!m_Facts.m_Model.m_Model.empty())
    m_Demands.onRequest(m_Facts.m_Model);
  while (!isOver()) {
    const Step Next = co_await serveOnce();
    if (Next == Step::Finished)
      co_return;
  }
  if (m_CallerGone)
    finish("caller_gone", 0, "");
  else
    co_await giveUp("timeout");
}

std::vector<const serving::Endpoint *> RequestSession::candidates() const {
  auto List = m_State.m_Endpoints.serving(m_Service->m_Name);
  const serving::ModelName &Name = m_Facts.m_Model;
  if (Name.m_Model.empty() || !m_Service->m_Engine)
    return List;
  std::erase_if(List, [&Name](const serving::Endpoint *Item) {
    return !Item->inventory().holds(Name);
  });
  return List;
}

Task<RequestSession::Step> RequestSession::serveOnce() {
  const auto List = candidates();
  const bool NeedsModel =
      m_Service->m_Engine && !m_Facts.m_Model.m_Model.empty();
  if (List.empty() && NeedsModel)
    co_return co_await waitForModel();
  if (List.empty()) {
    co_await giveUp("no_endpoint");
    co_return Step::Finished;
  }
  serving::ChoiceContext Context;
  Context.m_Tried = &m_History.excluded();
  Context.m_Affine = m_Sessions.find(m_Facts.m_Session);
  Context.m_AffineTokens = m_Facts.m_SessionTokens;
  const auto Chosen = m_State.m_Chooser.choose(List, Context, now());
  if (!Chosen) {
    // All have refused or lost it. They may have room again, and one that lost
    // an answer may have it again where the request may run twice.
    const bool Repeats = m_Route->isIdempotent();
    m_History.readmit(Repeats);
    if (!Repeats && m_History.endpointsThatMayHaveRun() >= List.size()) {
      co_await giveUp("no_other_endpoint");
      co_return Step::Finished;
    }
    if (m_History.sends() >= MaxSends) {
      co_await giveUp("refused_by_endpoints");
      co_return Step::Finished;
    }
    // Endpoints that could not be reached count no send.
    co_await sleepFor(FullPause * std::max(1, m_History.sends()));
    co_return Step::TryAgain;
  }
  co_return co_await attempt(*Chosen);
}

Task<RequestSession::Step> RequestSession::waitForModel() {
  const bool AnyEndpoint =
      !m_State.m_Endpoints.serving(m_Service->m_Name).empty();
  const bool Known = m_Service->m_Engine->find(m_Facts.m_Model.m_Model);
  if (!AnyEndpoint || !Known) {
    co_await giveUp(Known ? "no_endpoint" : "unknown_model");
    co_return Step::Finished;
  }
  // A caller who is about to leave is told when to come back instead.
  const Duration Patience = m_Route->callerPatience() - (now() - m_Arrived);
  const Duration Useful = std::min<Duration>(left(), Patience);
  if (Useful < LeastUsefulTime) {
    co_await giveUp("model_not_loaded");
    co_return Step::Finished;
  }
  if (m_State.m_Stopping) {
    co_await giveUp("shutting_down");
    co_return Step::Finished;
  }
  if (!std::exchange(m_LoggedWait, true))
    logStep("request.waiting", {{"catalogue", m_Catalogue->m_Version},
                                {"useful_ms", toMilliseconds(Useful).count()}});
  const auto ReadyAt = m_Demands.readyAt(m_Facts.m_Model.m_Model);
  if (ReadyAt && *ReadyAt - now() > Useful) {
    co_await giveUp("model_too_late", toMilliseconds(*ReadyAt - now()));
    co_return Step::Finished;
  }
  m_Demands.onWaiting(m_Facts.m_Model, 1);
  m_Demands.ensure(m_Service->m_Name, m_Facts.m_Model, m_Route->m_Rank,
                   now() + Useful);
  co_await m_State.m_Changed.wait(std::min<Duration>(RecheckPeriod, Useful));
  m_Demands.onWaiting(m_Facts.m_Model, -1);
  co_return Step::TryAgain;
}

milliseconds RequestSession::patience() const {
  if (m_HeadSent)
    return StreamPatience;
  return std::max(m_Route->m_Kind == serving::RouteKind::Stream ? StreamPatience
                                                                : LeastPatience,
                  PatienceFactor * m_Route->m_TargetLatency);
}

bool RequestSession::canMoveOn(const EndpointId &Current) const {
  if (!m_Route->isIdempotent() || !m_History.mayRunElsewhereAfter(Current))
    return false;
  const auto List = candidates();
  const bool Other = std::ranges::any_of(List, [&, this](const auto *Item) {
    return Item->id() != Current && !m_History.isExcluded(Item->id()) &&
           !m_State.m_Chooser.health().isSuspended(Item->id(), now());
  });
  return Other && m_State.budget(m_Service->m_Name).allows(now());
}

void RequestSession::watchSilence(EndpointId Id) {
  m_SilenceTimer.expires_at(m_Progress + patience());
  m_SilenceTimer.async_wait(
      [Self = shared_from_this(), Id](const boost::system::error_code &Error) {
        if (Error || Self->m_Ended)
          return;
        const Duration Silent = now() - Self->m_Progress;
        if (Silent >= Self->patience()) {
          if (Self->canMoveOn(Id)) {
            Self->m_GaveUpSilent = true;
            Self->m_Canceller->cancel();
            return;
          }
          Self->m_Progress = now();
        }
        Self->watchSilence(Id);
      });
}

http::ClientOptions RequestSession::callOptions() const {
  http::ClientOptions Options;
  Options.m_ConnectTimeout = std::min(ConnectTimeout, toMilliseconds(left()));
  Options.m_WriteTimeout = toMilliseconds(left());
  // The session's own timer ends the call; this one only backs it up.
  Options.m_ReadTimeout = toMilliseconds(left()) + ReadSlack;
  Options.m_MaxIdle = MaxIdle;
  Options.m_Echo = m_State.m_Platform.m_Wire->echoOf(m_Facts.m_Id);
  Options.m_Canceller = m_Canceller;
  return Options;
}

DispatchFacts RequestSession::dispatchFacts(const EndpointId &Id) const {
  DispatchFacts Facts;
  Facts.m_Endpoint = Id;
  Facts.m_Deadline = toMilliseconds(left());
  if (m_Service->m_Engine)
    Facts.m_Rank = std::clamp<std::int64_t>(m_Route->m_Rank, 0, HighestRank);
  if (m_HeadSent && !m_Events.lastId().empty())
    Facts.m_LastEventId = m_Events.lastId();
  return Facts;
}

bool RequestSession::mayRepeat() {
  if (m_History.sends() == 0)
    return true;
  return m_History.mayRunElsewhere() &&
         m_State.budget(m_Service->m_Name).tryRetry(now());
}

Task<RequestSession::Step> RequestSession::attempt(EndpointId Id) {
  const auto Remote = m_State.addressOf(Id);
  if (!Remote) {
    m_History.exclude(Id);
    co_return Step::TryAgain;
  }
  if (!std::exchange(m_RetryGranted, false) && !mayRepeat()) {
    co_await giveUp("retry_budget");
    co_return Step::Finished;
  }
  if (m_History.sends() > 0)
    m_State.m_Metrics.onRetry();
  m_Canceller = std::make_shared<http::CallCanceller>();
  logStep("request.dispatched",
          {{"endpoint", Id},
           {"send", m_History.sends() + 1},
           {"load", m_State.m_Chooser.loads().estimate(Id, now())},
           {"left_ms", toMilliseconds(left()).count()},
           {"catalogue", m_Catalogue->m_Version}});
  auto &Loads = m_State.m_Chooser.loads();
  Loads.onDispatched(Id, now());
  const std::shared_ptr<void> Done(
      nullptr, [&Loads, Id](void *) { Loads.onFinished(Id, now()); });
  const Instant SentAt = now();
  m_Progress = SentAt;
  m_GaveUpSilent = false;
  if (m_Route->isIdempotent())
    watchSilence(Id);
  const std::shared_ptr<void> StopWatch(
      nullptr, [this](void *) { m_SilenceTimer.cancel(); });
  http::Request Outgoing =
      m_State.m_Platform.m_Wire->encode(m_Incoming, dispatchFacts(Id));
  http::OpenResult Result =
      co_await m_State.m_Http.open(*Remote, std::move(Outgoing), callOptions());
  if (auto *Failure = std::get_if<http::TransportFailure>(&Result))
    co_return co_await onOpenFailed(Id, std::move(*Failure));
  m_History.onSent();
  m_State.m_Chooser.health().onLatency(Id, now() - SentAt);
  co_return co_await onHead(Id, std::get<OpenStream>(std::move(Result)));
}

Task<RequestSession::Step>
RequestSession::onOpenFailed(EndpointId Id, http::TransportFailure Failure) {
  m_History.exclude(Id);
  if (!Failure.provesNotSent()) {
    m_History.onSent();
    co_return co_await onBroken(Id, resultOf(Failure), Failure.m_Detail);
  }
  if (isOver())
    co_return Step::TryAgain;
  m_State.m_Chooser.health().onResult(Id, serving::CallResult::Unreachable,
                                      now());
  m_State.onEndpointDown(Id);
  logStep("request.not_sent", {{"endpoint", Id}, {"detail", Failure.m_Detail}});
  co_return Step::TryAgain;
}

serving::CallResult
RequestSession::resultOf(const http::TransportFailure &Failure) const {
  return Failure.m_TimedOut || m_GaveUpSilent ? serving::CallResult::Silent
                                              : serving::CallResult::Broken;
}

Task<RequestSession::Step> RequestSession::onBroken(EndpointId Id,
                                                    serving::CallResult Result,
                                                    std::string Detail) {
  m_History.onMayHaveRun(Id);
  m_History.exclude(Id);
  m_Guard.markSent();
  if (isOver())
    co_return Step::TryAgain;
  m_State.m_Chooser.health().onResult(Id, Result, now());
  const bool Silent = Result == serving::CallResult::Silent;
  if (!Silent)
    m_State.m_CrashWatch.onBroken(Id, m_Fingerprint, now());
  if (const auto Remote = m_State.addressOf(Id); Silent && Remote)
    m_State.m_Http.dropIdle(*Remote);
  logStep("request.broken",
          {{"endpoint", Id}, {"silent", Silent}, {"detail", Detail}});
  if (m_Route->isIdempotent() && m_History.mayRunElsewhere())
    co_return Step::TryAgain;
  co_await giveUp("endpoint_lost");
  co_return Step::Finished;
}

Task<RequestSession::Step>
RequestSession::onNotRun(EndpointId Id, AnswerFacts Facts, int Status) {
  m_History.exclude(Id);
  if (Facts.m_OtherEndpoint)
    m_State.m_Chooser.health().onResult(Id, serving::CallResult::Unreachable,
                                        now());
  if (Facts.m_LacksModel)
    m_Demands.onLacked(m_Facts.m_Model, Id);
  logStep("request.not_run", {{"endpoint", Id},
                              {"status", Status},
                              {"other_endpoint", Facts.m_OtherEndpoint},
                              {"lacks_model", Facts.m_LacksModel}});
  co_return Step::TryAgain;
}

} // namespace sff::host
