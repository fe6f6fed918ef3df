#pragma once

#include "Net/Http/Server.h"
#include "Router/CallerRequest.h"
#include "Router/FrontState.h"

namespace sff::router {

/// Runs one call that must not be executed twice: it is announced in the log,
/// dispatched at most once, and its answer is kept for repeats with the same
/// idempotency key. The execution goes on when its caller has gone.
/// Thread safety: use on the HTTP loop's thread only.
class IntentSession : public std::enable_shared_from_this<IntentSession> {
public:
  /// Precondition: \p State outlives the session.
  IntentSession(FrontState &State, CallerRequest Request);

  /// Answers the caller. Precondition: \p Caller outlives this call.
  boost::asio::awaitable<void> run(http::Exchange &Caller);

private:
  template <typename T> using Task = boost::asio::awaitable<T>;
  /// The outcome, or the valid intent of another attempt.
  using Result = std::variant<execution::Outcome, IntentTaken>;

  Task<execution::Outcome> obtain();
  Task<IntentAnswer> look();
  Task<IntentAnswer> announce();
  Task<execution::Outcome> startAndWait();
  Task<void> execute();
  Task<Result> placeAndRun();
  Task<Result> runGranted(Placement First);
  Task<Result> dispatch(Placement Used);
  Task<void> giveUp();
  Task<void> noteCrash();
  Task<void> noteExecuted(std::optional<execution::Answered> Answer);
  Task<execution::Outcome> join(execution::ValidIntent Valid);
  Task<messages::FetchOutcomeReply> fetch(execution::ValidIntent Valid);
  execution::Outcome notRun(execution::Reason Why, milliseconds RetryAfter,
                            std::string Detail = {}) const;
  bool isExpired() const { return now() >= m_Request.m_Placement.m_Deadline; }

  FrontState &m_State;
  CallerRequest m_Request;
  IntentCall m_Call;
  std::shared_ptr<Mailbox<Result>> m_Result;
  /// Marked before the first byte of the call may leave.
  execution::DispatchGuard m_Guard;
};

} // namespace sff::router
