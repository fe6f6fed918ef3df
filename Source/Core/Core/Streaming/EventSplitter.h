#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sff::streaming {

/// What one event of a completion stream means.
enum class EventKind {
  Token,
  Finish,    ///< States the reason why the answer is whole.
  Cancelled, ///< The engine gave the request up; the answer is not whole.
  Done,      ///< The closing "[DONE]".
  Other,     ///< Comments and events without data.
};

struct StreamEvent {
  std::string m_Text; ///< With the closing blank line.
  EventKind m_Kind = EventKind::Other;
};

/// Cuts the bytes of a completion stream into whole events, so that a torn
/// stream never hands on half an event, and counts the tokens taken.
/// Thread safety: none.
class EventSplitter {
public:
  void append(std::string_view Data) { m_Pending += Data; }

  /// Removes the next whole event.
  std::optional<StreamEvent> next();

  /// Drops the rest of a torn event. The count stays.
  void dropPartial() { m_Pending.clear(); }
  bool hasPartial() const { return !m_Pending.empty(); }

  /// Tokens taken so far.
  std::int64_t tokens() const { return m_Tokens; }

private:
  std::string m_Pending;
  std::int64_t m_Tokens = 0;
};

/// True when a whole answer says that the engine gave the request up.
bool isCancelledAnswer(std::string_view Body);

} // namespace sff::streaming
