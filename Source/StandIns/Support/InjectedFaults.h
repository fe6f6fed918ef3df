#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace sff::standin {

/// The faults that a stand-in can inject, with their current values.
/// Thread safety: use from one thread.
class InjectedFaults {
public:
  /// \p Initial contains every supported fault with its initial value.
  explicit InjectedFaults(nlohmann::json Initial)
      : m_Initial(std::move(Initial)), m_Values(m_Initial) {}

  /// Sets the faults named in \p Change. Returns a description of the first
  /// unknown name or type mismatch, in which case no fault is changed.
  std::optional<std::string> update(const nlohmann::json &Change);

  /// Restores the initial values.
  void reset() { m_Values = m_Initial; }

  const nlohmann::json &values() const { return m_Values; }

  /// Precondition: \p Name is a supported fault of type T.
  template <typename T> T get(std::string_view Name) const {
    return m_Values.at(std::string(Name)).get<T>();
  }

  /// True if the fault is active; does not decrement its request count.
  bool isActive(std::string_view Name) const;

  /// True if the fault applies to the current request. A fault set to `true` or
  /// -1 applies to all requests; one set to n applies to the next n requests,
  /// and each call decrements n.
  bool consume(std::string_view Name);

private:
  nlohmann::json m_Initial;
  nlohmann::json m_Values;
};

} // namespace sff::standin
