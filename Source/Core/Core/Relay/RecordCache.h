#pragma once

#include "Core/Messages/RelayMessages.h"

#include <deque>
#include <vector>

namespace sff::relay {

struct CacheLimits {
  std::size_t m_Records = 0;
  std::size_t m_Bytes = 0; ///< Of the records as JSON text.
};

/// The newest records of one stream, in offset order and without gaps.
/// Thread safety: none.
class RecordCache {
public:
  /// Effect of a run of records.
  enum class Extension {
    None,     ///< Nothing new.
    Extended, ///< Records were added.
    Gap,      ///< The source no longer holds the next record.
  };

  /// Precondition: both limits are at least 1.
  explicit RecordCache(CacheLimits Limits) : m_Limits(Limits) {}

  /// Forgets everything and continues at \p Next.
  void restart(Offset Next);

  /// Takes over records that a source returned for a read that started at
  /// \p From, while its oldest offset was \p First. A read starts at or before
  /// next(), so the records at and after next() follow without a gap. The
  /// added records are appended to \p Added.
  Extension extend(Offset From, Offset First,
                   std::vector<messages::RecordAt> Records,
                   std::vector<messages::RecordAt> &Added);

  /// Records from \p From on, bounded by count and bytes, but at least one.
  std::vector<messages::RecordAt> read(Offset From, std::size_t MaxRecords,
                                       std::size_t MaxBytes) const;

  /// Oldest offset from which a reader misses nothing.
  Offset first() const { return m_First; }
  /// Offset from which the next record is read.
  Offset next() const { return m_Next; }
  /// Newest offset held or passed; 0 before the first.
  Offset head() const { return m_Next - 1; }
  bool holds(Offset From) const {
    return !m_Items.empty() && m_Items.back().m_Record.m_Offset >= From;
  }

private:
  struct Item {
    messages::RecordAt m_Record;
    std::size_t m_Bytes = 0;
  };

  void add(messages::RecordAt Record);

  CacheLimits m_Limits;
  std::deque<Item> m_Items;
  std::size_t m_Bytes = 0;
  Offset m_First = 1;
  Offset m_Next = 1;
};

} // namespace sff::relay
