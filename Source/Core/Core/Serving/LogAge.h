#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Time/Instant.h"

#include <cstdint>
#include <optional>

namespace sff::serving {

/// Where a log of the store ended, as far as a host knows, and how old that
/// knowledge is.
struct LogAge {
  std::uint64_t m_End = 0; ///< Offset after the last record.
  /// Time since the read was sent from which this is known, in milliseconds;
  /// negative if the host has read nothing yet.
  std::int64_t m_AgeMs = -1;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("end", &LogAge::m_End),
                           field("age_ms", &LogAge::m_AgeMs));
  }
};

/// How a host that asks another one whether a log has grown, instead of reading
/// it, still learns of each record in time.
struct LogQueryTimes {
  milliseconds m_ReaderWait; ///< Longest wait of a read by the host asked.
  milliseconds m_QueryWait;  ///< Longest wait of the host asked for a change.
  milliseconds m_MaxAge;     ///< Oldest knowledge that counts.
  /// Longest wait of an own read of the host that asks. Such a read may miss a
  /// record, and a query that gets no answer may follow it.
  milliseconds m_OwnWait;

  /// Added to m_QueryWait, after which the host asked counts as silent.
  static constexpr milliseconds AnswerSlack{300};
};

/// The times with which a record is known within \p ApplyTime of its
/// acknowledgement, also if the host asked loses the store or falls silent just
/// before. Nothing if \p ApplyTime is too short for that.
std::optional<LogQueryTimes> logQueryTimes(Duration ApplyTime);

/// The time from which it is known that nothing follows \p End, after another
/// host gave \p Answer to a query that was sent at \p SentAt. Nothing if the
/// answer is too old or names another end: the log must be read then. An answer
/// is never newer than what the store has told the host that gave it.
std::optional<Instant> confirmedAt(std::uint64_t End, const LogAge &Answer,
                                   Instant SentAt, Duration MaxAge);

} // namespace sff::serving
