#pragma once

#include "Common/Process/Program.h"
#include "Net/Peer/Dispatcher.h"
#include "Relay/Gossip.h"
#include "Relay/RecordAppender.h"
#include "Relay/StateManager.h"

namespace sff::relay {

/// The relay of one host. Connects the stream feeds, the state, the appender
/// and the gossip, and answers messages to the relay.
class RelayNode {
public:
  /// Precondition: the settings were validated with makeSchema().
  explicit RelayNode(const process::Context &Started);
  ~RelayNode();

  /// Starts to listen for messages and to follow the log. Throws
  /// std::runtime_error when the address cannot be bound.
  /// Thread safety: the owning thread.
  void start();

  /// Announces that the host is leaving, answers all waiting fetches, waits a
  /// limited time for pending appends, and stops.
  /// Thread safety: the owning thread, once.
  void stop();

private:
  void registerHandlers();
  void registerAdministration();
  void startOnPeerThread();
  void startIntents();
  void onControlRecords(std::span<const messages::StreamRecord> Records);
  void updateOwnHeartbeat();
  void onNewHeartbeat(const messages::HostHeartbeat &Item);
  void catchUp(const std::string &Address, Offset Announced);
  void tick();
  messages::RelayStatusReply makeStatus(bool OwnHostOnly);

  settings::Settings m_Settings;
  timers::EventLoop m_PeerLoop;
  timers::EventLoop m_LogLoop;
  AsyncLogClient m_Log;
  PeerPool m_Peers;
  PeerDirectory m_Directory;
  StreamFeed m_Control;
  StreamFeed m_Intents;
  StateManager m_State;
  RecordAppender m_Appender;
  Gossip m_Gossip;
  timers::TimerService m_Timers;
  timers::TimerHandle m_TickTimer;
  timers::TimerHandle m_CatchUpTimer;
  timers::TimerHandle m_IntentsRetryTimer;
  peer::Dispatcher m_Dispatcher;
};

} // namespace sff::relay
