#pragma once

#include "StandIns/Support/AnswerText.h"

#include <string>
#include <string_view>

namespace sff::standin {

/// What a caller finds when it checks an answer.
enum class AnswerVerdict {
  Whole,      ///< Complete and for this prompt.
  Incomplete, ///< The text or the end of the stream is missing.
  Wrong,      ///< Complete, but not the answer to this prompt.
};

/// Checks an answer of a stand-in engine against its request. \p Source holds
/// the model and the prompt; the request id is read from the answer, because a
/// router may have assigned another one.
AnswerVerdict checkAnswer(AnswerSource Source, std::size_t MaxTokens,
                          std::string_view Body, bool Streamed);

} // namespace sff::standin
