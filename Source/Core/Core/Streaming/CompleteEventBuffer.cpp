#include "Core/Streaming/CompleteEventBuffer.h"

namespace sff::streaming {

namespace {

constexpr std::string_view IdField = "id:";

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
  m_PartialEvent += Data;
  const std::size_t End = endOfLastEvent(m_PartialEvent);
  if (End == 0)
    return {};
  std::string Complete = m_PartialEvent.substr(0, End);
  m_PartialEvent.erase(0, End);
  if (const std::string_view Id = lastIdIn(Complete); !Id.empty())
    m_LastId = Id;
  return Complete;
}

} // namespace sff::streaming
