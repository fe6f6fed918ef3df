#pragma once

#include "StandIns/Support/CompletionText.h"

#include <string>
#include <string_view>

namespace sff::standin {

/// Result of checking a response.
enum class ResponseVerdict {
  Complete,   ///< Complete and matches the prompt.
  Incomplete, ///< Part of the text or the end of the stream is missing.
  Wrong,      ///< The text does not match the request.
};

/// Checks a response of a stand-in engine against its request. \p Source
/// contains the model and the prompt; the request id is taken from the response
/// because a router may have assigned another one.
ResponseVerdict checkResponse(CompletionKey Source, std::size_t MaxTokens,
                              std::string_view Body, bool Streamed);

} // namespace sff::standin
