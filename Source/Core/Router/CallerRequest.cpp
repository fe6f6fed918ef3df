#include "Router/CallerRequest.h"

#include "Common/Codec/BoundedJson.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace sff::router {

namespace {

constexpr std::size_t MaxRequestIdLength = 64;

constexpr std::array<std::string_view, 14> DroppedHeaders{
    "Connection",
    "X-Kept-Retry-Time",
    "Host",
    "Content-Length",
    "Transfer-Encoding",
    "Keep-Alive",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
    "X-Request-Id",
    "X-Attempt-Id",
    "X-Priority",
    "X-Request-Timeout-Ms"};

std::string textOf(const nlohmann::json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

/// Prompt text in the form in which engines cache it: role and content of each
/// message.
std::string promptOf(const nlohmann::json &Body) {
  if (Body.contains("prompt"))
    return textOf(Body["prompt"]);
  std::string Result;
  if (!Body.contains("messages") || !Body["messages"].is_array())
    return Result;
  for (const nlohmann::json &Message : Body["messages"])
    if (Message.is_object() && Message.contains("content"))
      Result += (Message.contains("role") ? textOf(Message["role"]) : "") +
                ": " + textOf(Message["content"]) + "\n";
  return Result;
}

bool isIdCharacter(char Value) {
  return (Value >= '0' && Value <= '9') || (Value >= 'a' && Value <= 'z') ||
         (Value >= 'A' && Value <= 'Z') || Value == '-' || Value == '_' ||
         Value == '.';
}

} // namespace

std::variant<CompletionBody, std::string>
parseCompletion(std::string_view Text) {
  const nlohmann::json Body = codec::tryParseBounded(Text);
  if (!Body.is_object())
    return "the body is not a JSON object";
  if (!Body.contains("model") || !Body["model"].is_string())
    return "the body names no model";
  if (Body.contains("stream") && !Body["stream"].is_boolean())
    return "\"stream\" is not a boolean";
  CompletionBody Result;
  Result.m_Model = EntryName(Body["model"].get<std::string>());
  Result.m_Prompt = promptOf(Body);
  Result.m_Stream = Body.value("stream", false);
  return Result;
}

std::string hashParts(std::initializer_list<std::string_view> Parts) {
  std::string Input;
  for (const std::string_view Part : Parts)
    Input += std::to_string(Part.size()) + ":" + std::string(Part);
  const boost::uuids::name_generator_sha1 Generate(boost::uuids::ns::oid());
  return boost::uuids::to_string(Generate(Input));
}

RequestId requestIdOf(const http::Headers &Headers) {
  const auto Given = Headers.find("X-Request-Id");
  // The id becomes part of a URL path, so other characters are rejected.
  if (Given && !Given->empty() && Given->size() <= MaxRequestIdLength &&
      std::all_of(Given->begin(), Given->end(), isIdCharacter))
    return RequestId(*Given);
  return makeId<RequestId>();
}

std::variant<std::optional<milliseconds>, std::string>
timeoutOf(const http::Headers &Headers) {
  const auto Given = Headers.find("X-Request-Timeout-Ms");
  if (!Given)
    return std::optional<milliseconds>();
  std::int64_t Value = 0;
  const char *End = Given->data() + Given->size();
  const auto Parsed = std::from_chars(Given->data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Value < 0)
    return "X-Request-Timeout-Ms is not a number of milliseconds";
  return std::optional(milliseconds(Value));
}

std::variant<catalogue::TrafficClass, std::string>
trafficClassOf(const http::Headers &Headers, const catalogue::EntrySpec &Spec) {
  const auto Given = Headers.find("X-Traffic-Class");
  if (!Given)
    return Spec.m_Class;
  if (*Given == "interactive")
    return catalogue::TrafficClass::Interactive;
  if (*Given == "batch")
    return catalogue::TrafficClass::Batch;
  return "X-Traffic-Class is neither interactive nor batch";
}

http::Headers forwardedHeaders(const http::Headers &Incoming) {
  http::Headers Result;
  for (const http::Header &Item : Incoming.items()) {
    const auto MatchesName = [&](std::string_view Own) {
      return http::equalHeaderNames(Own, Item.m_Name);
    };
    if (std::none_of(DroppedHeaders.begin(), DroppedHeaders.end(), MatchesName))
      Result.set(Item.m_Name, Item.m_Value);
  }
  return Result;
}

} // namespace sff::router
