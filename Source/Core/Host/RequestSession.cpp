#include "Host/RequestSession.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>

namespace sff::host {

namespace {

/// Part of the caller's deadline that is reserved to deliver the final
/// response.
constexpr milliseconds DeadlineMargin{30};
/// Used when neither the caller sets a deadline nor the route a timeout.
constexpr milliseconds DefaultTimeout{30000};
constexpr milliseconds ConnectTimeout{600};
/// A request that was lost fails over only after the probe of its endpoint.
constexpr milliseconds ProbeTimeout{200};
/// Time in which the ends of the connections of a crashed endpoint arrive,
/// after the first of them.
constexpr milliseconds CrashSettleTime{20};
constexpr milliseconds ReadSlack{1000};
/// Pooled connections that have been idle for longer are not reused.
constexpr milliseconds MaxIdleTime{4000};
/// Delay before endpoints that refused the request are tried again, for each
/// send so far.
constexpr milliseconds RefusalBackoff{60};
/// Retry-After for quarantined requests, which have crashed endpoints.
constexpr milliseconds QuarantineRetryAfter{30000};
constexpr int UnauthorizedStatus = 401;
constexpr int TooManyRequestsStatus = 429;
/// Longest part of a caller's text in a log line.
constexpr std::size_t MaxLoggedBytes = 100;

std::uint64_t hashOf(std::string_view Text) {
  return std::hash<std::string_view>()(Text);
}

} // namespace

std::optional<EndpointId>
SessionAffinity::find(std::string_view Session) const {
  const auto Found = m_Endpoints.find(std::hash<std::string_view>()(Session));
  if (Found == m_Endpoints.end())
    return std::nullopt;
  return Found->second;
}

void SessionAffinity::record(const std::string &Session,
                             const EndpointId &Endpoint) {
  if (Session.empty())
    return;
  const std::size_t Key = std::hash<std::string_view>()(Session);
  if (m_Endpoints.size() >= MaxSessions && !m_Endpoints.contains(Key))
    m_Endpoints.erase(m_Endpoints.begin());
  m_Endpoints[Key] = Endpoint;
}

RequestSession::RequestSession(HostState &State, DemandRouter &Demands,
                               StreamTracker &Streams, QuotaService &Quotas,
                               SessionAffinity &Sessions, PeerRelay &Relay,
                               RequestOrigin Origin, http::Request Incoming,
                               http::Exchange &Caller)
    : m_State(State), m_Demands(Demands), m_Streams(Streams), m_Quotas(Quotas),
      m_Sessions(Sessions), m_Relay(Relay), m_Origin(Origin),
      m_Incoming(std::move(Incoming)), m_Caller(Caller), m_ArrivedAt(now()),
      m_AnswerMemory(State.m_AnswerMemory), m_Timer(State.m_Context),
      m_SilenceTimer(State.m_Context), m_Place(State.m_Admission) {}

Task<void> RequestSession::run() {
  m_Facts = m_State.m_Platform.m_WireFormat->decode(m_Incoming);
  m_Catalogue = m_State.m_Catalogue;
  if (!m_Catalogue) {
    co_await refuse(NoCatalogueReason, DefaultRetryAfter);
    co_return;
  }
  if (!findRoute()) {
    logNoRoute();
    co_await respondWithProblem(404, NoRouteReason, std::nullopt);
    co_return;
  }
  const bool IsAdmitted = co_await checkCaller();
  if (!IsAdmitted)
    co_return;
  if (m_Incoming.m_BodyUnread) {
    co_await refuse(BodyUnreadReason, DefaultRetryAfter);
    co_return;
  }
  const bool FitsQuota = co_await takeQuota();
  if (!FitsQuota)
    co_return;
  m_History = serving::AttemptHistory(m_Route->m_MaxEndpointsPerRequest);
  startTimers();
  m_Fingerprint = std::to_string(
      hashOf(m_Incoming.m_Target + m_Facts.m_Model.str() + m_Incoming.m_Body));
  co_await serve();
  m_Ended = true;
  returnQuota();
  m_Timer.cancel();
  m_SilenceTimer.cancel();
  m_Taken.reset();
  m_Place.leave();
  cancelAttempts();
}

bool RequestSession::findRoute() {
  m_Route = m_Catalogue->findRoute(m_Incoming.m_Headers.view("Host"),
                                   m_Incoming.path());
  if (!m_Route || m_Route->m_ServiceShares.empty())
    return false;
  // The service is selected by the hash of the request id, so that the shares
  // do not depend on the host.
  m_Service =
      m_Catalogue->findService(m_Route->serviceAt(hashOf(m_Facts.m_Id.str())));
  return m_Service != nullptr;
}

tenants::CallerIdentity RequestSession::identifyCaller() const {
  return m_State.identifyCaller(*m_Route, m_Facts.m_ApiKey);
}

Task<bool> RequestSession::checkCaller() {
  m_Identity = identifyCaller();
  if (m_Identity.isAdmitted())
    co_return true;
  const bool IsUnknown = m_Identity.m_Kind == tenants::CallerKind::UnknownKey;
  const std::string_view Reason =
      IsUnknown ? UnknownKeyReason : UnprovenKeyReason;
  logEvent("request.not_admitted",
           {{"reason", Reason},
            {"catalogue", m_State.m_Catalogue->m_Version},
            {"catalogue_age_ms", m_State.catalogueAge().count()}});
  if (IsUnknown && !m_HeadSent && !m_DispatchGuard.mayHaveBeenSent())
    co_await respondWithProblem(UnauthorizedStatus, Reason, std::nullopt);
  else
    co_await endWithFailure(Reason);
  co_return false;
}

Task<bool> RequestSession::takeQuota() {
  // The host that has passed the request on has counted it.
  const bool IsCounted = m_Origin == RequestOrigin::Caller &&
                         m_Identity.m_Kind == tenants::CallerKind::Tenant;
  if (!IsCounted)
    co_return true;
  const QuotaDecision Decision = co_await m_Quotas.take(
      m_Identity.m_Tenant, m_Facts.m_PromptTokens, m_Facts.m_OutputTokens);
  m_QuotaUse = Decision.m_Use;
  if (Decision.m_Fits)
    co_return true;
  logEvent("request.over_quota",
           {{"tenant", m_Identity.m_Tenant},
            {"cost", Decision.m_Cost},
            {"held", Decision.m_Held},
            {"grant_age_ms", Decision.m_GrantAge.count()},
            {"retry_after_ms", Decision.m_RetryAfter.count()}});
  co_await respondWithProblem(TooManyRequestsStatus, QuotaReason,
                              Decision.m_RetryAfter);
  co_return false;
}

void RequestSession::returnQuota() {
  if (m_QuotaUse && !m_DispatchGuard.mayHaveBeenSent())
    m_Quotas.refund(*m_QuotaUse);
}

void RequestSession::logNoRoute() const {
  std::string Prefix;
  std::string Service;
  if (m_Route) {
    Prefix = m_Route->m_PathPrefix;
    Service = m_Route->serviceAt(hashOf(m_Facts.m_Id.str()));
  }
  logEvent(
      "request.no_route",
      {{"host", m_Incoming.m_Headers.view("Host").substr(0, MaxLoggedBytes)},
       {"path", m_Incoming.path().substr(0, MaxLoggedBytes)},
       {"prefix", Prefix},
       {"service", Service},
       {"catalogue", m_Catalogue->m_Version},
       {"routes", m_Catalogue->m_Routes.size()},
       {"catalogue_age_ms", m_State.catalogueAge().count()}});
}

void RequestSession::startTimers() {
  milliseconds Limit = DefaultTimeout;
  if (m_Route->m_Timeout > milliseconds(0))
    Limit = m_Route->m_Timeout;
  if (m_Facts.m_Deadline)
    Limit = std::min(Limit, *m_Facts.m_Deadline - DeadlineMargin);
  m_RespondBy = m_ArrivedAt + Limit;
  startDeadlineTimer();
  m_Caller.onCallerDisconnect([Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (!Self || Self->m_Ended)
      return;
    Self->m_CallerGone = true;
    Self->cancelAttempts();
  });
}

void RequestSession::startDeadlineTimer() {
  if (m_State.m_LastAnswersAt)
    m_RespondBy = std::min(m_RespondBy, *m_State.m_LastAnswersAt);
  m_Timer.expires_at(m_RespondBy);
  m_Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (Error || Self->m_Ended)
          return;
        Self->m_Expired = true;
        // No other answer can replace one that has begun, and its endpoint may
        // complete it before the exit.
        if (Self->m_HeadSent && Self->endsWithProcess())
          return;
        Self->cancelAttempts();
      });
}

