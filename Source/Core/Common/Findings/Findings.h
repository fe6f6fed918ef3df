#pragma once

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace sff::findings {

/// One validation error in an input document.
struct Finding {
  std::string m_Source;  ///< File or document name.
  std::string m_Place;   ///< JSON pointer, or line and column.
  std::string m_Found;   ///< Value in the input.
  std::string m_Allowed; ///< Description of the accepted values.
};

/// Collects all findings of a validation run, so that they are reported
/// together. Thread safety: none; use from one thread.
class FindingList {
public:
  explicit FindingList(std::string Source = {}) : m_Source(std::move(Source)) {}

  /// Adds a finding at \p Place in this list's source.
  void add(std::string Place, std::string Found, std::string Allowed);

  /// Appends all findings of \p Other.
  void append(const FindingList &Other);

  bool empty() const { return m_Items.empty(); }
  std::span<const Finding> items() const { return m_Items; }

private:
  std::string m_Source;
  std::vector<Finding> m_Items;
};

/// Prints one finding per line: source, place, found value, allowed values.
std::ostream &operator<<(std::ostream &Out, const FindingList &List);

} // namespace sff::findings
