#pragma once

#include "Net/Http/Message.h"
#include "Router/PlacementRequest.h"

namespace sff::router {

/// A validated request of a caller.
struct CallerRequest {
  PlacementRequest m_Placement;
  /// The request for the endpoint, without attempt ids.
  http::Request m_ForwardedRequest;
  bool m_Stream = false; ///< The caller wants server-sent events.
  bool m_Repeatable = true;
  bool m_TargetsEngine = true; ///< Engines echo ids and can resume streams.
  std::string m_IdempotencyKey;
};

/// The routing-relevant fields of a completion request.
struct CompletionBody {
  EntryName m_Model;
  std::string m_Prompt;
  bool m_Stream = false;
};

/// Parses the body of a completion request. Returns an error message if it is
/// not a JSON object with a model or if "stream" is not a boolean. Thread
/// safety: reentrant.
std::variant<CompletionBody, std::string>
parseCompletion(std::string_view Body);

/// Hashes a list of strings. The length of each string is part of the input, so
/// that only equal lists hash the same input. Thread safety: reentrant.
std::string hashParts(std::initializer_list<std::string_view> Parts);

/// The caller's request id if it is valid, otherwise a newly generated one.
RequestId requestIdOf(const http::Headers &Headers);

/// The timeout that the caller set, or nothing if it set none. Returns an error
/// message if the header is malformed.
std::variant<std::optional<milliseconds>, std::string>
timeoutOf(const http::Headers &Headers);

/// The requested traffic class, or the entry's own if none is requested.
/// Returns an error message for an unknown class.
std::variant<catalogue::TrafficClass, std::string>
trafficClassOf(const http::Headers &Headers, const catalogue::EntrySpec &Spec);

/// The headers to forward to an endpoint: all except connection-level headers
/// and those that this router sets itself.
http::Headers forwardedHeaders(const http::Headers &Incoming);

} // namespace sff::router
