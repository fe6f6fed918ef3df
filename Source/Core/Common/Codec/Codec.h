#pragma once

#include "Common/Codec/BoundedJson.h"
#include "Common/Codec/Fields.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sff::codec {

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

/// Error for input that is malformed or does not match the expected type.
struct DecodeError {
  std::string m_Detail;
};

/// Serializes a value to MessagePack. Thread safety: reentrant.
template <typename T> Bytes encode(const T &Value) {
  return nlohmann::json::to_msgpack(nlohmann::json(Value));
}

/// Deserializes a value from MessagePack. Fails with DecodeError.
/// Thread safety: reentrant.
template <typename T> boost::leaf::result<T> decode(ByteView Input) {
  try {
    return nlohmann::json::from_msgpack(Input.begin(), Input.end())
        .template get<T>();
  } catch (const nlohmann::json::exception &Error) {
    return boost::leaf::new_error(DecodeError{Error.what()});
  }
}

/// Converts a JSON value to a typed value. Fails with DecodeError.
template <typename T>
boost::leaf::result<T> fromJson(const nlohmann::json &Input) {
  try {
    return Input.get<T>();
  } catch (const nlohmann::json::exception &Error) {
    return boost::leaf::new_error(DecodeError{Error.what()});
  }
}

/// Parses JSON text into a typed value. Fails with DecodeError.
template <typename T> boost::leaf::result<T> parseJson(std::string_view Text) {
  try {
    return parseBounded(Text).template get<T>();
  } catch (const nlohmann::json::exception &Error) {
    return boost::leaf::new_error(DecodeError{Error.what()});
  }
}

} // namespace sff::codec
