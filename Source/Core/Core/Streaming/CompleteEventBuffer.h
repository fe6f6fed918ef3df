#pragma once

#include <string>
#include <string_view>

namespace sff::streaming {

/// Splits the bytes of an event stream after complete events and keeps the id
/// of the last one, so that an interrupted stream can be resumed at another
/// endpoint without a gap or a partialEvent event. Blank lines between events
/// belong to the events before them. What is returned and kept does not depend
/// on how the bytes were split in transit. Thread safety: none.
class CompleteEventBuffer {
public:
  /// Appends bytes and returns the events that they complete.
  std::string append(std::string_view Data);

  /// Returns the bytes of an event that is still incomplete.
  const std::string &partialEvent() const { return m_PartialEvent; }
  void discardPartial() { m_PartialEvent.clear(); }
  /// Returns the id of the last complete event that had one, or an empty
  /// string. An empty id counts as none.
  const std::string &lastId() const { return m_LastId; }

private:
  std::string m_PartialEvent;
  std::string m_LastId;
};

} // namespace sff::streaming
