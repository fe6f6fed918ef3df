#include "Host/RequestSession.h"

#include <algorithm>

namespace sff::host {

namespace {

/// Hosts that a request is passed on to before it is refused.
constexpr std::size_t MaxRelays = 3;
/// Retry-After of requests that no host can take. The caller's next try may
/// reach another host.
constexpr milliseconds NoHostRetryAfter{500};
constexpr int HttpOk = 200;
/// Status of answers by which a host refuses a request that has not run.
constexpr int RefusalStatus = 503;
/// Status of answers to requests whose time is over.
constexpr int TimeoutStatus = 504;

/// Returns whether another host has refused the request, which has not run.
bool isRefusal(const http::Response &Head) {
  return Head.m_Status == RefusalStatus &&
         Head.m_Headers.view(RelayOutcomeHeader) == RelayOutcomeNotRun;
}

} // namespace

RelayMetadata RequestSession::relayFacts() const {
  RelayMetadata Facts;
  Facts.m_Deadline = toMilliseconds(remainingTime());
  if (m_HeadSent && !m_Events.lastId().empty()) {
    Facts.m_LastEventId = m_Events.lastId();
    Facts.m_ResumedStream =
        isTakenUp() ? m_Facts.m_ResumedStream : m_Facts.m_Id;
  }
  return Facts;
}

Task<RequestSession::Step> RequestSession::passOn() {
  if (isCallerGone())
    co_return Step::TryAgain;
  const bool MayPassOn =
      m_Origin == RequestOrigin::Caller && m_RelaysTried.size() < MaxRelays;
  const auto Chosen = MayPassOn ? m_Relay.choose(m_RelaysTried) : std::nullopt;
  if (!Chosen) {
    co_await endWithFailure(CutOffReason, NoHostRetryAfter);
    co_return Step::Finished;
  }
  m_RelaysTried.insert(*Chosen);
  m_RelayCanceller = std::make_shared<http::CallCanceller>();
  http::ClientOptions Options = callOptions();
  // Answers that a host makes itself do not name the request.
  Options.m_ExpectedEcho.reset();
  Options.m_Canceller = m_RelayCanceller;
  logEvent("request.passed_on",
           {{"peer", *Chosen},
            {"begun", m_HeadSent},
            {"left_ms", toMilliseconds(remainingTime()).count()},
            {"silent_ms", m_State.m_Links.silence().count()}});
  http::Request Outgoing =
      m_State.m_Platform.m_WireFormat->encodeForHost(m_Incoming, relayFacts());
  const auto Watch = watchRelay(*Chosen);
  RelayedCall Call =
      co_await m_Relay.open(*Chosen, std::move(Outgoing), std::move(Options));
  if (const auto *Failure = std::get_if<http::TransportFailure>(&Call.m_Result))
    co_return co_await onRelayFailed(Call.m_Host, *Failure);
  m_RelayProgressAt = now();
  const auto Answer = std::get<OpenStream>(Call.m_Result);
  const ResponseMetadata Facts =
      m_State.m_Platform.m_WireFormat->decode(Answer->head());
  // Only endpoints seal their answers.
  if (!Facts.m_Sealed)
    co_return co_await onUnsealedRelay(Call.m_Host, Answer);
  recordRelayedNotice(Answer->head(), Facts);
  m_DispatchGuard.markSent();
  co_return co_await forwardRelayed(Call.m_Host, Answer);
}

void RequestSession::recordRelayedNotice(const http::Response &Head,
                                         const ResponseMetadata &Facts) {
  const EndpointId Id(std::string(Head.m_Headers.view(RelayEndpointHeader)));
  // A time without requests concerns only the host that was turned away.
  EndpointNotice Notice;
  Notice.m_IsLeaving = Facts.m_Notice.m_IsLeaving;
  if (!Id.str().empty())
    m_State.onNotice(Id, m_State.registrationOf(Id), Notice, "relayed_request",
                     m_Facts.m_Id.str());
}

std::shared_ptr<void> RequestSession::watchRelay(const HostId &Host) {
  m_RelayProgressAt = now();
  startRelayTimer(Host);
  return {nullptr, [this](void *) {
            m_SilenceTimer.cancel();
            m_RelayCanceller.reset();
          }};
}

void RequestSession::startRelayTimer(HostId Host) {
  m_SilenceTimer.expires_at(m_RelayProgressAt + silenceTimeout() -
                            PeerRelay::AliveTimeout);
  m_SilenceTimer.async_wait([Self = shared_from_this(), Host,
                             Weak = std::weak_ptr<http::CallCanceller>(
                                 m_RelayCanceller)](
                                const boost::system::error_code &Error) {
    const auto Watched = Weak.lock();
    if (Error || Self->m_Ended || !Watched || Watched != Self->m_RelayCanceller)
      return;
    Self->m_State.spawn("check_relay", checkRelay(Self, Host));
  });
}

Task<void> RequestSession::checkRelay(std::shared_ptr<RequestSession> Self,
                                      HostId Host) {
  const auto Watched = Self->m_RelayCanceller;
  const Instant SilentSince = Self->m_RelayProgressAt;
  const milliseconds Timeout = Self->silenceTimeout() - PeerRelay::AliveTimeout;
  // The host waits for the caller, not for the other host.
  if (Self->m_IsDelivering)
    Self->m_RelayProgressAt = now();
  bool IsAlive = now() - Self->m_RelayProgressAt < Timeout;
  if (!IsAlive) {
    IsAlive = co_await Self->m_Relay.isAlive(Host);
    if (IsAlive)
      Self->m_RelayProgressAt = now();
  }
  if (Self->m_Ended || Self->isOver() || Watched != Self->m_RelayCanceller)
    co_return;
  if (IsAlive || Self->m_RelayProgressAt != SilentSince) {
    Self->startRelayTimer(Host);
    co_return;
  }
  Self->m_Relay.onFailed(Host);
  const bool MayLeave = Self->mayLeaveRelay();
  Self->m_State.m_Metrics.onRelay("silent");
  Self->logEvent("request.relay_silent",
                 {{"peer", Host},
                  {"silent_ms", toMilliseconds(now() - SilentSince).count()},
                  {"begun", Self->m_HeadSent},
                  {"tries_another", MayLeave}});
  if (MayLeave) {
    Watched->cancel();
    co_return;
  }
  Self->m_RelayProgressAt = now();
  Self->startRelayTimer(Host);
}

bool RequestSession::mayLeaveRelay() {
  if (!m_Route->isIdempotent())
    return false;
  return !mustPassOn() || (m_RelaysTried.size() < MaxRelays && canPassOn());
}

Task<RequestSession::Step> RequestSession::onUnsealedRelay(HostId Host,
                                                           OpenStream Answer) {
  const int Status = Answer->head().m_Status;
  const std::string Declined(
      Answer->head().m_Headers.view(RelayDeclinedHeader));
  const std::string Outcome(Answer->head().m_Headers.view(RelayOutcomeHeader));
  // What endpoints refuse, they would refuse to other hosts, too.
  if (Declined.empty() && isRefusal(Answer->head())) {
    if (!m_DispatchGuard.mayHaveBeenSent())
      co_return co_await forwardRelayed(std::move(Host), std::move(Answer));
    Answer->close();
    co_await endWithFailure("refused_by_host");
    co_return Step::Finished;
  }
  Answer->close();
  // A host that lacks the route of one request, or that has lost it at an
  // endpoint, takes other requests.
  const bool TakesOthers =
      Declined.empty() ? !Outcome.empty() : Declined == RelayDeclinedForRoute;
  if (!TakesOthers)
    m_Relay.onFailed(Host);
  // The other host was given the time that was left.
  if (Status == TimeoutStatus && Outcome == RelayOutcomeUnknown)
    m_Expired = true;
  const bool HasNotRun = !Declined.empty() || Outcome == RelayOutcomeNotRun;
  m_State.m_Metrics.onRelay(HasNotRun ? "declined" : "not_served");
  logEvent(HasNotRun ? "request.relay_declined" : "request.relay_not_served",
           {{"peer", Host},
            {"status", Status},
            {"declined", Declined},
            {"outcome", Outcome}});
  if (HasNotRun)
    co_return Step::TryAgain;
  co_return co_await onRelayedAnswerLost();
}

Task<RequestSession::Step> RequestSession::onRelayedAnswerLost() {
  m_DispatchGuard.markSent();
  m_Events.discardPartial();
  if (m_Route->isIdempotent())
    co_return Step::TryAgain;
  co_await endWithFailure("peer_lost");
  co_return Step::Finished;
}

void RequestSession::markRelayOutcome(http::Response &Answer,
                                      std::string_view Reason) const {
  const bool IsUnknown = m_DispatchGuard.mayHaveBeenSent();
  Answer.m_Headers.set(
      std::string(RelayOutcomeHeader),
      std::string(IsUnknown ? RelayOutcomeUnknown : RelayOutcomeNotRun));
  if (IsUnknown)
    return;
  if (Reason == NoRouteReason)
    Answer.m_Headers.set(std::string(RelayDeclinedHeader),
                         std::string(RelayDeclinedForRoute));
  else if (Reason == NoCatalogueReason || Reason == CutOffReason)
    Answer.m_Headers.set(std::string(RelayDeclinedHeader), "1");
}

Task<RequestSession::Step>
RequestSession::onRelayFailed(HostId Host, http::TransportFailure Failure) {
  // The call also ends when the caller leaves or its time is over, which says
  // nothing of the host.
  if (!isOver())
    m_Relay.onFailed(Host);
  m_State.m_Metrics.onRelay("failed");
  logEvent("request.relay_failed",
           {{"peer", Host}, {"detail", Failure.m_Detail}});
  if (Failure.isKnownNotSent())
    co_return Step::TryAgain;
  co_return co_await onRelayedAnswerLost();
}

Task<RequestSession::Step> RequestSession::forwardRelayed(HostId Host,
                                                          OpenStream Answer) {
  const int Status = Answer->head().m_Status;
  const bool IsRefusal = isRefusal(Answer->head());
  const bool IsStream =
      m_Route->m_Kind == serving::RouteKind::Stream && Status == HttpOk;
  if (IsStream)
    co_return co_await forwardRelayedStream(Host, std::move(Answer));
  std::string Body;
  while (true) {
    auto Next = co_await Answer->read();
    if (const auto *Failure = std::get_if<http::TransportFailure>(&Next))
      co_return co_await onRelayFailed(Host, *Failure);
    m_RelayProgressAt = now();
    const std::string &Chunk = std::get<std::string>(Next);
    if (Chunk.empty())
      break;
    if (!appendToBody(Body, Chunk)) {
      Answer->close();
      co_await endWithFailure("peer_lost");
      co_return Step::Finished;
    }
  }
  m_SilenceTimer.cancel();
  if (m_HeadSent) {
    m_Caller.abort();
    recordOutcome("broken_off", 0, "resume_failed");
    co_return Step::Finished;
  }
  http::Response Final = makeAnswerHead(Answer->head());
  Final.m_Body = std::move(Body);
  m_State.m_Metrics.onRelay(IsRefusal ? "refused" : "answered");
  m_State.m_Metrics.onFirstByte(now() - m_ArrivedAt);
  const bool Delivered = co_await m_Caller.respond(std::move(Final));
  recordOutcome(!Delivered  ? "caller_gone"
                : IsRefusal ? "refused"
                            : "answered",
                Status, "passed_on");
  co_return Step::Finished;
}

Task<RequestSession::Step>
RequestSession::forwardRelayedStream(HostId Host, OpenStream Answer) {
  const EndpointId Id(
      std::string(Answer->head().m_Headers.view(RelayEndpointHeader)));
  while (true) {
    auto Next = co_await Answer->read();
    if (m_CallerGone) {
      recordOutcome("caller_gone", 0, "passed_on");
      co_return Step::Finished;
    }
    if (const auto *Failure = std::get_if<http::TransportFailure>(&Next))
      co_return co_await onRelayFailed(Host, *Failure);
    m_RelayProgressAt = now();
    const std::string &Chunk = std::get<std::string>(Next);
    const std::string Complete = m_Events.append(Chunk);
    const bool IsTooLong =
        !mayHold(m_Events.partialEvent().size(), MaxEventBytes);
    if (IsTooLong || (Chunk.empty() && !checkStreamEnd(Id, Answer->head()))) {
      Answer->close();
      http::TransportFailure Torn;
      Torn.m_Stage = http::FailureStage::Read;
      Torn.m_Detail = IsTooLong ? "an event is too long" : "the stream broke";
      co_return co_await onRelayFailed(Host, std::move(Torn));
    }
    if (!m_HeadSent) {
      m_RelayHasBegun = true;
      const bool Begun = co_await beginStream(Answer->head());
      if (!Begun) {
        recordOutcome("caller_gone", 0, "passed_on");
        co_return Step::Finished;
      }
    }
    m_IsDelivering = true;
    const bool Written = co_await m_Caller.writeChunk(Complete);
    m_IsDelivering = false;
    if (!Written) {
      recordOutcome("caller_gone", 0, "passed_on");
      co_return Step::Finished;
    }
    if (Chunk.empty())
      break;
  }
  m_State.m_Metrics.onRelay("answered");
  co_await m_Caller.endStream();
  recordOutcome("answered", Answer->head().m_Status, "passed_on");
  co_return Step::Finished;
}

} // namespace sff::host
