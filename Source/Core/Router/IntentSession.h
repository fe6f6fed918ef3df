#pragma once

#include "Net/Http/Server.h"
#include "Router/CallerRequest.h"
#include "Router/FrontEndState.h"

namespace sff::router {

/// Runs one call that must not be executed twice: appends an intent to the log,
/// dispatches the call at most once, and stores the answer for retries with the
/// same idempotency key. The execution continues after the caller has
/// disconnected.
/// Thread safety: use on the HTTP loop's thread only.
class IntentSession : public std::enable_shared_from_this<IntentSession> {
public:
  /// Precondition: \p State outlives the session.
  IntentSession(FrontEndState &State, CallerRequest Request);

  /// Runs the call and answers the caller. Precondition: \p Caller outlives
  /// this call.
  boost::asio::awaitable<void> run(http::Exchange &Caller);

private:
  template <typename T> using Task = boost::asio::awaitable<T>;
  /// The outcome, or the valid intent of another attempt.
  using Result = std::variant<execution::Outcome, IntentTaken>;

  Task<execution::Outcome> resolveOutcome();
  Task<IntentStatus> lookup();
  Task<IntentStatus> appendIntent();
  Task<execution::Outcome> executeAndWait();
  Task<void> execute();
  Task<Result> placeAndRun();
  Task<Result> runIfNotExpired(Placement First);
  Task<Result> dispatch(Placement Assigned);
  Task<void> voidAttempt();
  Task<void> reportCrash(EndpointId Endpoint);
  Task<void> reportExecuted(std::optional<execution::Answered> Answer);
  Task<execution::Outcome> awaitOtherAttempt(execution::ValidIntent Valid);
  Task<messages::FetchOutcomeReply> fetch(execution::ValidIntent Valid);
  execution::Outcome notRun(execution::Reason Cause, milliseconds RetryAfter,
                            std::string Detail = {}) const;
  bool isExpired() const { return now() >= m_Request.m_Placement.m_Deadline; }

  FrontEndState &m_State;
  CallerRequest m_Request;
  IntentCall m_Call;
  std::shared_ptr<AsyncQueue<Result>> m_Result;
  /// Marked as sent before the first byte of the call may be sent.
  execution::DispatchGuard m_Guard;
};

} // namespace sff::router
