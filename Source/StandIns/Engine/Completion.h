#pragma once

#include "StandIns/Engine/RequestTable.h"
#include "StandIns/Support/StandIn.h"

namespace sff::standin {

/// Parses a completion or chat request. Throws nlohmann::json::exception if the
/// body is malformed.
RequestTable::AttemptPtr parseCompletionRequest(const RequestContext &Incoming);

/// The complete non-streamed response, ending before token \p Tokens.
http::Response makeCompletionResponse(const CompletionAttempt &Attempt,
                                      std::size_t Tokens);

/// Status and headers of a streamed response.
http::Response makeStreamHead(const CompletionAttempt &Attempt);

/// The server-sent event that carries one token.
std::string makeTokenEvent(const CompletionAttempt &Attempt, std::size_t Index);

/// The final events of a streamed response: finish reason, usage and [DONE].
std::string makeStreamEnd(const CompletionAttempt &Attempt, std::size_t Tokens);

} // namespace sff::standin