void RequestSession::onStop() {
  const bool HasDeadline = m_RespondBy != Instant();
  if (HasDeadline && !m_Ended && !m_Expired)
    startDeadlineTimer();
}

void RequestSession::cancelAttempts() {
  for (const auto &Active : {m_Current, m_Backup})
    if (Active)
      Active->cancel();
  if (m_RelayCanceller)
    m_RelayCanceller->cancel();
  m_Place.wake();
}

Task<void> RequestSession::serve() {
  // The host that sends the request to an endpoint counts it.
  if (!mustPassOn()) {
    m_State.budget(m_Service->m_Name).onRequest(now());
    if (m_Service->m_Engine && m_Service->m_Engine->knows(m_Facts.m_Model))
      m_Demands.onRequest(m_Facts.m_Model);
  }
  if (isTakenUp()) {
    const bool IsKnown = co_await pinVersion();
    if (!IsKnown && !isOver()) {
      co_await endWithFailure("stream_version_unknown");
      co_return;
    }
  }
  while (!isOver()) {
    const Step Next = co_await serveOnce();
    if (Next == Step::Finished)
      co_return;
  }
  // The answer of a backup that is still open will not be seen.
  if (m_Backup)
    m_DispatchGuard.markSent();
  if (m_CallerGone)
    recordOutcome("caller_gone", 0, "");
  else if (endsWithProcess())
    co_await endWithFailure("shutting_down", milliseconds(0));
  else
    co_await endWithFailure("timeout");
}

