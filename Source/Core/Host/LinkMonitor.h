#pragma once

#include "Core/Serving/Catalogue.h"
#include "Core/Serving/EndpointReachability.h"
#include "Host/HostMetrics.h"
#include "Host/Ports.h"
#include "Net/Http/Client.h"
#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace sff::host {

/// Finds out whether this host is cut off from all endpoints, from what its
/// requests see, from connections that it opens when they fail and from health
/// checks that it sends when connections bring no answer.
/// Thread safety: use from the host's io_context only.
class LinkMonitor {
public:
  using NoticeListener = std::function<void(
      const EndpointId &, const serving::RegistrationVersion &,
      const EndpointNotice &)>;

  /// Precondition: the arguments outlive the object.
  LinkMonitor(boost::asio::io_context &Context, http::Client &Http,
              HealthChecker &Health,
              const serving::EndpointDirectory &Endpoints,
              const std::shared_ptr<const serving::Catalogue> &Catalogue,
              HostMetrics &Metrics);

  /// Starts to watch. Precondition: called at most once.
  void start();
  /// Calls \p Listener whenever isIsolated() has changed.
  void onChange(std::function<void()> Listener) {
    m_Listeners.push_back(std::move(Listener));
  }

  /// Calls \p Listener with what the answer to each health check says of its
  /// endpoint, and the registration by which that was asked.
  void onNotice(NoticeListener Listener) {
    m_NoticeListener = std::move(Listener);
  }

  void onRequestSent(const EndpointId &Id);
  void onData();
  /// Called when a connection to an endpoint was lost or not established.
  void onConnectionFailed();
  /// No endpoint can be reached, as far as this host knows.
  bool isIsolated() const { return m_Reachability.isIsolated(); }
  /// Time since an endpoint was last heard from; zero before the first time.
  milliseconds silence() const;
  /// Connects to several endpoints, and returns false if none of them can be
  /// reached, so that this host must take its own links for lost. A host that
  /// knows too few endpoints cannot tell. Calls at the same time share the
  /// connections.
  Task<bool> hasLinks();
  /// Connects to several endpoints other than \p Id, which this host cannot
  /// connect to, and returns whether the loss of this host's own paths explains
  /// that. Waits for all connections. Calls within a short time share them.
  Task<bool> hasLostPaths(EndpointId Id);

private:
  struct Round;
  struct CheckRound;
  struct Survey;

  Task<void> watch();
  void startProbes(const std::shared_ptr<Round> &Current,
                   std::vector<EndpointId> Chosen);
  Task<void> probe(std::shared_ptr<Round> Current, EndpointId Id);
  /// Ends the round, or goes on with further endpoints.
  void onProbesFailed(const std::shared_ptr<Round> &Current);
  void endRound(Round &Current);

  /// The path of the health check of an endpoint; empty if there is none.
  std::string healthPath(const serving::Endpoint &Endpoint) const;
  /// Asks endpoints for an answer, and then others if none has come.
  Task<void> checkLinks();
  /// Sends health checks and waits for the first answer or the last failure.
  Task<void> sendChecks(std::shared_ptr<CheckRound> Current,
                        std::vector<EndpointId> Chosen);
  Task<void> sendCheck(std::shared_ptr<CheckRound> Current, EndpointId Id);
  /// Connects to \p Chosen and waits until all connections have settled.
  Task<void> tryPaths(std::shared_ptr<Survey> Current,
                      std::vector<EndpointId> Chosen);
  /// Tries the paths to a few endpoints and, if any fails, to further ones.
  Task<void> runSurvey(std::shared_ptr<Survey> Current);
  Task<void> tryPath(std::shared_ptr<Survey> Current, EndpointId Id);
  /// Opens a connection to an endpoint. Returns false for an unknown one.
  Task<bool> connectTo(EndpointId Id);
  void onIsolationChanged(std::size_t Probes, std::string_view Cause);

  boost::asio::io_context &m_Context;
  http::Client &m_Http;
  HealthChecker &m_Health;
  NoticeListener m_NoticeListener;
  const serving::EndpointDirectory &m_Endpoints;
  const std::shared_ptr<const serving::Catalogue> &m_Catalogue;
  HostMetrics &m_Metrics;
  std::mt19937_64 m_Random;
  serving::EndpointReachability m_Reachability;
  std::shared_ptr<Round> m_Round;   ///< The round in progress, if any.
  std::shared_ptr<Survey> m_Survey; ///< The latest one, if any.
  timers::AsyncCondition m_Suspected;
  std::vector<std::function<void()>> m_Listeners;
};

} // namespace sff::host
