#pragma once

#include "Common/Time/Instant.h"
#include "Core/Messages/RelayMessages.h"

#include <map>
#include <span>
#include <vector>

namespace sff::membership {

using messages::HostHeartbeat;

/// A relay's table of all hosts, merged from the heartbeats that it receives.
///
/// Of two heartbeats for a host, the one with the higher sequence is kept,
/// regardless of the incarnation; for equal sequences, the one with the greater
/// incarnation. The age of an entry is the time since this relay last accepted
/// a newer heartbeat for it, so ages depend on the local clock only.
///
/// Thread safety: none.
class HostTable {
public:
  HostTable(HostHeartbeat Self, Instant Now);

  const HostHeartbeat &self() const { return m_Self; }

  /// Updates the variable fields of the own heartbeat. Other hosts accept them
  /// once the sequence is raised.
  void updateSelf(Offset Applied, bool LogReachable, Offset Snapshot);
  /// Raises the sequence of the own heartbeat, so that other hosts accept it.
  void advance();
  /// Marks the own host as leaving and raises the sequence.
  void leave();

  /// Stores a heartbeat if it is newer than the known one, and returns whether
  /// it was. A heartbeat of another incarnation for the own host is never
  /// stored; the own sequence is raised above it instead.
  bool merge(const HostHeartbeat &Item, Instant Now);

  /// Chooses the heartbeats for one message and counts them as sent. The own
  /// one comes first, followed by those that were sent the fewest times and
  /// changed last, each at most MaxSends times, and by one of the others in
  /// rotation, so that new hosts learn about all hosts. Leaves out heartbeats
  /// that the receiver already has according to \p Received, and hosts older
  /// than \p MaxAge. \p Limit is the maximum number of heartbeats.
  std::vector<HostHeartbeat> select(std::size_t Limit,
                                    std::span<const HostHeartbeat> Received,
                                    Instant Now, milliseconds MaxAge);

  /// Hosts other than the own one that are not leaving and not older than
  /// \p MaxAge.
  std::vector<HostHeartbeat> liveOthers(Instant Now, milliseconds MaxAge) const;

  /// All hosts with their ages; the own one comes first.
  std::vector<messages::HostStatus> statuses(Instant Now) const;

  /// Removes entries that are older than \p MaxAge.
  void forget(Instant Now, milliseconds MaxAge);

  /// Offset of the newest stored snapshot that any host has reported.
  Offset newestSnapshot() const;

  /// Number of known hosts, including the own one.
  std::size_t size() const { return m_Others.size() + 1; }

  /// Maximum number of times that a host sends the same version of an entry.
  /// With three sends per host, a change reaches nearly all hosts; the rotation
  /// reaches the rest.
  static constexpr int MaxSends = 3;

private:
  struct Entry {
    HostHeartbeat m_Heartbeat;
    Instant m_UpdatedAt;
    int m_SendCount = 0;
  };

  void appendRotated(std::vector<HostHeartbeat> &Chosen,
                     std::span<const Entry *const> Rest);

  HostHeartbeat m_Self;
  std::map<HostId, Entry> m_Others;
  HostId m_LastRotatedHost; ///< Host that was last sent in rotation.
};

} // namespace sff::membership
