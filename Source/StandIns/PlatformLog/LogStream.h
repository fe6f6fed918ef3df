#pragma once

#include "Common/Identity/Ids.h"

#include <deque>
#include <string>

namespace sff::standin {

/// One stream of the log: records with offsets from 1, of which the newest are
/// kept. Thread safety: use from one thread.
class LogStream {
public:
  /// Appends a JSON text and drops the oldest records beyond \p Retention.
  Offset append(std::string Data, std::size_t Retention);

  /// Oldest offset that is kept, 1 for an empty stream.
  Offset first() const { return m_First; }
  /// Newest offset, 0 for an empty stream.
  Offset head() const { return m_First + m_Records.size() - 1; }

  /// The answer to a read: `first`, `head` and at most \p Limit records from
  /// \p From on, or from the oldest one that is kept.
  std::string read(Offset From, std::size_t Limit) const;

private:
  Offset m_First = 1;
  std::deque<std::string> m_Records;
};

} // namespace sff::standin
