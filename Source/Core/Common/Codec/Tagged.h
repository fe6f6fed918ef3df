#pragma once

#include "Common/Codec/Codec.h"

#include <string>
#include <variant>

namespace sff::codec {

namespace detail {

template <typename Variant, std::size_t Index = 0>
boost::leaf::result<Variant> decodeAlternative(const std::string &Type,
                                               const nlohmann::json &Input) {
  if constexpr (Index == std::variant_size_v<Variant>) {
    return boost::leaf::new_error(DecodeError{"unknown record type " + Type});
  } else {
    using Alternative = std::variant_alternative_t<Index, Variant>;
    if (Type != Alternative::Type)
      return decodeAlternative<Variant, Index + 1>(Type, Input);
    BOOST_LEAF_AUTO(Value, codec::fromJson<Alternative>(Input));
    return Variant(std::move(Value));
  }
}

} // namespace detail

/// Serializes the active alternative and stores its `Type` under the key
/// "type".
/// Thread safety: reentrant.
template <typename Variant> nlohmann::json taggedToJson(const Variant &Value) {
  return std::visit(
      [](const auto &Item) {
        nlohmann::json Result = Item;
        Result["type"] = Item.Type;
        return Result;
      },
      Value);
}

/// Deserializes the output of taggedToJson(). Fails with DecodeError.
/// Thread safety: reentrant.
template <typename Variant>
boost::leaf::result<Variant> taggedFromJson(const nlohmann::json &Input) {
  if (!Input.is_object())
    return boost::leaf::new_error(DecodeError{"no record type"});
  const auto Type = Input.find("type");
  if (Type == Input.end() || !Type->is_string())
    return boost::leaf::new_error(DecodeError{"no record type"});
  return detail::decodeAlternative<Variant>(Type->template get<std::string>(),
                                            Input);
}

} // namespace sff::codec
