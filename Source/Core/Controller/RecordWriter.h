#pragma once

#include "Core/Fold/Records.h"
#include "Net/Follower/StateFollower.h"

#include <functional>
#include <map>
#include <string>

namespace sff::controller {

/// Appends control records and keeps at most one of each kind open, until the
/// fold has shown its effect or a time-out has passed. A record that times out
/// may still take effect later; every record names the exact earlier record
/// that it acts on, so a second attempt cannot double it.
/// Thread safety: all calls on the control thread.
class RecordWriter {
public:
  /// Precondition: \p Relays outlives this object.
  explicit RecordWriter(follower::RelayClient &Relays) : m_Relays(Relays) {}

  /// True when no record of this kind is open.
  bool isIdle(const char *Kind, Instant Now) const;

  /// Appends a record. \p OnNotAppended runs when it provably did not reach
  /// the log.
  void append(const char *Kind, fold::Record Value, Instant Now,
              std::function<void()> OnNotAppended = {});

  /// Call for every folded record.
  void onFolded(const RecordId &Id);

private:
  struct Open {
    RecordId m_Id;
    Instant m_Since;
  };
  follower::RelayClient &m_Relays;
  std::map<std::string, Open> m_Open;
};

} // namespace sff::controller
