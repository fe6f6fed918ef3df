#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace sff::settings {

/// Format that a string setting must have.
enum class TextKind {
  Any,
  Name,    ///< Letters, digits, '-', '_' and '.'.
  Address, ///< Numeric IPv4 address and port, "10.0.0.1:8080".
};

/// Allowed range of a numeric setting; both bounds are inclusive.
struct Range {
  double m_Min = std::numeric_limits<double>::lowest();
  double m_Max = std::numeric_limits<double>::max();
};

/// Declares one setting. Validation and the reference page are both derived
/// from this declaration, so they cannot diverge.
///
/// T is bool, std::int64_t, double, std::string, std::vector<std::string> or
/// std::chrono::milliseconds.
template <typename T> struct Setting {
  std::string_view m_Section;
  std::string_view m_Key;
  T m_Default;
  std::string_view m_Unit;
  Range m_Range;
  std::string_view m_Doc;
  TextKind m_TextKind = TextKind::Any;
  bool m_Required = false;
  /// Whether the value is masked wherever settings are printed.
  bool m_Secret = false;
};

} // namespace sff::settings
