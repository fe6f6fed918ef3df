#pragma once

#include "Common/Codec/Codec.h"
#include "Common/Logging/Log.h"
#include "Net/Http/Client.h"

#include <boost/leaf/handle_errors.hpp>

#include <optional>

namespace sff::http {

/// Parses a JSON body into a typed value. If the body cannot be decoded, logs
/// \p Event as a warning in \p LogCategory and returns nullopt.
/// Thread safety: reentrant.
template <typename T>
std::optional<T> parseBody(std::string_view Body, log::Category LogCategory,
                           std::string_view Event = "answer.undecodable") {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(Value, codec::parseJson<T>(Body));
        return std::optional<T>(std::move(Value));
      },
      [=](const codec::DecodeError &Error) {
        log::warning(LogCategory, Event, {{"detail", Error.m_Detail}});
        return std::optional<T>();
      },
      [] { return std::optional<T>(); });
}

/// Parses the body of a 200 response with parseBody(). Returns nullopt for any
/// other status and for transport failures. Thread safety: reentrant.
template <typename T>
std::optional<T> parseResponse(const SendResult &Result,
                               log::Category LogCategory) {
  const auto *HttpResponse = std::get_if<Response>(&Result);
  if (!HttpResponse || HttpResponse->m_Status != 200)
    return std::nullopt;
  return parseBody<T>(HttpResponse->m_Body, LogCategory);
}

} // namespace sff::http
