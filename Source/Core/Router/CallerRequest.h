#pragma once

#include "Net/Http/Message.h"
#include "Router/PlacementRequest.h"

namespace sff::router {

/// A request of a caller after it was checked.
struct CallerRequest {
  PlacementRequest m_Placement;
  http::Request m_Forward; ///< What the endpoint receives, without ids.
  bool m_Stream = false;   ///< Wants server-sent events.
  bool m_Repeatable = true;
  bool m_Engine = true; ///< Engines echo ids and resume streams.
  std::string m_IdempotencyKey;
};

/// A completion request as its body describes it.
struct CompletionBody {
  EntryName m_Model;
  std::string m_Prompt;
  bool m_Stream = false;
};

/// Reads the body of a completion. Returns a description of the fault when it
/// is not a JSON object with a model. Thread safety: reentrant.
std::variant<CompletionBody, std::string> readCompletion(std::string_view Body);

/// Hash of several texts, equal only for equal lists. Thread safety: reentrant.
std::string hashOf(std::initializer_list<std::string_view> Parts);

/// The caller's request id if it is usable, otherwise a fresh one.
RequestId requestIdOf(const http::Headers &Headers);

/// The caller's own deadline, or nothing; a malformed one is an error text.
std::variant<std::optional<milliseconds>, std::string>
timeoutOf(const http::Headers &Headers);

/// The traffic class asked for, or that of the entry; error text otherwise.
std::variant<catalogue::TrafficClass, std::string>
classOf(const http::Headers &Headers, const catalogue::EntrySpec &Spec);

/// Headers that an endpoint may see: all but those of the connection and those
/// that this router sets.
http::Headers forwardedHeaders(const http::Headers &Incoming);

} // namespace sff::router
