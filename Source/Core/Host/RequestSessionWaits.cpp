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
/// Assumed while nothing has been sent lately.
constexpr double MinSendsPerSecond = 1;
/// Shortest wait for the rate of an endpoint.
constexpr milliseconds MinRateWait{5};

} // namespace

Task<RequestSession::Step> RequestSession::waitForModel() {
  const bool AnyEndpoint =
      !m_State.m_Endpoints.serving(m_Service->m_Name).empty();
  // Orders are JSON, so no endpoint can be told to load another name.
  const bool Known = m_Service->m_Engine->find(m_Facts.m_Model.m_Model) &&
                     codec::isUtf8(m_Facts.m_Model.m_Adapter);
  if (!AnyEndpoint || !Known) {
    co_await endWithFailure(Known ? "no_endpoint" : "unknown_model");
    co_return Step::Finished;
  }
  // If the caller is about to disconnect, refuse with Retry-After instead of
  // waiting.
  const Duration CallerPatience =
      m_Route->callerTimeout() - (now() - m_ArrivedAt);
  const Duration WaitLimit =
      std::min<Duration>(remainingTime(), CallerPatience);
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
  const Duration Wait = m_State.m_Backoff.shortest(holders(), now());
  const Duration CallerPatience =
      m_Route->callerTimeout() - (now() - m_ArrivedAt);
  const Duration WaitLimit =
      std::min<Duration>(remainingTime() - MinUsefulTime, CallerPatience);
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
  const Duration CallerPatience =
      m_Route->callerTimeout() - (now() - m_ArrivedAt);
  if (Wait >
      std::min<Duration>(remainingTime() - MinUsefulTime, CallerPatience)) {
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

Task<RequestSession::Step> RequestSession::waitForRoom() {
  const double SendsPerSecond = std::max(
      m_State.m_SendRates.rate(m_Service->m_Name, now()), MinSendsPerSecond);
  std::size_t &Waiting = m_State.m_WaitingForRoom[m_Service->m_Name];
  const Duration Wait =
      fromSeconds(static_cast<double>(Waiting) / SendsPerSecond);
  const Duration CallerPatience =
      m_Route->callerTimeout() - (now() - m_ArrivedAt);
  const Duration WaitLimit =
      std::min<Duration>(remainingTime() - MinUsefulTime, CallerPatience);
  // A request that waits already is not refused for those that came later.
  const bool IsHopeless = !m_WaitLogged && Wait > WaitLimit;
  if (IsHopeless || WaitLimit < RoomCheckInterval || m_State.m_Stopping) {
    co_await endWithFailure("endpoints_full",
                            toMilliseconds(Wait) + RetryAfterMargin);
    co_return Step::Finished;
  }
  if (!std::exchange(m_WaitLogged, true))
    logEvent("request.awaits_room",
             {{"waiting", Waiting},
              {"sends_per_second", SendsPerSecond},
              {"useful_ms", toMilliseconds(WaitLimit).count()}});
  ++Waiting;
  co_await sleepFor(RoomCheckInterval);
  --Waiting;
  co_return Step::TryAgain;
}

} // namespace sff::host
