#pragma once

#include "Common/Codec/NumberRange.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <tuple>

namespace sff::codec {

/// Binds a JSON key to a data member.
template <typename Struct, typename Member> struct Field {
  const char *m_Key;
  Member Struct::*m_Member;
};

/// Creates the Field that maps \p Key to \p Pointer.
template <typename Struct, typename Member>
constexpr Field<Struct, Member> field(const char *Key,
                                      Member Struct::*Pointer) {
  return {Key, Pointer};
}

/// A type whose static function `describe()` returns its serialized fields as
/// a tuple of `Field`.
template <typename T>
concept Described = requires {
  T::describe();
};

} // namespace sff::codec

namespace nlohmann {

/// Converts structs that satisfy `Described`. Unknown keys are ignored and
/// missing keys keep the member's default value, so that hosts that run
/// adjacent releases can exchange messages. A value of the wrong type, or a
/// number that its member cannot hold, throws `nlohmann::json::exception`.
template <sff::codec::Described T> struct adl_serializer<T, void> {
  static void to_json(json &Out, const T &Value) {
    Out = json::object();
    std::apply(
        [&](const auto &...Fields) {
          ((Out[Fields.m_Key] = Value.*(Fields.m_Member)), ...);
        },
        T::describe());
  }

  static void from_json(const json &In, T &Value) {
    if (!In.is_object())
      throw json::type_error::create(302, "expected an object", &In);
    std::apply(
        [&](const auto &...Fields) {
          (readField(In, Fields.m_Key, Value.*(Fields.m_Member)), ...);
        },
        T::describe());
  }

private:
  template <typename Member>
  static void readField(const json &In, const char *Key, Member &Out) {
    const auto It = In.find(Key);
    if (It == In.end())
      return;
    sff::codec::checkRange<Member>(*It);
    Out = It->template get<Member>();
  }
};

/// Serializes a duration as its tick count. The JSON key names the unit.
template <typename Rep, typename Period>
struct adl_serializer<std::chrono::duration<Rep, Period>, void> {
  using Value = std::chrono::duration<Rep, Period>;
  static void to_json(json &Out, const Value &In) { Out = In.count(); }
  static void from_json(const json &In, Value &Out) {
    Out = Value(In.get<Rep>());
  }
};

/// Serializes an empty optional as null.
template <typename T> struct adl_serializer<std::optional<T>, void> {
  static void to_json(json &Out, const std::optional<T> &In) {
    if (In)
      Out = *In;
    else
      Out = nullptr;
  }
  static void from_json(const json &In, std::optional<T> &Out) {
    if (In.is_null())
      Out.reset();
    else
      Out = In.get<T>();
  }
};

} // namespace nlohmann
