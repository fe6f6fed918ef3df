#include "Host/RequestSession.h"

#include "Common/Codec/Text.h"

#include <algorithm>

namespace sff::host {

namespace {

/// Upper bound for a wait for a change of the directory, which also sends
/// notifications.
constexpr milliseconds RecheckInterval{250};
/// Requests with less remaining time than this are refused instead of waiting.
constexpr milliseconds MinUsefulTime{50};
/// Added to the time after which the rates of endpoints allow a request, for
/// other requests that come first.
constexpr milliseconds RetryAfterMargin{200};
/// Time between two looks for room at the endpoints.
constexpr milliseconds RoomCheckInterval{50};
/// Shortest wait for the rate of an endpoint.
constexpr milliseconds MinRateWait{5};

} // namespace

Task<RequestSession::Step> RequestSession::waitForModel() {
  m_Place.leave();
  const bool AnyEndpoint =
      !m_State.m_Endpoints.serving(m_Service->m_Name).empty();
  // Orders are JSON, so no endpoint can be told to load another name.
  const bool Known = m_Service->m_Engine->knows(m_Facts.m_Model) &&
                     codec::isUtf8(m_Facts.m_Model.m_Adapter);
  if (!AnyEndpoint || !Known) {
    co_await endWithFailure(Known ? "no_endpoint" : "unknown_model");
    co_return Step::Finished;
  }
  // If the caller is about to disconnect, refuse with Retry-After instead of
  // waiting.
  const Duration WaitLimit = answerDeadline() - now();
  if (WaitLimit < MinUsefulTime) {
    co_await endWithFailure("model_not_loaded");
    co_return Step::Finished;
  }
  if (m_State.m_Stopping) {
    co_await endWithFailure("shutting_down");
    co_return Step::Finished;
  }
  if (!std::exchange(m_WaitLogged, true))
    logEvent("request.waiting",
             {{"catalogue", m_Catalogue->m_Version},
              {"useful_ms", toMilliseconds(WaitLimit).count()}});
  const auto ReadyAt = m_Demands.expectedReadyAt(m_Facts.m_Model.m_Model);
  if (ReadyAt && *ReadyAt - now() > WaitLimit) {
    co_await endWithFailure("model_too_late", toMilliseconds(*ReadyAt - now()));
    co_return Step::Finished;
  }
  m_Demands.adjustWaiting(m_Facts.m_Model, 1);
  m_Demands.requestModel(m_Service->m_Name, m_Facts.m_Model,
                         m_Identity.m_Priority, now() + WaitLimit);
  co_await m_State.m_Changed.wait(
      std::min<Duration>(RecheckInterval, WaitLimit));
  m_Demands.adjustWaiting(m_Facts.m_Model, -1);
  co_return Step::TryAgain;
}

Task<RequestSession::Step> RequestSession::waitForBackoff() {
  m_Place.leave();
  const Duration Wait = m_State.m_Backoff.shortest(holders(), now());
  const Duration WaitLimit = answerDeadline() - now() - MinUsefulTime;
  if (Wait > WaitLimit || m_State.m_Stopping) {
    co_await endWithFailure("turned_away",
                            toMilliseconds(Wait) + RetryAfterMargin);
    co_return Step::Finished;
  }
  if (!std::exchange(m_WaitLogged, true))
    logEvent("request.turned_away", {{"wait_ms", toMilliseconds(Wait).count()},
                                     {"endpoints", holders().size()}});
  // Another endpoint may hold the model before.
  co_await m_State.m_Changed.wait(
      std::clamp<Duration>(Wait, MinRateWait, RecheckInterval));
  co_return Step::TryAgain;
}

Task<RequestSession::Step> RequestSession::waitForRate() {
  m_Place.leave();
  const auto Holders = openHolders();
  std::vector<EndpointId> Endpoints;
  Endpoints.reserve(Holders.size());
  for (const serving::Endpoint *Item : Holders)
    Endpoints.push_back(Item->id());
  if (Endpoints.empty()) {
    co_await endWithFailure("no_endpoint");
    co_return Step::Finished;
  }
  std::size_t &Waiting = m_State.m_WaitingForRates[m_Service->m_Name];
  const Duration Wait =
      m_State.m_RateLimits.expectedWait(Endpoints, Waiting, now());
  if (Wait > answerDeadline() - now() - MinUsefulTime) {
    co_await endWithFailure("endpoint_limits",
                            toMilliseconds(Wait) + RetryAfterMargin);
    co_return Step::Finished;
  }
  if (!std::exchange(m_WaitLogged, true))
    logEvent("request.limited", {{"wait_ms", toMilliseconds(Wait).count()},
                                 {"waiting", Waiting},
                                 {"endpoints", Endpoints.size()}});
  ++Waiting;
  co_await sleepFor(std::clamp<Duration>(Wait, MinRateWait, RecheckInterval));
  --Waiting;
  co_return Step::TryAgain;
}

bool RequestSession::mustAwaitRoom() const {
  const auto Holders = openHolders();
  return std::ranges::any_of(
      Holders, [this, Now = now()](const serving::Endpoint *Holder) {
        return m_State.m_RateLimits.allows(Holder->id(), Now) &&
               m_State.m_RejectionLimits.limitOf(*Holder, Now).has_value();
      });
}

Instant RequestSession::answerDeadline() const {
  const Instant LeavesAt =
      std::max(m_ArrivedAt, m_LastEventAt) + m_Route->callerTimeout();
  const bool IsKnown =
      m_Facts.m_Deadline && m_Route->m_Kind != serving::RouteKind::Stream;
  return IsKnown ? m_RespondBy : std::min(m_RespondBy, LeavesAt);
}

admission::DispatchRequest RequestSession::dispatchRequest(
    std::span<const serving::Endpoint *const> List) const {
  admission::DispatchRequest Result;
  // Each attempt of a caller has an id of its own.
  Result.m_Request = RequestId(m_Fingerprint);
  Result.m_Rank = m_Identity.m_Priority;
  Result.m_Arrival = std::max(m_ArrivedAt, m_LastEventAt);
  Result.m_TargetLatency =
      m_HeadSent ? m_Route->m_EventGapTarget : m_Route->m_TargetLatency;
  Result.m_Deadline = answerDeadline();
  Result.m_CallerDeadline = m_RespondBy;
  Result.m_Work =
      admission::workOf(m_Facts.m_PromptTokens, m_Facts.m_OutputTokens);
  std::vector<EndpointId> Suspended;
  for (const serving::Endpoint *Candidate : List) {
    if (m_History.isExcluded(Candidate->id()))
      continue;
    const bool IsSuspended =
        m_State.m_Chooser.health().isSuspended(Candidate->id(), now());
    (IsSuspended ? Suspended : Result.m_Candidates).push_back(Candidate->id());
  }
  // Endpoints that fail have room, but are used only if there is no other.
  if (Result.m_Candidates.empty())
    Result.m_Candidates = std::move(Suspended);
  Result.m_IsRetry = m_History.sends() > 0 && !m_RetryGranted;
  return Result;
}

Task<std::optional<RequestSession::Step>>
RequestSession::awaitTurn(std::vector<const serving::Endpoint *> &List) {
  admission::DispatchRequest Request = dispatchRequest(List);
  // What follows decides about requests that have no endpoint left.
  if (Request.m_Candidates.empty() ||
      (Request.m_IsRetry && !m_History.canTryAnotherEndpoint())) {
    m_Place.leave();
    co_return std::nullopt;
  }
  const bool HasWaited = m_Place.isWaiting();
  admission::Decision Made =
      m_Place.offer(m_Service->m_Name, std::move(Request), now());
  if (Made.m_Verdict != admission::Verdict::Send)
    co_return co_await waitInQueue(std::move(Made), RecheckInterval);
  std::erase_if(List, [&](const serving::Endpoint *Candidate) {
    return std::ranges::find(Made.m_Endpoints, Candidate->id()) ==
           Made.m_Endpoints.end();
  });
  const Duration Waited =
      HasWaited ? now() - m_Place.since() : Duration::zero();
  m_State.m_Metrics.onAdmission(HasWaited ? "sent_after_wait" : "sent_at_once",
                                "", Waited);
  if (HasWaited)
    logEvent("request.turn",
             {{"waited_ms", toMilliseconds(Waited).count()},
              {"endpoints", List.size()},
              {"waiting", m_State.m_Admission.waiting(m_Service->m_Name)}});
  co_return std::nullopt;
}

Task<RequestSession::Step> RequestSession::waitForRoom() {
  co_return co_await waitInQueue(
      m_Place.offerBlocked(m_Service->m_Name, dispatchRequest(openHolders()),
                           now()),
      RoomCheckInterval);
}

Task<RequestSession::Step> RequestSession::waitInQueue(admission::Decision Made,
                                                       Duration MaxWait) {
  const AdmissionControl &Admission = m_State.m_Admission;
  const Duration Expected =
      std::max(Made.m_ExpectedStart - now(), Duration::zero());
  nlohmann::json Fields = {
      {"reason", Made.m_Reason},
      {"position", Made.m_Position},
      {"expected_start_ms", toMilliseconds(Expected).count()},
      {"priority", m_Identity.m_Priority},
      {"waiting", Admission.waiting(m_Service->m_Name)},
      {"starts_per_second",
       Admission.startsPerSecond(m_Service->m_Name, now())},
      {"useful_ms", toMilliseconds(answerDeadline() - now()).count()}};
  const bool IsRejected = Made.m_Verdict == admission::Verdict::Reject;
  if (IsRejected || m_State.m_Stopping) {
    m_Place.leave();
    const milliseconds RetryAfter =
        IsRejected ? Made.m_RetryAfter : DefaultRetryAfter;
    Fields["retry_after_ms"] = RetryAfter.count();
    logEvent("request.not_queued", std::move(Fields));
    m_State.m_Metrics.onAdmission("rejected",
                                  IsRejected ? Made.m_Reason : "shutting_down",
                                  Duration::zero());
    co_await endWithFailure(
        Made.m_LacksRetry ? "retry_budget" : "endpoints_full", RetryAfter);
    co_return Step::Finished;
  }
  if (!std::exchange(m_WaitLogged, true))
    logEvent("request.awaits_room", std::move(Fields));
  // An endpoint that was closed for a time tells nobody that it is open again.
  const Duration Wait = Expected > Duration::zero()
                            ? std::min<Duration>(Expected, MaxWait)
                            : MaxWait;
  co_await m_Place.wait(std::clamp<Duration>(Wait, MinRateWait, MaxWait));
  co_return Step::TryAgain;
}

} // namespace sff::host
