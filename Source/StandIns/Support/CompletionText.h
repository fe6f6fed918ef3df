#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sff::standin {

/// The inputs that determine the text of a completion. Because the text is a
/// function of them, a test can check that each caller received the complete
/// response to its own request.
struct CompletionKey {
  std::string m_Model;
  std::string m_Prompt;
  std::string m_RequestId;
};

/// Token at position \p Index of the completion, counted from 0.
std::string completionToken(const CompletionKey &Source, std::size_t Index);

/// Tokens \p From (inclusive) to \p To (exclusive), concatenated.
std::string completionText(const CompletionKey &Source, std::size_t From,
                           std::size_t To);

/// The prompt of a completion request, or the concatenated messages of a chat
/// request. Throws nlohmann::json::exception if the body contains neither.
std::string promptText(const nlohmann::json &Body);

/// Block size in bytes: each hash covers one more block than the previous one.
constexpr std::size_t PromptBlockBytes = 64;

/// Chained 64-bit FNV-1a hashes of the leading complete blocks of the prompt,
/// as defined by sff::routing::PrefixIndex::blockHashes. Implemented separately
/// because an engine is an external system that does not link the core.
std::vector<std::uint64_t> promptBlockHashes(std::string_view Prompt);

} // namespace sff::standin
