#pragma once

#include "Common/Codec/Codec.h"
#include "Common/Logging/Log.h"
#include "Net/Http/Client.h"

#include <boost/leaf/handle_errors.hpp>

#include <optional>

namespace sff::http {

/// Reads a typed value from a JSON body. Nothing, and the log line \p Event of
/// \p Part, when the body is not one. Thread safety: reentrant.
template <typename T>
std::optional<T> parseBody(std::string_view Body, log::Category Part,
                           std::string_view Event = "answer.undecodable") {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(Value, codec::parseJson<T>(Body));
        return std::optional<T>(std::move(Value));
      },
      [=](const codec::DecodeError &Error) {
        log::warning(Part, Event, {{"detail", Error.m_Detail}});
        return std::optional<T>();
      },
      [] { return std::optional<T>(); });
}

/// The same for the body of a 200 answer; nothing for any other result of a
/// call. Thread safety: reentrant.
template <typename T>
std::optional<T> parseAnswer(const SendResult &Result, log::Category Part) {
  const auto *Answer = std::get_if<Response>(&Result);
  if (!Answer || Answer->m_Status != 200)
    return std::nullopt;
  return parseBody<T>(Answer->m_Body, Part);
}

} // namespace sff::http
