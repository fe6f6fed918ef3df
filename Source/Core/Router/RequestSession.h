#pragma once

#include "Router/Attempt.h"

namespace sff::router {

/// Runs one repeatable request to its outcome: placement, attempts within the
/// retry budget, and the answer to the caller.
/// Thread safety: use on the HTTP loop's thread only.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
  /// Precondition: \p State and \p Caller outlive run().
  RequestSession(FrontState &State, CallerRequest Request,
                 http::Exchange &Caller);

  boost::asio::awaitable<void> run();

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  Task<bool> runOnce();
  Task<std::optional<Placement>> place();
  Task<PlaceAnswer> awaitPlace();
  Task<void> withdraw();
  Task<AttemptEnd> attempt(Placement Used);
  Task<std::int64_t> noteCrash();
  Task<bool> settle(Placement Used, AttemptEnd End);
  Task<bool> release(Placement Used);
  Task<bool> onLost(Placement Used, AttemptEnd End, std::int64_t Crashes);
  bool tryRetry(const Placement &Used);
  Task<void> respond(execution::Outcome Value);
  Task<void> respondUnknown(execution::Reason Why, std::string Detail);
  Task<void> refuse(admission::Refusal Why);
  Task<void> endTorn();
  void noteEnd(std::string_view Outcome);

  FrontState &m_State;
  CallerRequest m_Request;
  http::Exchange &m_Caller;
  /// Marked once any attempt may have been sent.
  execution::DispatchGuard m_Guard;
  execution::Answered m_Answer;
  std::string m_Detail;
  Instant m_DispatchedAt;
  bool m_EndpointDown = false;
  bool m_EndpointCrashed = false;
};

/// Asks for a place. The mailbox receives exactly one answer; nothing is
/// returned when the decisions duty is overloaded.
std::shared_ptr<Mailbox<PlaceAnswer>> submit(FrontState &State,
                                             const PlacementRequest &Item);

} // namespace sff::router
