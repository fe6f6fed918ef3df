#pragma once

#include "Router/FrontState.h"

namespace sff::router {

/// True when the endpoint answers GET /livez on a new connection.
boost::asio::awaitable<bool> probe(FrontState &State, http::Address Where);

/// Cancels a request. True when the endpoint confirms that it does not run.
boost::asio::awaitable<bool> cancel(FrontState &State, http::Address Where,
                                    RequestId Request);

/// True when the endpoint's inventory names the request.
boost::asio::awaitable<bool> runsAt(FrontState &State, http::Address Where,
                                    RequestId Request);

/// The request that continues a stream after \p Tokens tokens.
http::Request makeResume(const Placement &Used, std::int64_t Tokens);

/// Adds the ids by which answers are matched.
void addIds(http::Headers &Headers, const Placement &Used);

/// True when the answer echoes the ids of this attempt. Plain services may
/// leave them out; an id that differs is a mismatch for all.
bool echoesIds(const http::Headers &Headers, const Placement &Used,
               bool Required);

/// Ends a placement once nothing of it runs at the endpoint any more: cancels
/// until the endpoint confirms, is down or is gone, then finishes it. Until
/// then the request id counts as in use.
void releaseInBackground(FrontState &State, Placement Used);

/// Report of a placement that ended without an answer. GCC 12 miscompiles
/// temporaries of aggregates and lambdas in co_await expressions.
inline const AttemptReport NoReport;

/// Finishes a placement at once.
boost::asio::awaitable<void> finish(FrontState &State, Placement Used,
                                    AttemptReport Report);

} // namespace sff::router
