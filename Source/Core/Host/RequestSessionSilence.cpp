#include "Host/RequestSession.h"

#include <algorithm>

namespace sff::host {

namespace {

/// A repeatable request fails over to another endpoint after this multiple of
/// its target latency without a response, but not before the minimum.
constexpr int SilenceTimeoutFactor = 3;
constexpr milliseconds MinSilenceTimeout{400};
/// Longest pause in a stream that can be resumed at another endpoint.
constexpr milliseconds StreamSilenceTimeout{1500};

} // namespace

milliseconds RequestSession::silenceTimeout() const {
  if (m_HeadSent)
    return StreamSilenceTimeout;
  return std::max(m_Route->m_Kind == serving::RouteKind::Stream
                      ? StreamSilenceTimeout
                      : MinSilenceTimeout,
                  SilenceTimeoutFactor * m_Route->m_TargetLatency);
}

bool RequestSession::canFailOver(const EndpointId &Current) const {
  if (!m_Route->isIdempotent() ||
      !m_History.canTryAnotherEndpointAfter(Current))
    return false;
  const auto List = candidates();
  const bool Other = std::ranges::any_of(List, [&, this](const auto *Item) {
    return Item->id() != Current && !m_History.isExcluded(Item->id()) &&
           !m_State.m_Chooser.health().isSuspended(Item->id(), now());
  });
  return Other && m_State.budget(m_Service->m_Name).allows(now());
}

void RequestSession::startSilenceTimer() {
  m_SilenceTimer.expires_at(m_Current->lastProgressAt() + silenceTimeout());
  m_SilenceTimer.async_wait(
      [Self = shared_from_this(), Weak = std::weak_ptr<Attempt>(m_Current)](
          const boost::system::error_code &Error) {
        const auto Watched = Weak.lock();
        if (Error || Self->m_Ended || !Watched)
          return;
        const Duration Silent = now() - Watched->lastProgressAt();
        if (Silent >= Self->silenceTimeout()) {
          const bool FailsOver = Self->canFailOver(Watched->endpoint());
          Self->recordSilence(Watched->endpoint(), Silent, FailsOver);
          if (FailsOver) {
            Watched->supersede();
            return;
          }
          Watched->onProgress();
        }
        Self->startSilenceTimer();
      });
}

void RequestSession::recordSilence(const EndpointId &Id, Duration Silent,
                                   bool FailsOver) {
  m_State.m_Metrics.onSilence(FailsOver ? "fails_over" : "waits");
  logEvent("request.silent", {{"endpoint", Id},
                              {"silent_ms", toMilliseconds(Silent).count()},
                              {"begun", m_HeadSent},
                              {"fails_over", FailsOver},
                              {"sends", m_History.sends()}});
}

} // namespace sff::host
