#pragma once

#include "StandIns/Engine/RequestTable.h"
#include "StandIns/Support/StandIn.h"

namespace sff::standin {

/// Reads a completion or chat request. Throws nlohmann::json::exception when
/// the body is not one.
RequestTable::Item readCompletion(const Call &Incoming);

/// The whole answer after \p Tokens tokens.
http::Response makeWholeAnswer(const Generation &Job, std::size_t Tokens);

/// Status and headers of a streamed answer.
http::Response makeStreamHead(const Generation &Job);

/// The server-sent event of one token.
std::string makeTokenEvent(const Generation &Job, std::size_t Index);

/// The last events of a streamed answer.
std::string makeStreamEnd(const Generation &Job, std::size_t Tokens);

} // namespace sff::standin
