#include "StandIns/Support/InjectedFaults.h"

namespace sff::standin {

namespace {

bool isCountOrBoolean(const nlohmann::json &Value) {
  return Value.is_boolean() || Value.is_number_integer();
}

bool isCompatibleType(const nlohmann::json &Known,
                      const nlohmann::json &Value) {
  if (Known.is_boolean())
    return isCountOrBoolean(Value);
  if (Known.is_number())
    return Value.is_number();
  return Known.type() == Value.type();
}

} // namespace

std::optional<std::string>
InjectedFaults::update(const nlohmann::json &Change) {
  if (!Change.is_object())
    return "a JSON object is expected";
  for (const auto &[Name, Value] : Change.items()) {
    const auto Known = m_Initial.find(Name);
    if (Known == m_Initial.end())
      return "unknown fault: " + Name;
    if (!isCompatibleType(*Known, Value))
      return "wrong type of value: " + Name;
  }
  m_Values.update(Change);
  return std::nullopt;
}

bool InjectedFaults::isActive(std::string_view Name) const {
  const nlohmann::json &Value = m_Values.at(std::string(Name));
  return Value.is_boolean() ? Value.get<bool>() : Value != 0;
}

bool InjectedFaults::consume(std::string_view Name) {
  nlohmann::json &Value = m_Values.at(std::string(Name));
  const bool Applies = isActive(Name);
  if (Value.is_number() && Value > 0)
    Value = Value.get<std::int64_t>() - 1;
  return Applies;
}

} // namespace sff::standin