std::vector<const serving::Endpoint *> RequestSession::candidates() const {
  auto List = openHolders();
  std::erase_if(List, [this, Now = now()](const serving::Endpoint *Holder) {
    return !m_State.m_RateLimits.allows(Holder->id(), Now) ||
           !m_State.m_RejectionLimits.allows(*Holder, Now);
  });
  return List;
}

std::vector<const serving::Endpoint *> RequestSession::openHolders() const {
  auto List = holders();
  std::erase_if(List, [this, Now = now()](const serving::Endpoint *Holder) {
    return !m_State.m_Backoff.allows(*Holder, Now);
  });
  return List;
}

std::vector<const serving::Endpoint *> RequestSession::holders() const {
  auto List = m_State.m_Endpoints.serving(m_Service->m_Name);
  const serving::ModelName &Name = m_Facts.m_Model;
  if (!Name.m_Model.empty() && m_Service->m_Engine)
    std::erase_if(List, [&Name](const serving::Endpoint *Item) {
      return !Item->inventory().holds(Name);
    });
  filterByVersion(List);
  return List;
}

bool RequestSession::isQuarantined() const {
  return m_State.m_Crashes.isRejected(m_Fingerprint) ||
         m_State.m_Crashes.findRejected(m_Facts.m_PromptParts).has_value();
}

std::optional<std::string_view> RequestSession::checkQuarantine() {
  if (m_State.m_Crashes.isRejected(m_Fingerprint)) {
    logEvent("request.quarantined", {{"fingerprint", m_Fingerprint}});
    m_State.m_Crashes.onRejected(m_Fingerprint);
    return "crashed_endpoints";
  }
  const auto Part = m_State.m_Crashes.findRejected(m_Facts.m_PromptParts);
  if (!Part)
    return std::nullopt;
  logEvent("request.quarantined", {{"part", *Part}});
  m_State.m_Crashes.onRejectedPart(*Part);
  return "part_crashed_endpoints";
}

Task<RequestSession::Step> RequestSession::serveOnce() {
  if (m_Taken)
    co_return co_await goOnWithBackup();
  if (m_Backup) {
    co_await waitForBackup();
    co_return Step::TryAgain;
  }
  const bool IsAdmitted = co_await checkCaller();
  if (!IsAdmitted)
    co_return Step::Finished;
  if (const auto Reason = checkQuarantine()) {
    co_await endWithFailure(*Reason, QuarantineRetryAfter);
    co_return Step::Finished;
  }
  if (mustPassOn())
    co_return co_await passOn();
  auto List = candidates();
  const bool NeedsModel =
      m_Service->m_Engine && !m_Facts.m_Model.m_Model.empty();
  if (List.empty() && m_StreamVersion && holders().empty()) {
    // A load would not be bound to endpoints of the stream's version.
    co_await endWithFailure("no_endpoint_of_version");
    co_return Step::Finished;
  }
  if (!holders().empty() && openHolders().empty())
    co_return co_await waitForBackoff();
  if (List.empty() && mustAwaitRoom())
    co_return co_await waitForRoom();
  if (List.empty() && NeedsModel)
    co_return co_await waitForModel();
  if (List.empty())
    co_return co_await waitForRate();
  if (const auto Next = co_await awaitTurn(List))
    co_return *Next;
  serving::ChoiceContext Context = choiceContext(m_History.excluded());
  Context.m_AffinityEndpoint = m_Sessions.find(m_Facts.m_Session);
  Context.m_AffinityTokens = m_Facts.m_SessionTokens;
  const auto Chosen = m_State.m_Chooser.choose(List, Context, now());
  if (!Chosen) {
    // All endpoints have refused the request or failed during it. Those that
    // refused may have free capacity by now. Those that failed may be tried
    // again only if the request is idempotent.
    const bool Repeats = m_Route->isIdempotent();
    m_History.clearExclusions(Repeats);
    if (!Repeats && m_History.possibleExecutionCount() >= List.size()) {
      co_await endWithFailure("no_other_endpoint");
      co_return Step::Finished;
    }
    if (m_History.sends() >= MaxSends) {
      co_await endWithFailure("refused_by_endpoints");
      co_return Step::Finished;
    }
    // Unreachable endpoints are not counted as sends, so sends() may be 0.
    co_await sleepFor(std::min<Duration>(
        RefusalBackoff * std::max(1, m_History.sends()), remainingTime()));
    co_return Step::TryAgain;
  }
  co_return co_await attempt(*Chosen);
}

