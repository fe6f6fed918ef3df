#pragma once

#include "Router/FrontEndState.h"

namespace sff::router {

/// Returns true if the endpoint answers GET /livez on a new connection.
boost::asio::awaitable<bool> probe(FrontEndState &State, http::Address Addr);

/// Cancels a request. Returns true if the endpoint confirms that the request is
/// not running.
boost::asio::awaitable<bool>
cancelRequest(FrontEndState &State, http::Address Addr, RequestId Request);

/// Returns true if the endpoint's inventory lists the request. False as well if
/// the inventory cannot be read.
boost::asio::awaitable<bool>
isRequestRunning(FrontEndState &State, http::Address Addr, RequestId Request);

/// Builds the request that resumes a stream after \p Tokens tokens.
http::Request makeResumeRequest(const Placement &Assigned, std::int64_t Tokens);

/// Sets the headers by which a response is matched to its attempt.
void addAttemptIds(http::Headers &Headers, const Placement &Assigned);

/// Returns true if the response echoes the ids of this attempt. If \p Required
/// is false, as for plain services, missing ids are accepted; a different id
/// never is.
bool echoesAttemptIds(const http::Headers &Headers, const Placement &Assigned,
                      bool Required);

/// Finishes a placement as soon as its request no longer runs at the endpoint:
/// cancels the request until the endpoint confirms, refuses connections or has
/// left the cluster. Until then the request id counts as in use.
void finishInBackground(FrontEndState &State, Placement Assigned);

/// Report of a placement that ended without a response. A named constant,
/// because GCC 12 miscompiles temporaries of aggregates and lambdas in co_await
/// expressions.
inline const AttemptReport EmptyReport;

/// Finishes a placement immediately.
boost::asio::awaitable<void>
finishPlacement(FrontEndState &State, Placement Assigned, AttemptReport Report);

} // namespace sff::router
