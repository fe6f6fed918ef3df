#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sff::streaming {

/// Cuts a byte stream of server-sent events into whole events, so that a torn
/// stream never hands on half an event, and counts the tokens handed on.
/// Thread safety: none.
class EventSplitter {
public:
  void append(std::string_view Data) { m_Pending += Data; }

  /// Removes the next whole event with its closing blank line.
  std::optional<std::string> next();

  /// Drops the rest of a torn event. Counts stay.
  void dropPartial() { m_Pending.clear(); }

  /// Data events taken so far, without the closing "[DONE]".
  std::int64_t tokens() const { return m_Tokens; }
  /// The closing "[DONE]" event was taken.
  bool isDone() const { return m_Done; }

private:
  std::string m_Pending;
  std::int64_t m_Tokens = 0;
  bool m_Done = false;
};

} // namespace sff::streaming