serving::ChoiceContext
RequestSession::choiceContext(const std::set<EndpointId> &Tried) const {
  serving::ChoiceContext Context;
  Context.m_Tried = &Tried;
  Context.m_PromptTokens = m_Facts.m_PromptTokens.value_or(0);
  Context.m_Kind = m_Route->m_PathPrefix;
  return Context;
}

http::ClientOptions RequestSession::callOptions() const {
  http::ClientOptions Options;
  Options.m_ConnectTimeout =
      std::min(ConnectTimeout, toMilliseconds(remainingTime()));
  Options.m_WriteTimeout = toMilliseconds(remainingTime());
  // m_Timer normally ends the call first; this timeout is a fallback.
  Options.m_ReadTimeout = toMilliseconds(remainingTime()) + ReadSlack;
  Options.m_MaxIdleTime = MaxIdleTime;
  Options.m_ExpectedEcho =
      m_State.m_Platform.m_WireFormat->makeEchoCheck(m_Facts.m_Id);
  return Options;
}

DispatchMetadata RequestSession::dispatchFacts(const EndpointId &Id) const {
  DispatchMetadata Facts;
  Facts.m_Endpoint = Id;
  Facts.m_Deadline = toMilliseconds(remainingTime());
  if (m_Service->m_Engine)
    Facts.m_Priority = m_Identity.m_Priority;
  if (m_Identity.m_HasTenants)
    Facts.m_Tenant = m_Identity.m_Tenant;
  if (m_HeadSent && !m_Events.lastId().empty())
    Facts.m_LastEventId = m_Events.lastId();
  return Facts;
}

bool RequestSession::tryAcquireRetry() {
  if (m_History.sends() == 0)
    return true;
  return m_History.canTryAnotherEndpoint() &&
         m_State.budget(m_Service->m_Name).tryRetry(now());
}

Task<RequestSession::Step> RequestSession::attempt(EndpointId Id) {
  if (isCallerGone())
    co_return Step::TryAgain;
  const auto Remote = m_State.addressOf(Id);
  if (!Remote) {
    m_History.exclude(Id);
    co_return Step::TryAgain;
  }
  if (!std::exchange(m_RetryGranted, false) && !tryAcquireRetry()) {
    co_await endWithFailure("retry_budget");
    co_return Step::Finished;
  }
  if (m_History.sends() > 0)
    m_State.m_Metrics.onRetry();
  m_Current = startAttempt(Id);
  m_Demands.onSent(m_Facts.m_Model, Id);
  const auto Watch = watchCurrent();
  http::OpenResult Result = co_await open(m_Current, *Remote);
  if (auto *Failure = std::get_if<http::TransportFailure>(&Result))
    co_return co_await onOpenFailed(Id, std::move(*Failure));
  co_return co_await onOpened(std::get<OpenStream>(std::move(Result)));
}

