#include "Core/Streaming/CompleteEventBuffer.h"

#include <algorithm>

namespace sff::streaming {

namespace {

constexpr std::string_view IdField = "id:";

/// Bytes of a blank line that earlier data may hold.
constexpr std::size_t MaxOverlap = 2;

/// Returns the position after the last blank line, or 0.
std::size_t endOfLastEvent(std::string_view Text) {
  const auto LfEnd = Text.rfind("\n\n");
  const auto CrLfEnd = Text.rfind("\n\r\n");
  std::size_t End = 0;
  if (LfEnd != std::string_view::npos)
    End = LfEnd + 2;
  if (CrLfEnd != std::string_view::npos)
    End = std::max(End, CrLfEnd + 3);
  return End;
}

std::string_view lastIdIn(std::string_view Events) {
  std::size_t Line = Events.rfind(IdField);
  while (Line != std::string_view::npos && Line != 0 &&
         Events[Line - 1] != '\n')
    Line = Line == 0 ? std::string_view::npos : Events.rfind(IdField, Line - 1);
  if (Line == std::string_view::npos)
    return {};
  std::string_view Value = Events.substr(Line + IdField.size());
  Value = Value.substr(0, Value.find_first_of("\r\n"));
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  return Value;
}

} // namespace

std::string CompleteEventBuffer::append(std::string_view Data) {
  // No event ends in what was there before. Searching it again with each read
  // would take time with the square of an event's length.
  const std::size_t Searched =
      m_PartialEvent.size() - std::min(m_PartialEvent.size(), MaxOverlap);
  m_PartialEvent += Data;
  const std::size_t EndInRest =
      endOfLastEvent(std::string_view(m_PartialEvent).substr(Searched));
  if (EndInRest == 0)
    return {};
  const std::size_t End = Searched + EndInRest;
  std::string Complete = m_PartialEvent.substr(0, End);
  m_PartialEvent.erase(0, End);
  if (const std::string_view Id = lastIdIn(Complete); !Id.empty())
    m_LastId = Id;
  return Complete;
}

} // namespace sff::streaming
