#pragma once

#include "Core/Execution/Outcome.h"
#include "Core/Serving/AttemptHistory.h"
#include "Core/Streaming/EventBoundary.h"
#include "Host/DemandRouter.h"
#include "Net/Http/Server.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace sff::host {

/// Endpoint that last served each session of prompts; bounded.
/// Thread safety: none.
class SessionMemory {
public:
  std::optional<EndpointId> find(std::string_view Session) const;
  void note(const std::string &Session, const EndpointId &Endpoint);

private:
  static constexpr std::size_t MaxSessions = 2000;
  std::map<std::string, EndpointId, std::less<>> m_Endpoints;
};

/// One request of a caller, from its arrival to the end of its answer. Keeps
/// itself alive while callbacks of its timer or its caller are outstanding.
/// Thread safety: use from the host's io_context only.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
  /// Precondition: \p Caller outlives the call of run().
  RequestSession(HostState &State, DemandRouter &Demands,
                 SessionMemory &Sessions, http::Request Incoming,
                 http::Exchange &Caller);

  Task<void> run();

private:
  /// What to do after an attempt at one endpoint.
  enum class Step { Finished, TryAgain };
  /// How an answer that passes through ended.
  enum class StreamEnd { Whole, EndpointBroke, CallerGone };

  /// Said to callers where nothing is known of when it is worth coming back.
  static constexpr milliseconds DefaultRetryAfter{1000};

  using OpenStream = std::shared_ptr<http::ResponseStream>;

  bool findRoute();
  void startClocks();
  Task<void> serve();
  Task<Step> serveOnce();
  std::vector<const serving::Endpoint *> candidates() const;
  Task<Step> waitForModel();
  Task<Step> attempt(EndpointId Id);
  Task<Step> onOpenFailed(EndpointId Id, http::TransportFailure Failure);
  Task<Step> onNotRun(EndpointId Id, AnswerFacts Facts, int Status);
  Task<Step> onHead(EndpointId Id, OpenStream Answer);
  Task<Step> passWhole(EndpointId Id, OpenStream Answer);
  Task<Step> passStream(EndpointId Id, OpenStream Answer);
  Task<StreamEnd> pipe(EndpointId Id, OpenStream Answer);
  serving::CallResult resultOf(const http::TransportFailure &Failure) const;
  /// The endpoint may have run the request and gave no whole answer.
  Task<Step> onBroken(EndpointId Id, serving::CallResult Result,
                      std::string Detail);

  http::ClientOptions callOptions() const;
  DispatchFacts dispatchFacts(const EndpointId &Id) const;
  /// Longest silence of an endpoint before another one is tried.
  milliseconds patience() const;
  /// Another endpoint than \p Current may have the request, and one is there
  /// to take it.
  bool canMoveOn(const EndpointId &Current) const;
  /// Looks at the endpoint's silence when it may have lasted too long.
  void watchSilence(EndpointId Id);
  Duration left() const { return m_AnswerBy - now(); }
  bool mayRepeat();
  bool isOver() const { return m_CallerGone || m_Expired; }

  Task<void> answerProblem(int Status, std::string_view Reason,
                           std::optional<milliseconds> RetryAfter);
  /// Says that the request has not run, or that this is unknown.
  Task<void> giveUp(std::string_view Reason,
                    milliseconds RetryAfter = DefaultRetryAfter);
  Task<void> refuse(std::string_view Reason, milliseconds RetryAfter);
  void finish(std::string_view Outcome, int Status, std::string_view Reason);
  void logStep(std::string_view Event, nlohmann::json Fields) const;

  HostState &m_State;
  DemandRouter &m_Demands;
  SessionMemory &m_Sessions;
  http::Request m_Incoming;
  http::Exchange &m_Caller;
  RequestFacts m_Facts;
  std::shared_ptr<const serving::Catalogue> m_Catalogue;
  const serving::Route *m_Route = nullptr;     ///< In m_Catalogue.
  const serving::Service *m_Service = nullptr; ///< In m_Catalogue.
  Instant m_Arrived;
  Instant m_AnswerBy;
  std::shared_ptr<http::CallCanceller> m_Canceller;
  boost::asio::steady_timer m_Timer;
  boost::asio::steady_timer m_SilenceTimer;
  Instant m_Progress;          ///< Latest sign of the endpoint.
  bool m_GaveUpSilent = false; ///< This attempt was ended for silence.
  bool m_CallerGone = false;
  bool m_Expired = false;
  bool m_Ended = false;
  /// Set once an endpoint may have run the request.
  execution::DispatchGuard m_Guard;
  serving::AttemptHistory m_History{1}; ///< Set with the route.
  bool m_RetryGranted = false; ///< The budget has paid for the next send.
  bool m_HeadSent = false;
  bool m_LoggedWait = false; ///< The wait for the model is logged once.
  streaming::EventBoundary m_Events;
  std::string m_Fingerprint;
};

} // namespace sff::host
