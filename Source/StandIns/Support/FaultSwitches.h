#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace sff::standin {

/// The faults that a stand-in can show, with their current values.
/// Thread safety: use from one thread.
class FaultSwitches {
public:
  /// \p Initial holds every known fault with its value at the start.
  explicit FaultSwitches(nlohmann::json Initial)
      : m_Initial(std::move(Initial)), m_Values(m_Initial) {}

  /// Applies the members of \p Change. Returns a description of the first
  /// unknown name or wrong type, in which case nothing has changed.
  std::optional<std::string> update(const nlohmann::json &Change);

  /// Returns to the values of the start.
  void reset() { m_Values = m_Initial; }

  const nlohmann::json &values() const { return m_Values; }

  /// Precondition: \p Name is a known fault of type T.
  template <typename T> T get(std::string_view Name) const {
    return m_Values.at(std::string(Name)).get<T>();
  }

  /// True when a fault is on, without counting the present request.
  bool isOn(std::string_view Name) const;

  /// True when a fault applies to the present request. A fault set to `true`
  /// or -1 applies to all requests, and one set to n only to the next n.
  bool take(std::string_view Name);

private:
  nlohmann::json m_Initial;
  nlohmann::json m_Values;
};

} // namespace sff::standin
