#include "Core/Streaming/EventSplitter.h"

namespace sff::streaming {

namespace {

/// Position after the blank line that closes the first event, or npos.
std::size_t endOfEvent(std::string_view Text) {
  const auto Plain = Text.find("\n\n");
  const auto Windows = Text.find("\r\n\r\n");
  if (Plain == std::string_view::npos && Windows == std::string_view::npos)
    return std::string_view::npos;
  return Plain < Windows ? Plain + 2 : Windows + 4;
}

} // namespace

std::optional<std::string> EventSplitter::next() {
  const std::size_t End = endOfEvent(m_Pending);
  if (End == std::string_view::npos)
    return std::nullopt;
  std::string Event = m_Pending.substr(0, End);
  m_Pending.erase(0, End);
  if (Event.starts_with("data: [DONE]") || Event.starts_with("data:[DONE]"))
    m_Done = true;
  else if (Event.starts_with("data:"))
    ++m_Tokens;
  return Event;
}

} // namespace sff::streaming
