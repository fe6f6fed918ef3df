#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Relay/ChangeResultList.h"
#include "Relay/StreamFeed.h"

namespace sff::relay {

/// Maintains the cluster state by applying the records of the control stream.
/// Recovers an initial state and stores snapshots.
/// Thread safety: all calls on the peer loop's thread.
class StateManager {
public:
  /// Called with the next offset to read when a state has been installed.
  using InstalledCallback = std::function<void(Offset Next)>;

  /// Precondition: all references outlive this object.
  StateManager(timers::EventLoop &Loop, AsyncLogClient &Log, PeerPool &Peers,
               PeerDirectory &Directory, Offset SnapshotRecords,
               milliseconds PeerTimeout);

  /// Installs a state from the snapshots in the log or else from another relay.
  /// Retries until it finds a state from which the log has all further records.
  /// If the relay already has a state, only a newer one is installed.
  void recover(InstalledCallback OnInstalled);

  void apply(std::span<const messages::StreamRecord> Records);

  /// Stores a snapshot if one is due and membership::shouldWriteSnapshot()
  /// selects this host. Does nothing while the relay has no direct access to
  /// the log.
  void storeSnapshotIfDue(bool DirectLogAccess);

  bool isReady() const { return m_Ready; }
  const fold::ClusterState &state() const { return m_State; }
  const ChangeResultList &changeResults() const { return m_ChangeResults; }

private:
  void onSnapshotsRead(std::optional<StoredSnapshots> Found);
  bool installFromLog(const StoredSnapshots &Found);
  void installFromPeers(std::vector<std::string> Addresses);
  bool
  installFromPeer(const std::optional<messages::FetchSnapshotReply> &Reply);
  void install(fold::ClusterState State, const char *Source);
  void scheduleRetry();
  void applyOne(const messages::StreamRecord &Item);

  AsyncLogClient &m_Log;
  PeerPool &m_Peers;
  PeerDirectory &m_Directory;
  timers::TimerService m_Timers;
  timers::TimerHandle m_Retry;
  Offset m_SnapshotRecords;
  milliseconds m_PeerTimeout;
  InstalledCallback m_OnInstalled;
  fold::ClusterState m_State;
  ChangeResultList m_ChangeResults;
  bool m_Ready = false;
  Offset m_OldestControlOffset = 0; ///< Oldest control offset seen in the log.
  bool m_StoreInFlight = false;
  Offset m_NextStoreOffset = 0; ///< Offset before which no store is attempted.
};

} // namespace sff::relay
