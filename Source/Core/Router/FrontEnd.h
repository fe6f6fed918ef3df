#pragma once

#include "Net/Http/Server.h"
#include "Router/CallerRequest.h"
#include "Router/FrontState.h"

namespace sff::router {

/// Checks callers' requests and hands them to sessions.
/// Thread safety: use on the HTTP loop's thread only.
class FrontEnd {
public:
  explicit FrontEnd(FrontState &State) : m_State(State) {}

  /// Answers one request. Precondition: \p Caller outlives the call.
  boost::asio::awaitable<void> handle(http::Request Incoming,
                                      http::Exchange &Caller);

private:
  template <typename T> using Task = boost::asio::awaitable<T>;
  struct Lookup {
    std::optional<catalogue::EntrySpec> m_Spec;
    /// Without it, nothing can be said about an entry that was not found.
    bool m_CatalogueKnown = false;
  };

  Task<void> answerReady(http::Exchange &Caller);
  Task<void> answerMetrics(http::Exchange &Caller);
  Task<void> answerModels(http::Exchange &Caller);
  Task<void> handleCompletion(http::Request Incoming, http::Exchange &Caller);
  Task<void> handleService(http::Request Incoming, http::Exchange &Caller);
  Task<void> start(http::Request Incoming, CallerRequest Request,
                   http::Exchange &Caller);
  Task<void> runCounted(CallerRequest Request, http::Exchange &Caller);
  Task<Lookup> findEntry(EntryName Name);
  Task<void> refuse(const PlacementRequest &Asked, execution::Reason Why,
                    milliseconds RetryAfter, std::string Detail,
                    http::Exchange &Caller);
  std::optional<std::string> fillTicket(const http::Request &Incoming,
                                        PlacementRequest &Asked) const;
  RequestId uniqueId(const http::Headers &Headers) const;

  FrontState &m_State;
};

} // namespace sff::router
