#pragma once

#include "Core/Messages/ControllerMessages.h"
#include "Net/Follower/StateFollower.h"
#include "Router/PeerConnectionPool.h"

namespace sff::router {

/// The router's view of the cluster: the cluster state, replicated through the
/// relays, and the endpoint list, polled from the controllers.
/// Thread safety: all calls on the loop's thread.
class ClusterView {
public:
  struct Options {
    HostId m_Host;
    ZoneId m_Zone;
    milliseconds m_ListPeriod{1000};
  };

  /// Precondition: all references outlive this object.
  ClusterView(timers::EventLoop &Loop, follower::RelayClient &Relays,
              PeerConnectionPool &Controllers, Options Opts);

  void start();

  const fold::ClusterState &state() const { return m_Follower.state(); }
  /// True once a relay has answered. Stays true afterwards.
  bool hasReachedRelay() const { return m_RelayReached; }

  /// Endpoints that can run \p Entry and are neither leaving nor gone. Engines
  /// are listed in slot order. \p Spec is the entry's specification.
  std::vector<EndpointId> endpointsOf(const EntryName &Entry,
                                      const catalogue::EntrySpec &Spec) const;
  /// HTTP address of an endpoint, or an empty string.
  std::string addressOf(const EndpointId &Endpoint) const;
  /// Address of the controller that owns the endpoint, or an empty string.
  std::string ownerAddressOf(const EndpointId &Endpoint) const;
  /// True if the endpoint has permanently left the cluster, according to the
  /// endpoint list.
  bool isGone(const EndpointId &Endpoint) const;
  bool isEngine(const EndpointId &Endpoint) const;
  /// Peer addresses of all routers, including this one.
  std::set<std::string> routerAddresses() const;

private:
  void readEndpoints();
  void onEndpoints(messages::ListEndpointsReply Reply);
  std::vector<std::string> controllersByDistance() const;
  bool acceptsWork(const EndpointId &Endpoint) const;

  Options m_Options;
  PeerConnectionPool &m_Controllers;
  timers::TimerService m_Timers;
  timers::TimerHandle m_ListTimer;
  follower::StateFollower m_Follower;
  std::map<EndpointId, messages::EndpointInfo> m_Endpoints;
  std::string m_ListVersion; ///< Version of m_Endpoints.
  std::size_t m_NextController = 0;
  bool m_ListPending = false;
  bool m_RelayReached = false;
};

} // namespace sff::router
