#pragma once

#include "Net/Timers/TimerService.h"
#include "Relay/PeerDirectory.h"
#include "Relay/PeerPool.h"

#include <functional>

namespace sff::relay {

/// Exchanges host heartbeats with randomly chosen relays.
/// Thread safety: all calls on the peer loop's thread.
class Gossip {
public:
  struct Callbacks {
    /// Updates the own heartbeat. Called before heartbeats are sent.
    std::function<void()> m_UpdateOwnHeartbeat;
    /// Called for each received heartbeat that is newer than the known one.
    std::function<void(const messages::HostHeartbeat &)> m_OnNewHeartbeat;
  };

  /// Precondition: all references outlive this object.
  Gossip(timers::EventLoop &Loop, PeerPool &Peers, PeerDirectory &Directory,
         milliseconds PeerTimeout, Callbacks Handlers);

  void start();
  /// Raises the sequence of the own heartbeat with the next exchange, so that
  /// other hosts accept its changed contents, for example after the access to
  /// the log has changed.
  void requestPublish();
  /// Stops the periodic exchanges and notifies a few random relays that this
  /// host is leaving.
  void announceLeaving();

  messages::HeartbeatReply onHeartbeat(const messages::Heartbeat &Message);

private:
  void runRound();
  void exchangeWith(const std::string &Address);
  void scheduleNext();
  void mergeAll(std::span<const messages::HostHeartbeat> Items);
  std::vector<messages::HostHeartbeat>
  select(std::span<const messages::HostHeartbeat> Received);

  PeerPool &m_Peers;
  PeerDirectory &m_Directory;
  timers::TimerService m_Timers;
  timers::TimerHandle m_Timer;
  milliseconds m_PeerTimeout;
  Callbacks m_Handlers;
  Instant m_LastSequenceAdvance;
};

} // namespace sff::relay
