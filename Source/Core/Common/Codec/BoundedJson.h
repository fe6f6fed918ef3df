#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace sff::codec {

/// Deepest nesting of arrays and objects that is accepted from other processes.
/// The JSON library copies and writes values recursively, so that a value with
/// some ten thousand levels overflows the stack.
constexpr int MaxNesting = 64;

/// Parses JSON text that another process has written. Throws
/// nlohmann::json::exception if the text is malformed or nested more deeply
/// than MaxNesting. Thread safety: reentrant.
nlohmann::json parseBounded(std::string_view Text);

/// The same, but returns a discarded value instead of throwing.
/// Thread safety: reentrant.
nlohmann::json tryParseBounded(std::string_view Text);

} // namespace sff::codec
