#pragma once

#include <cstddef>
#include <string_view>

namespace sff::log {

/// Returns the longest prefix of \p Text that consists of whole lines and has
/// at most \p MaxBytes, or the first line if that is longer.
/// Precondition: \p Text ends with a line feed or is empty.
/// Thread safety: reentrant.
constexpr std::string_view leadingLines(std::string_view Text,
                                        std::size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return Text;
  const std::size_t LastEnd = Text.substr(0, MaxBytes).rfind('\n');
  const std::size_t End =
      LastEnd != std::string_view::npos ? LastEnd : Text.find('\n');
  return Text.substr(0, End + 1);
}

} // namespace sff::log