std::shared_ptr<Attempt> RequestSession::startAttempt(const EndpointId &Id) {
  const serving::Choice &Made = m_State.m_Chooser.lastChoice();
  const auto OrNull = [](const std::optional<Duration> &Time) {
    return Time ? nlohmann::json(toMilliseconds(*Time).count())
                : nlohmann::json();
  };
  auto Started = std::make_shared<Attempt>(
      m_State, Id,
      Attempt::Identity{m_Facts.m_Id, m_Service->m_Name, m_Fingerprint,
                        m_Facts.m_PromptParts});
  logEvent(
      "request.dispatched",
      {{"endpoint", Id},
       {"software", Started->softwareVersion()},
       {"send", m_History.sends() + 1},
       {"backup", m_Current != nullptr},
       {"load", Made.m_Load},
       {"speed", 1 / Made.m_Slowness},
       {"speed_age_ms", OrNull(Made.m_SlownessAge)},
       {"expected_ms", toMilliseconds(Made.m_ExpectedTime).count()},
       {"expected_first_byte_ms", OrNull(Made.m_ExpectedFirstByte)},
       {"runner_up", Made.m_RunnerUp ? Made.m_RunnerUp->str() : std::string()},
       {"runner_up_ms", toMilliseconds(Made.m_RunnerUpTime).count()},
       {"left_ms", toMilliseconds(remainingTime()).count()},
       {"catalogue", m_Catalogue->m_Version},
       {"prefix", m_Route->m_PathPrefix},
       {"catalogue_age_ms", m_State.catalogueAge().count()},
       {"endpoints_age_ms", m_State.endpointsAge().count()}});
  Started->setChoice(Made);
  return Started;
}

std::shared_ptr<void> RequestSession::watchCurrent() {
  if (m_Route->isIdempotent())
    startSilenceTimer(m_Current->lastProgressAt());
  return {nullptr, [this](void *) {
            m_SilenceTimer.cancel();
            m_Current.reset();
          }};
}

bool RequestSession::isCallerGone() {
  m_CallerGone = m_CallerGone || m_Caller.isCallerDisconnected();
  return m_CallerGone;
}

bool RequestSession::mayStillSend(const Attempt &Chosen) {
  const serving::Endpoint *Known = m_State.m_Endpoints.find(Chosen.endpoint());
  return !isCallerGone() && identifyCaller().isAdmitted() && Known &&
         Known->acceptsRequests() && m_State.m_Backoff.allows(*Known, now());
}

Task<http::OpenResult> RequestSession::open(std::shared_ptr<Attempt> Sent,
                                            http::Address Remote) {
  const WireFormat &Format = *m_State.m_Platform.m_WireFormat;
  http::Request Outgoing =
      Format.encode(m_Incoming, dispatchFacts(Sent->endpoint()));
  http::ClientOptions Options = callOptions();
  Options.m_Canceller = Sent->canceller();
  Options.m_MaySend = [this, Sent] { return mayStillSend(*Sent); };
  http::OpenResult Result = co_await m_State.m_Http.open(
      std::move(Remote), std::move(Outgoing), std::move(Options));
  if (const auto *Answer = std::get_if<OpenStream>(&Result))
    recordReports(*Sent, Format.decode((*Answer)->head()));
  co_return Result;
}

Task<RequestSession::Step> RequestSession::onOpened(OpenStream Answer) {
  const EndpointId Id = m_Current->endpoint();
  m_History.onSent();
  if (m_Current->isSuperseded())
    co_return co_await onIncompleteResponse(Id, serving::CallResult::Silent,
                                            "another endpoint answers");
  // Whether the endpoint has taken the request is known once its answer is
  // decoded; a backup goes on until then.
  m_Current->onProgress();
  m_State.m_Links.onData();
  co_return co_await onHead(Id, std::move(Answer));
}

Task<RequestSession::Step>
RequestSession::onOpenFailed(EndpointId Id, http::TransportFailure Failure) {
  if (!Failure.isKnownNotSent()) {
    m_History.exclude(Id);
    m_History.onSent();
    co_return co_await onIncompleteResponse(Id, resultOf(Failure),
                                            Failure.m_Detail);
  }
  m_Current->onNotRun();
  // Nothing was sent, so what was taken from the budget covers the next send.
  m_RetryGranted = m_History.sends() > 0;
  // An endpoint that was connected to is not out of reach.
  if (isOver() || Failure.m_Stage == http::FailureStage::NotSent)
    co_return Step::TryAgain;
  m_History.exclude(Id);
  const bool HasLinks = co_await onUnreachable(Id);
  if (HasLinks)
    m_State.spawn("attribute_losses", m_State.attributeLosses(Id));
  logEvent("request.not_sent",
           {{"endpoint", Id}, {"detail", Failure.m_Detail}});
  co_return Step::TryAgain;
}

