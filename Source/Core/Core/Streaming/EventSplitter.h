#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sff::streaming {

/// The type of an event in a completion stream.
enum class EventKind {
  Token,
  Finish,    ///< Contains the finish reason; the answer is complete.
  Cancelled, ///< The engine cancelled the request; the answer is incomplete.
  Done,      ///< The final "[DONE]" event.
  Other,     ///< Comments and events without data.
};

struct StreamEvent {
  std::string m_Text; ///< Includes the terminating blank line.
  EventKind m_Kind = EventKind::Other;
};

/// Splits the bytes of a completion stream into complete events, so that no
/// partial event is forwarded when a stream is interrupted, and counts the
/// tokens in the events returned. Thread safety: none.
class EventSplitter {
public:
  void append(std::string_view Data) { m_Pending += Data; }

  /// Removes and returns the next complete event, or nothing.
  std::optional<StreamEvent> next();

  /// Discards the bytes of an incomplete event. The token count is kept.
  void discardPartial() { m_Pending.clear(); }
  bool hasPartial() const { return !m_Pending.empty(); }

  /// Returns the number of tokens returned by next() so far.
  std::int64_t tokens() const { return m_Tokens; }

private:
  std::string m_Pending;
  std::int64_t m_Tokens = 0;
};

/// Returns true if a complete answer states that the engine cancelled the
/// request.
bool isCancelledAnswer(std::string_view Body);

} // namespace sff::streaming
