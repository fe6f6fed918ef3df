#pragma once

#include "Common/Identity/Ids.h"

#include <deque>
#include <string>

namespace sff::standin {

/// One stream of the log. Offsets start at 1; only the newest records are
/// retained. Thread safety: use from one thread.
class LogStream {
public:
  /// Appends a record, which is a JSON text, and drops the oldest records
  /// beyond \p Retention. Returns the offset of the new record.
  Offset append(std::string Data, std::size_t Retention);

  /// Oldest retained offset; 1 for an empty stream.
  Offset first() const { return m_First; }
  /// Newest offset; 0 for an empty stream.
  Offset head() const { return m_First + m_Records.size() - 1; }

  /// The JSON body of a read response: `first`, `head` and at most \p Limit
  /// records, starting at \p From or at the oldest retained record.
  std::string read(Offset From, std::size_t Limit) const;

private:
  Offset m_First = 1;
  std::deque<std::string> m_Records;
};

} // namespace sff::standin
