#pragma once

#include "Net/Http/Client.h"
#include "Router/ClusterView.h"
#include "Router/EndpointRegistry.h"

namespace sff::router {

/// Polls load reports and cache events of the endpoints in use.
/// Thread safety: all calls on the loop's thread.
class LoadPoller {
public:
  /// Precondition: all references outlive this object.
  LoadPoller(timers::EventLoop &Loop, ClusterView &View,
             EndpointRegistry &Registry, milliseconds Period);

  void start();

private:
  struct PollState {
    bool m_InFlight = false;
    std::uint64_t m_NextEvent = 1;
    std::string m_Incarnation;
  };

  void poll();
  boost::asio::awaitable<void> pollEndpoint(EndpointId Endpoint,
                                            http::Address Addr);
  void onLoad(const EndpointId &Endpoint, const nlohmann::json &Report);
  void onEvents(const EndpointId &Endpoint, const nlohmann::json &Report);

  timers::EventLoop &m_Loop;
  ClusterView &m_View;
  EndpointRegistry &m_Registry;
  milliseconds m_Period;
  timers::TimerService m_Timers;
  timers::TimerHandle m_Timer;
  http::Client m_Client;
  std::map<EndpointId, PollState> m_PollStates;
};

} // namespace sff::router
