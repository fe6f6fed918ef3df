#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace sff::codec {

/// Returns whether \p Value, cut to a whole number, is one of \p Number.
/// Precondition: \p Value is a number.
template <std::integral Number> bool isInRange(const nlohmann::json &Value) {
  if (Value.is_number_unsigned())
    return std::in_range<Number>(Value.get<std::uint64_t>());
  if (Value.is_number_integer())
    return std::in_range<Number>(Value.get<std::int64_t>());
  using Limits = std::numeric_limits<Number>;
  const double Whole = std::trunc(Value.get<double>());
  // The largest number itself may have no double.
  return Whole >= static_cast<double>(Limits::min()) &&
         Whole < std::ldexp(1.0, Limits::digits);
}

template <typename T> struct IsOptional : std::false_type {};
template <typename T> struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T> struct IsDuration : std::false_type {};
template <typename Rep, typename Period>
struct IsDuration<std::chrono::duration<Rep, Period>> : std::true_type {};

template <typename T>
concept MapType = requires {
  typename T::mapped_type;
};
template <typename T>
concept ListType = requires {
  typename T::value_type;
}
&&!MapType<T> && !std::same_as<T, std::string> &&
    !std::same_as<T, nlohmann::json>;

/// Throws `nlohmann::json::out_of_range` if \p Value has a number that the type
/// \p T, or the elements of the container \p T, cannot hold. The library would
/// cast it. Values of other types are not checked.
/// Thread safety: reentrant.
template <typename T> void checkRange(const nlohmann::json &Value) {
  constexpr int RangeErrorId = 410;
  if constexpr (std::is_enum_v<T>) {
    checkRange<std::underlying_type_t<T>>(Value);
  } else if constexpr (IsDuration<T>::value) {
    checkRange<typename T::rep>(Value);
  } else if constexpr (std::integral<T> && !std::same_as<T, bool>) {
    if (Value.is_number() && !isInRange<T>(Value))
      throw nlohmann::json::out_of_range::create(
          RangeErrorId, "not a number in range", nullptr);
  } else if constexpr (IsOptional<T>::value) {
    checkRange<typename T::value_type>(Value);
  } else if constexpr (MapType<T>) {
    if (Value.is_object())
      for (const auto &Entry : Value)
        checkRange<typename T::mapped_type>(Entry);
  } else if constexpr (ListType<T>) {
    if (Value.is_array())
      for (const auto &Element : Value)
        checkRange<typename T::value_type>(Element);
  }
}

} // namespace sff::codec
