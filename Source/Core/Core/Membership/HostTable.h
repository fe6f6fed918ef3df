#pragma once

#include "Common/Time/Instant.h"
#include "Core/Messages/RelayMessages.h"

#include <map>
#include <span>
#include <vector>

namespace sff::membership {

using messages::HostHeartbeat;

/// What a relay knows about all hosts, merged from heartbeats.
///
/// The heartbeat with the higher sequence wins, whatever its incarnation;
/// equal sequences are decided by the greater incarnation. An entry's age is
/// the time since this relay learned something new about it, so that only the
/// local clock counts.
///
/// Thread safety: none.
class HostTable {
public:
  HostTable(HostHeartbeat Self, Instant Now);

  const HostHeartbeat &self() const { return m_Self; }

  /// Replaces the changing parts of the own heartbeat. Others learn them with
  /// the next sequence.
  void updateSelf(Offset Applied, bool LogReachable, Offset Snapshot);
  /// Raises the own sequence, so that others take over the own heartbeat.
  void advance();
  /// Marks the own host as leaving and raises the sequence.
  void leave();

  /// Takes over a heartbeat when it is newer. Returns whether it was. Another
  /// incarnation's heartbeat for the own host is never taken over; the own
  /// sequence is raised above it instead.
  bool merge(const HostHeartbeat &Item, Instant Now);

  /// Chooses entries for one message: the own one, then those that have been
  /// sent the fewest times and changed last, each at most MaxSends times, then
  /// one of the rest in rotation so that newcomers learn everything. Leaves
  /// out entries that \p Received shows the other side to know already, hosts
  /// older than \p MaxAge, and counts the sends.
  std::vector<HostHeartbeat> select(std::size_t Limit,
                                    std::span<const HostHeartbeat> Received,
                                    Instant Now, milliseconds MaxAge);

  /// Hosts other than the own one that are not leaving and not older than
  /// \p MaxAge.
  std::vector<HostHeartbeat> liveOthers(Instant Now, milliseconds MaxAge) const;

  /// All hosts with their ages; the own one comes first.
  std::vector<messages::HostStatus> statuses(Instant Now) const;

  /// Drops entries that are older than \p MaxAge.
  void forget(Instant Now, milliseconds MaxAge);

  /// Newest snapshot that any host knows to be stored.
  Offset newestSnapshot() const;

  /// Hosts known, the own one included.
  std::size_t size() const { return m_Others.size() + 1; }

  /// Sends of one version of an entry by one host. With three sends each, a
  /// change reaches nearly all hosts; the rotation reaches the rest.
  static constexpr int MaxSends = 3;

private:
  struct Entry {
    HostHeartbeat m_Heartbeat;
    Instant m_LearnedAt;
    int m_Sends = 0;
  };

  void appendRotated(std::vector<HostHeartbeat> &Chosen,
                     std::span<const Entry *const> Rest);

  HostHeartbeat m_Self;
  std::map<HostId, Entry> m_Others;
  HostId m_Rotation; ///< Host that was sent last by rotation.
};

} // namespace sff::membership
