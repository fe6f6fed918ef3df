#pragma once

#include "Core/Execution/Outcome.h"
#include "Net/Http/Message.h"

#include "Common/Identity/Ids.h"

namespace sff::router {

/// Builds the HTTP response for an outcome: the answer itself, or a problem
/// document with outcome, reason and retry time. Thread safety: reentrant.
http::Response toResponse(const execution::Outcome &Value,
                          const RequestId &Request);

/// Name of the outcome on the wire: answered, not_run or outcome_unknown.
std::string_view nameOf(const execution::Outcome &Value);
/// Name of the reason, or an empty string for an answer.
std::string_view reasonOf(const execution::Outcome &Value);

} // namespace sff::router
