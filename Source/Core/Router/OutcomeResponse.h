#pragma once

#include "Core/Execution/Outcome.h"
#include "Net/Http/Message.h"

#include "Common/Identity/Ids.h"

namespace sff::router {

/// Wire form of an outcome: the answer itself, or a problem document with
/// outcome, reason and retry time. Thread safety: reentrant.
http::Response toResponse(const execution::Outcome &Value,
                          const RequestId &Request);

/// The outcome's name on the wire: answered, not_run or outcome_unknown.
std::string_view nameOf(const execution::Outcome &Value);
/// The reason's name, or an empty string for an answer.
std::string_view reasonOf(const execution::Outcome &Value);

} // namespace sff::router
