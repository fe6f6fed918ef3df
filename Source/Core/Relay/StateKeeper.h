#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Relay/VerdictList.h"
#include "Relay/StreamFeed.h"

namespace sff::relay {

/// Keeps the folded state of the control stream, finds a state to start from,
/// and stores snapshots.
/// Thread safety: all calls from the peer loop's thread.
class StateKeeper {
public:
  /// Called with the next offset to read once a state was installed.
  using Installed = std::function<void(Offset Next)>;

  /// Precondition: all references outlive this object.
  StateKeeper(timers::DutyLoop &Loop, PlatformSide &Platform, PeerPool &Peers,
              PeerDirectory &Directory, Offset SnapshotRecords,
              milliseconds PeerTimeout);

  /// Looks for a state in the log's snapshots, then at other relays, until one
  /// is found that leaves no gap. While the relay holds a state already, only
  /// a newer one is installed.
  void recover(Installed Done);

  void apply(std::span<const messages::RecordAt> Records);

  /// Stores a snapshot when the rule names this host.
  /// \p LogContact: whether the direct path to the log works.
  void storeIfDue(bool LogContact);

  bool isReady() const { return m_Ready; }
  const fold::ClusterState &state() const { return m_State; }
  const VerdictList &verdicts() const { return m_Verdicts; }

private:
  void onStored(std::optional<StoredSnapshots> Found);
  bool installFromLog(const StoredSnapshots &Found);
  void askPeer(std::vector<std::string> Addresses);
  bool
  installFromPeer(const std::optional<messages::FetchSnapshotReply> &Reply);
  void install(fold::ClusterState State, const char *Source);
  void retryLater();
  void applyOne(const messages::RecordAt &Item);

  PlatformSide &m_Platform;
  PeerPool &m_Peers;
  PeerDirectory &m_Directory;
  timers::TimerService m_Timers;
  timers::Subscription m_Retry;
  Offset m_SnapshotRecords;
  milliseconds m_PeerTimeout;
  Installed m_Done;
  fold::ClusterState m_State;
  VerdictList m_Verdicts;
  bool m_Ready = false;
  Offset m_ControlFirst = 0; ///< Oldest control offset seen at the log.
  bool m_Storing = false;
  Offset m_NextStore = 0; ///< No attempt to store before this offset.
};

} // namespace sff::relay