serving::CallResult
RequestSession::resultOf(const http::TransportFailure &Failure) const {
  return Failure.m_TimedOut || m_Current->isSuperseded()
             ? serving::CallResult::Silent
             : serving::CallResult::Broken;
}

Task<RequestSession::Step>
RequestSession::onIncompleteResponse(EndpointId Id, serving::CallResult Result,
                                     std::string Detail) {
  m_History.onPossiblyExecuted(Id);
  m_History.exclude(Id);
  m_DispatchGuard.markSent();
  recordPossibleLoss(Id);
  if (isOver())
    co_return Step::TryAgain;
  m_State.m_Links.onConnectionFailed();
  m_State.m_Chooser.health().onResult(Id, Result, now());
  const bool Silent = Result == serving::CallResult::Silent;
  if (const auto Remote = m_State.addressOf(Id); Silent && Remote)
    m_State.m_Http.dropIdle(*Remote);
  logEvent("request.broken", {{"endpoint", Id},
                              {"silent", Silent},
                              {"detail", Detail},
                              {"fingerprint", m_Fingerprint}});
  m_State.m_Metrics.onLostRequest();
  const bool Repeats =
      m_Taken || (m_Route->isIdempotent() && m_History.canTryAnotherEndpoint());
  if (Repeats && !Silent)
    co_await probe(Id);
  if (Repeats)
    co_return Step::TryAgain;
  // The caller gets the answer without waiting for the probe.
  if (!Silent)
    m_State.spawn("probe_endpoint", probeLater(shared_from_this(), Id));
  co_await endWithFailure("endpoint_lost");
  co_return Step::Finished;
}

Task<bool> RequestSession::probe(EndpointId Id) {
  const auto Remote = m_State.addressOf(Id);
  if (!Remote)
    co_return false;
  const auto Failure = co_await m_State.m_Http.connect(*Remote, ProbeTimeout);
  if (!Failure)
    co_return true;
  // A process that ends may close its connections after its listener.
  if (!Failure->m_TimedOut)
    co_await sleepFor(CrashSettleTime);
  // An endpoint at its limit of connections resets further ones. Without an
  // answer to the attempt, the ends of other connections may be held up, too.
  const bool IsAlive =
      !Failure->m_TimedOut && m_State.m_Http.hasOpenConnection(*Remote, now());
  logEvent(
      "endpoint.probe_failed",
      {{"endpoint", Id}, {"detail", Failure->m_Detail}, {"is_alive", IsAlive}});
  if (IsAlive)
    co_return true;
  const bool HasLinks = co_await onUnreachable(Id);
  // Before the request is sent again, which its own crash may forbid.
  if (HasLinks)
    co_await m_State.attributeLosses(Id);
  co_return false;
}

Task<void> RequestSession::probeLater(std::shared_ptr<RequestSession> Self,
                                      EndpointId Id) {
  co_await Self->probe(std::move(Id));
}

Task<bool> RequestSession::onUnreachable(EndpointId Id) {
  m_State.m_Chooser.health().onResult(Id, serving::CallResult::Unreachable,
                                      now());
  // A host that reaches no endpoint at all has lost its own links.
  co_return co_await m_State.m_Links.hasLinks();
}

Task<void>
RequestSession::reportUnreachable(std::shared_ptr<RequestSession> Self,
                                  EndpointId Id) {
  const bool HasLinks = co_await Self->onUnreachable(Id);
  if (HasLinks)
    co_await Self->m_State.attributeLosses(std::move(Id));
}

Task<RequestSession::Step> RequestSession::onNotRun(ResponseMetadata Facts,
                                                    int Status) {
  recordRefusal(*m_Current, Facts, Status);
  co_return Step::TryAgain;
}

void RequestSession::recordRefusal(Attempt &Refused,
                                   const ResponseMetadata &Facts, int Status) {
  const EndpointId &Id = Refused.endpoint();
  m_History.exclude(Id);
  Refused.onNotRun();
  if (Facts.m_AddressReused) {
    m_State.m_Chooser.health().onResult(Id, serving::CallResult::Unreachable,
                                        now());
    m_State.onAddressReused(Id, Refused.registration());
  }
  if (Facts.m_ModelNotLoaded)
    m_Demands.onModelMissing(m_Facts.m_Model, Id);
  if (Facts.m_WasFull)
    m_Demands.onFull(m_Facts.m_Model);
  logEvent("request.not_run", {{"endpoint", Id},
                               {"status", Status},
                               {"other_endpoint", Facts.m_AddressReused},
                               {"lacks_model", Facts.m_ModelNotLoaded}});
}

} // namespace sff::host
