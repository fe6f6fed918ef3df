#pragma once

#include "Net/Http/Server.h"
#include "Router/CallerRequest.h"
#include "Router/FrontEndState.h"

namespace sff::router {

/// Validates requests of callers and passes them to sessions.
/// Thread safety: use on the HTTP loop's thread only.
class FrontEnd {
public:
  explicit FrontEnd(FrontEndState &State) : m_State(State) {}

  /// Handles one request. Precondition: \p Caller outlives the call.
  boost::asio::awaitable<void> handle(http::Request Incoming,
                                      http::Exchange &Caller);

private:
  template <typename T> using Task = boost::asio::awaitable<T>;
  struct EntryLookup {
    std::optional<catalogue::EntrySpec> m_Spec;
    /// False until the catalogue has been read. Until then, a missing entry
    /// does not mean that it does not exist.
    bool m_CatalogueKnown = false;
  };

  Task<void> respondReadiness(http::Exchange &Caller);
  Task<void> respondMetrics(http::Exchange &Caller);
  Task<void> respondModels(http::Exchange &Caller);
  Task<void> handleCompletion(http::Request Incoming, http::Exchange &Caller);
  Task<void> handleService(http::Request Incoming, http::Exchange &Caller);
  Task<void> start(http::Request Incoming, CallerRequest Request,
                   http::Exchange &Caller);
  Task<void> runWithinTeamLimit(CallerRequest Request, http::Exchange &Caller);
  Task<EntryLookup> findEntry(EntryName Name);
  Task<void> refuse(const PlacementRequest &Req, execution::Reason Cause,
                    milliseconds RetryAfter, std::string Detail,
                    http::Exchange &Caller);
  std::optional<std::string> fillPlacement(const http::Request &Incoming,
                                           PlacementRequest &Req) const;
  RequestId makeUniqueId(const http::Headers &Headers) const;

  FrontEndState &m_State;
};

} // namespace sff::router
