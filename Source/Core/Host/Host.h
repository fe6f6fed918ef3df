#pragma once

#include "Host/ClientGuard.h"
#include "Host/DemandRouter.h"
#include "Host/RequestSession.h"
#include "Host/StoreFollower.h"
#include "Host/StreamTracker.h"
#include "Net/Http/Server.h"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <set>

namespace sff::host {

/// Creates the platform adapter. The io_context outlives the adapter.
using PlatformFactory = std::function<Platform(boost::asio::io_context &,
                                               const settings::Settings &)>;

/// An entry host: serves callers, follows the store and, while it holds an
/// order lease, sends orders to endpoints.
/// Thread safety: construct and run on one thread.
class Host {
public:
  Host(const settings::Settings &Values, const log::ProcessIdentity &Identity,
       const std::string &SettingsPath, const PlatformFactory &MakePlatform);

  /// Serves until SIGTERM or SIGINT, then drains: finishes the requests that it
  /// has read, within the grace time.
  /// Precondition: called at most once.
  void run();

private:
  Task<void> handleCaller(http::Request Incoming, http::Exchange &Caller);
  Task<void> serve(http::Request Incoming, http::Exchange &Caller,
                   RequestOrigin Origin);
  /// Serves a request that a host which is cut off from the endpoints has
  /// passed on, or declines it.
  Task<void> handleRelayed(http::Request Incoming, http::Exchange &Caller);
  /// Whether this host takes no request that another host passes on.
  bool declinesRelayed() const;
  /// As ServerGuards::m_IsRejectedByHead, for the listener of other hosts.
  bool isPeerRejected(const http::Request &Head) const;
  Task<void> handleReadiness(http::Request Incoming, http::Exchange &Caller);
  Task<void> handlePeer(http::Request Incoming, http::Exchange &Caller);
  Task<void> handleMetrics(http::Request Incoming, http::Exchange &Caller);
  bool isReady() const;
  Task<void> followLimits();
  void waitForSignal();
  void reload();
  Task<void> stop();

  boost::asio::io_context m_Context;
  std::string m_SettingsPath;
  HostState m_State;
  OrderLeases m_OrderLeases;
  InventoryNotifier m_Notifier;
  SwapService m_Swaps;
  PeerRelay m_Relay;
  DemandRouter m_Demands;
  StreamTracker m_Streams;
  QuotaService m_Quotas;
  LogQueries m_Queries;
  StoreFollower m_Follower;
  SessionAffinity m_Sessions;
  ClientGuard m_Guard;
  http::Server m_Callers;
  http::Server m_Readiness;
  http::Server m_Peers;
  http::Server m_Metrics;
  boost::asio::signal_set m_Signals;
  bool m_Draining = false;
  std::size_t m_RelayedRequests = 0; ///< In progress.
  /// Requests in progress.
  std::set<RequestSession *> m_ActiveSessions;
};

} // namespace sff::host
