#pragma once

#include "Net/Timers/TimerService.h"
#include "Relay/PeerDirectory.h"
#include "Relay/PeerPool.h"

#include <functional>

namespace sff::relay {

/// Exchanges heartbeats with random relays.
/// Thread safety: all calls from the peer loop's thread.
class Gossip {
public:
  struct Callbacks {
    /// Brings the own heartbeat up to date before it is sent.
    std::function<void()> m_RefreshSelf;
    /// A relay has published a heartbeat that was not known.
    std::function<void(const messages::HostHeartbeat &)> m_OnNews;
  };

  /// Precondition: all references outlive this object.
  Gossip(timers::DutyLoop &Loop, PeerPool &Peers, PeerDirectory &Directory,
         milliseconds PeerTimeout, Callbacks Handlers);

  void start();
  /// Publishes the own heartbeat with the next exchange, for example because
  /// the contact with the log has changed.
  void publishSoon();
  /// Tells a few relays at once that this host leaves.
  void announceLeaving();

  messages::HeartbeatReply onHeartbeat(const messages::Heartbeat &Message);

private:
  void round();
  void exchangeWith(const std::string &Address);
  void scheduleNext();
  void mergeAll(std::span<const messages::HostHeartbeat> Items);
  std::vector<messages::HostHeartbeat>
  select(std::span<const messages::HostHeartbeat> Received);

  PeerPool &m_Peers;
  PeerDirectory &m_Directory;
  timers::TimerService m_Timers;
  timers::Subscription m_Timer;
  milliseconds m_PeerTimeout;
  Callbacks m_Handlers;
  Instant m_LastAdvance;
};

} // namespace sff::relay
