#include "Core/Streaming/EventSplitter.h"

#include "Common/Codec/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace sff::streaming {

namespace {

constexpr std::string_view DataField = "data:";

/// Returns the position after the blank line that ends the first event, or
/// npos.
std::size_t endOfEvent(std::string_view Text) {
  const auto LfEnd = Text.find("\n\n");
  const auto CrLfEnd = Text.find("\r\n\r\n");
  if (LfEnd == std::string_view::npos && CrLfEnd == std::string_view::npos)
    return std::string_view::npos;
  return LfEnd < CrLfEnd ? LfEnd + 2 : CrLfEnd + 4;
}

/// Returns the finish reason of the first choice, or an empty string.
std::string finishReasonOf(std::string_view Document) {
  const auto Parsed = codec::tryParseBounded(Document);
  const nlohmann::json::json_pointer Pointer("/choices/0/finish_reason");
  if (!Parsed.is_object() || !Parsed.contains(Pointer))
    return {};
  const nlohmann::json &Reason = Parsed.at(Pointer);
  return Reason.is_string() ? Reason.get<std::string>() : std::string();
}

EventKind kindOf(std::string_view Event) {
  if (!Event.starts_with(DataField))
    return EventKind::Other;
  Event.remove_prefix(DataField.size());
  if (Event.find_first_not_of(' ') == Event.find("[DONE]"))
    return EventKind::Done;
  const std::string Reason = finishReasonOf(Event);
  if (Reason.empty())
    return EventKind::Token;
  return Reason == "cancelled" ? EventKind::Cancelled : EventKind::Finish;
}

} // namespace

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t End = endOfEvent(m_Pending);
  if (End == std::string_view::npos)
    return std::nullopt;
  StreamEvent Event;
  Event.m_Text = m_Pending.substr(0, End);
  m_Pending.erase(0, End);
  Event.m_Kind = kindOf(Event.m_Text);
  if (Event.m_Kind == EventKind::Token)
    ++m_Tokens;
  return Event;
}

bool isCancelledAnswer(std::string_view Body) {
  return finishReasonOf(Body) == "cancelled";
}

} // namespace sff::streaming
