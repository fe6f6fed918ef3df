#include "StandIns/Support/FaultSwitches.h"

namespace sff::standin {

namespace {

bool isCounterOrSwitch(const nlohmann::json &Value) {
  return Value.is_boolean() || Value.is_number_integer();
}

bool isSameKind(const nlohmann::json &Known, const nlohmann::json &Given) {
  if (Known.is_boolean())
    return isCounterOrSwitch(Given);
  if (Known.is_number())
    return Given.is_number();
  return Known.type() == Given.type();
}

} // namespace

std::optional<std::string> FaultSwitches::update(const nlohmann::json &Change) {
  if (!Change.is_object())
    return "a JSON object is expected";
  for (const auto &[Name, Value] : Change.items()) {
    const auto Known = m_Initial.find(Name);
    if (Known == m_Initial.end())
      return "unknown fault: " + Name;
    if (!isSameKind(*Known, Value))
      return "wrong type of value: " + Name;
  }
  m_Values.update(Change);
  return std::nullopt;
}

bool FaultSwitches::isOn(std::string_view Name) const {
  const nlohmann::json &Value = m_Values.at(std::string(Name));
  return Value.is_boolean() ? Value.get<bool>() : Value != 0;
}

bool FaultSwitches::take(std::string_view Name) {
  nlohmann::json &Value = m_Values.at(std::string(Name));
  const bool Applies = isOn(Name);
  if (Value.is_number() && Value > 0)
    Value = Value.get<std::int64_t>() - 1;
  return Applies;
}

} // namespace sff::standin
