#pragma once

#include "Router/Attempt.h"

namespace sff::router {

/// Runs one repeatable request to its outcome: placement, attempts within the
/// retry budget, and the response to the caller.
/// Thread safety: use on the HTTP loop's thread only.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
  /// Precondition: \p State and \p Caller outlive run().
  RequestSession(FrontEndState &State, CallerRequest Request,
                 http::Exchange &Caller);

  boost::asio::awaitable<void> run();

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  Task<bool> runOnce();
  Task<std::optional<Placement>> obtainPlacement();
  Task<PlacementResult> awaitPlacement();
  Task<void> withdraw();
  Task<AttemptResult> attempt(Placement Assigned);
  Task<std::int64_t> reportCrash(EndpointId Endpoint);
  Task<bool> finishAttempt(Placement Assigned, AttemptResult Result);
  Task<bool> cancelAndFinish(Placement Assigned);
  Task<bool> retryOrRefuse(Placement Assigned, AttemptResult Result,
                           std::int64_t Crashes);
  bool tryRetry(const Placement &Assigned);
  Task<void> respond(execution::Outcome Value);
  Task<void> respondUnknown(execution::Reason Cause, std::string Detail);
  Task<void> refuse(admission::Refusal Cause);
  Task<void> endInterruptedStream();
  void recordEnd(std::string_view Outcome);

  FrontEndState &m_State;
  CallerRequest m_Request;
  http::Exchange &m_Caller;
  /// Marked as sent once any attempt may have been sent.
  execution::DispatchGuard m_Guard;
  execution::Answered m_Answer;
  std::string m_Detail;
  Instant m_DispatchedAt;
  bool m_EndpointDown = false;
  bool m_EndpointCrashed = false;
};

/// Submits a placement request. The returned queue receives exactly one result.
/// Returns null if the routing core is overloaded.
std::shared_ptr<AsyncQueue<PlacementResult>>
submitPlacement(FrontEndState &State, const PlacementRequest &Item);

} // namespace sff::router
