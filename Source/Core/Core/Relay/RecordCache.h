#pragma once

#include "Core/Messages/RelayMessages.h"

#include <deque>
#include <vector>

namespace sff::relay {

struct CacheLimits {
  std::size_t m_Records = 0;
  std::size_t m_Bytes = 0; ///< Total size of the records as JSON text.
};

/// Cache of the newest records of one stream, in offset order without gaps.
/// Thread safety: none.
class RecordCache {
public:
  /// Result of extend().
  enum class Extension {
    None,     ///< There were no new records.
    Extended, ///< Records were added.
    Gap,      ///< The source no longer has the next record.
  };

  /// Precondition: both limits are at least 1.
  explicit RecordCache(CacheLimits Limits) : m_Limits(Limits) {}

  /// Removes all records and continues at the offset \p Next.
  void restart(Offset Next);

  /// Adds records that a source returned for a read starting at \p From, when
  /// the oldest offset of that source was \p First. Records before next() are
  /// ignored. A read that starts after next() adds nothing, so the records from
  /// next() on follow without a gap. The added records are also appended to
  /// \p Added.
  Extension extend(Offset From, Offset First,
                   std::vector<messages::StreamRecord> Records,
                   std::vector<messages::StreamRecord> &Added);

  /// Returns the records from \p From on, up to \p MaxRecords records and
  /// \p MaxBytes bytes. The first record is returned even if it exceeds
  /// \p MaxBytes.
  std::vector<messages::StreamRecord> read(Offset From, std::size_t MaxRecords,
                                           std::size_t MaxBytes) const;

  /// Oldest offset from which records can be read without a gap.
  Offset first() const { return m_First; }
  /// Offset from which the next records have to be read from a source.
  Offset next() const { return m_Next; }
  /// Newest offset that was added or skipped by restart(); 0 initially.
  Offset head() const { return m_Next - 1; }
  /// True when the cache contains a record at or after \p From.
  bool holds(Offset From) const {
    return !m_Items.empty() && m_Items.back().m_Record.m_Offset >= From;
  }

private:
  struct Item {
    messages::StreamRecord m_Record;
    std::size_t m_Bytes = 0;
  };

  void add(messages::StreamRecord Record);

  CacheLimits m_Limits;
  std::deque<Item> m_Items;
  std::size_t m_Bytes = 0;
  Offset m_First = 1;
  Offset m_Next = 1;
};

} // namespace sff::relay
