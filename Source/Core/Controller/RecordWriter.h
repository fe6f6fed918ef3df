#pragma once

#include "Core/Fold/Records.h"
#include "Net/Follower/StateFollower.h"

#include <functional>
#include <map>
#include <string>

namespace sff::controller {

/// Appends records to the control stream and tracks the pending ones, so that
/// callers can keep at most one of each kind pending. A record is pending until
/// it was applied, has timed out, or is known not to have been appended. After
/// a timeout it may still take effect. A second attempt cannot take effect as
/// well, because each record names the exact earlier record that it acts on.
/// Thread safety: all calls on the control thread.
class RecordWriter {
public:
  /// Precondition: \p Relays outlives this object.
  explicit RecordWriter(follower::RelayClient &Relays) : m_Relays(Relays) {}

  /// True when no record of this kind is pending. Check before append().
  bool isIdle(const char *Kind, Instant Now) const;

  /// Appends a record. \p OnNotAppended is called when the record is known not
  /// to have reached the log.
  void append(const char *Kind, fold::Record Value, Instant Now,
              std::function<void()> OnNotAppended = {});

  /// Must be called for every applied record.
  void onRecordApplied(const RecordId &Id);

private:
  struct PendingRecord {
    RecordId m_Id;
    Instant m_AppendedAt;
  };
  follower::RelayClient &m_Relays;
  std::map<std::string, PendingRecord> m_PendingRecords;
};

} // namespace sff::controller
