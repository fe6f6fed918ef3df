#pragma once

#include "Common/Process/Program.h"
#include "Net/Peer/Dispatcher.h"
#include "Relay/AppendPath.h"
#include "Relay/Gossip.h"
#include "Relay/StateKeeper.h"

namespace sff::relay {

/// The relay of one host: joins the feeds, the state, the append path and the
/// gossip, and answers the relay's messages.
class RelayNode {
public:
  /// Precondition: the settings were checked with makeSchema().
  explicit RelayNode(const process::Context &Started);
  ~RelayNode();

  /// Starts to listen and to follow the log. Throws std::runtime_error when
  /// the address cannot be bound. Thread safety: the owning thread.
  void start();

  /// Announces that the host leaves, answers all waiting fetches, waits for
  /// appends under way and stops. Thread safety: the owning thread, once.
  void stop();

private:
  void registerHandlers();
  void registerAdministration();
  void begin();
  void startIntents();
  void onControlRecords(std::span<const messages::RecordAt> Records);
  void refreshSelf();
  void onNews(const messages::HostHeartbeat &Item);
  void catchUp(const std::string &Address, Offset Announced);
  void tick();
  messages::RelayStatusReply makeStatus(bool OwnHostOnly);

  settings::Settings m_Settings;
  timers::DutyLoop m_Peer;
  timers::DutyLoop m_PlatformLoop;
  PlatformSide m_Platform;
  PeerPool m_Peers;
  PeerDirectory m_Directory;
  StreamFeed m_Control;
  StreamFeed m_Intents;
  StateKeeper m_State;
  AppendPath m_Appends;
  Gossip m_Gossip;
  timers::TimerService m_Timers;
  timers::Subscription m_Tick;
  timers::Subscription m_CatchUp;
  timers::Subscription m_IntentsRetry;
  peer::Dispatcher m_Dispatcher;
};

} // namespace sff::relay
