#include "Core/Streaming/CompleteEventBuffer.h"

#include <algorithm>

namespace sff::streaming {

namespace {

constexpr std::string_view IdField = "id:";

/// Bytes of a blank line that earlier data may hold.
constexpr std::size_t MaxOverlap = 2;

/// Returns the length of a blank line at the beginning of \p Text, or 0.
std::size_t leadingBlankLine(std::string_view Text) {
  if (Text.starts_with('\n'))
    return 1;
  return Text.starts_with("\r\n") ? 2 : 0;
}

/// Returns the position after the last blank line that another line precedes,
/// or 0.
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

/// Returns the value of the field that begins at \p Field.
std::string_view valueOf(std::string_view Events, std::size_t Field) {
  std::string_view Value = Events.substr(Field + IdField.size());
  Value = Value.substr(0, Value.find_first_of("\r\n"));
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  return Value;
}

/// Returns the last id that is not empty, or an empty string.
std::string_view lastIdIn(std::string_view Events) {
  std::size_t Field = Events.rfind(IdField);
  while (Field != std::string_view::npos) {
    const bool BeginsLine = Field == 0 || Events[Field - 1] == '\n';
    if (BeginsLine && !valueOf(Events, Field).empty())
      return valueOf(Events, Field);
    Field =
        Field == 0 ? std::string_view::npos : Events.rfind(IdField, Field - 1);
  }
  return {};
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
  // What was there before begins a line. A blank line there ends nothing, but
  // without it a stream could seem to end inside an event.
  const std::size_t End =
      EndInRest > 0 ? Searched + EndInRest : leadingBlankLine(m_PartialEvent);
  if (End == 0)
    return {};
  std::string Complete = m_PartialEvent.substr(0, End);
  m_PartialEvent.erase(0, End);
  if (const std::string_view Id = lastIdIn(Complete); !Id.empty())
    m_LastId = Id;
  return Complete;
}

} // namespace sff::streaming
