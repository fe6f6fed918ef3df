#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sff::standin {

/// What determines the text of an answer, so that a test can check that each
/// caller got the whole answer to its own request.
struct AnswerSource {
  std::string m_Model;
  std::string m_Prompt;
  std::string m_RequestId;
};

/// Token number \p Index of the answer.
std::string answerToken(const AnswerSource &Source, std::size_t Index);

/// Tokens \p From up to, but without, \p To.
std::string answerText(const AnswerSource &Source, std::size_t From,
                       std::size_t To);

/// The prompt of a completion request, or the joined messages of a chat
/// request. Throws nlohmann::json::exception when there is neither.
std::string promptOf(const nlohmann::json &Body);

/// Bytes of a prompt that one hash covers in addition to the previous one.
constexpr std::size_t PromptBlockBytes = 64;

/// Chained FNV-1a 64 hashes of the leading whole blocks of the prompt, as
/// sff::routing::PrefixIndex::blockHashes defines them. Declared here because
/// an engine is an outside system that does not link the core.
std::vector<std::uint64_t> promptBlockHashes(std::string_view Prompt);

} // namespace sff::standin
