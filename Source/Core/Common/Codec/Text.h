#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace sff::codec {

/// Returns whether \p Bytes are valid UTF-8, as all text in JSON is. Headers of
/// HTTP may have any bytes. Thread safety: reentrant.
bool isUtf8(std::string_view Bytes);

/// Serializes \p Value to JSON text without line breaks. Invalid UTF-8 is
/// replaced by U+FFFD, because strings may hold bytes of a caller, such as the
/// id of a request: `nlohmann::json::dump()` throws for them.
/// Thread safety: reentrant.
std::string toJsonText(const nlohmann::json &Value);

} // namespace sff::codec
