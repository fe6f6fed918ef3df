#pragma once

#include "Core/Messages/ControllerMessages.h"
#include "Net/Follower/StateFollower.h"
#include "Router/ControllerPool.h"

namespace sff::router {

/// What the router knows of the cluster: the folded state, which it follows
/// through the relays, and the endpoint list, which it reads from controllers.
/// Thread safety: all calls on the loop's thread.
class ClusterView {
public:
  struct Options {
    HostId m_Host;
    ZoneId m_Zone;
    milliseconds m_ListPeriod{1000};
  };

  /// Precondition: all references outlive this object.
  ClusterView(timers::DutyLoop &Loop, follower::RelayClient &Relays,
              ControllerPool &Controllers, Options Chosen);

  void start();

  const fold::ClusterState &state() const { return m_Follower.state(); }
  /// True once a relay has answered.
  bool hasContact() const { return m_Contact; }

  /// Endpoints that may run \p Entry and are not leaving. Engines come in slot
  /// order. \p Spec is the entry's specification.
  std::vector<EndpointId> endpointsOf(const EntryName &Entry,
                                      const catalogue::EntrySpec &Spec) const;
  /// HTTP address of an endpoint, or an empty string.
  std::string addressOf(const EndpointId &Endpoint) const;
  /// Address of the controller that owns the endpoint, or an empty string.
  std::string ownerAddressOf(const EndpointId &Endpoint) const;
  /// True once the endpoint list says that the endpoint is gone for good.
  bool isGone(const EndpointId &Endpoint) const;
  bool isEngine(const EndpointId &Endpoint) const;
  /// Peer addresses of all routers, with this one.
  std::set<std::string> routerAddresses() const;

private:
  void readEndpoints();
  void onEndpoints(messages::ListEndpointsReply Reply);
  std::vector<std::string> controllersByDistance() const;
  bool takesWork(const EndpointId &Endpoint) const;

  Options m_Options;
  ControllerPool &m_Controllers;
  timers::TimerService m_Timers;
  timers::Subscription m_ListTimer;
  follower::StateFollower m_Follower;
  std::map<EndpointId, messages::EndpointInfo> m_Endpoints;
  std::string m_ListVersion; ///< Of the endpoint list at hand.
  std::size_t m_NextController = 0;
  bool m_ListPending = false;
  bool m_Contact = false;
};

} // namespace sff::router
