#pragma once

#include <string>
#include <string_view>

namespace sff::streaming {

/// Cuts the bytes of an event stream at the ends of whole events and keeps the
/// id of the last one, so that a torn stream can go on at another endpoint
/// without a gap and without half an event. Thread safety: none.
class EventBoundary {
public:
  /// Adds bytes and returns the whole events that they complete.
  std::string append(std::string_view Data);

  /// Bytes of an event whose end has not arrived.
  const std::string &partial() const { return m_Partial; }
  void dropPartial() { m_Partial.clear(); }
  /// The id of the last whole event, empty when none had one.
  const std::string &lastId() const { return m_LastId; }

private:
  std::string m_Partial;
  std::string m_LastId;
};

} // namespace sff::streaming
