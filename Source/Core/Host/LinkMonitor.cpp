#include "Host/LinkMonitor.h"

#include "Common/Logging/Log.h"
#include "Common/Time/Clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Routing;

/// Several times the delay of a connection between availability zones.
constexpr milliseconds LinkProbeTimeout{300};
constexpr milliseconds CheckInterval{100};

} // namespace

/// Connections that are opened at the same time.
struct LinkMonitor::Round {
  std::vector<EndpointId> m_Tried;
  std::size_t m_Open = 0;
  bool m_IsExtended = false; ///< Further endpoints have been chosen.
  bool m_AnyConnected = false;
  bool m_Ended = false;
  timers::AsyncCondition m_Settled;
};

LinkMonitor::LinkMonitor(boost::asio::io_context &Context, http::Client &Http,
                         const serving::EndpointDirectory &Endpoints,
                         HostMetrics &Metrics)
    : m_Context(Context), m_Http(Http), m_Endpoints(Endpoints),
      m_Metrics(Metrics), m_Random(std::random_device{}()) {}

void LinkMonitor::start() {
  boost::asio::co_spawn(m_Context, watch(), boost::asio::detached);
}

void LinkMonitor::onRequestSent() { m_Reachability.onRequestSent(now()); }

void LinkMonitor::onData() { m_Reachability.onData(now()); }

void LinkMonitor::onConnectionFailed() {
  m_Reachability.onConnectionFailed();
  m_Suspected.notifyAll();
}

milliseconds LinkMonitor::silence() const {
  const auto HeardAt = m_Reachability.lastHeardAt();
  return HeardAt ? toMilliseconds(now() - *HeardAt) : milliseconds(0);
}

Task<void> LinkMonitor::watch() {
  while (true) {
    if (m_Reachability.needsProbes(now()))
      co_await hasLinks();
    co_await m_Suspected.wait(CheckInterval);
  }
}

Task<bool> LinkMonitor::hasLinks() {
  auto Current = m_Round;
  if (!Current) {
    Current = std::make_shared<Round>();
    m_Round = Current;
    startProbes(Current, m_Reachability.chooseProbes(m_Endpoints, m_Random));
  }
  while (!Current->m_Ended)
    co_await Current->m_Settled.wait(LinkProbeTimeout);
  co_return Current->m_AnyConnected ||
      Current->m_Tried.size() < serving::EndpointReachability::MinProbes;
}

void LinkMonitor::startProbes(const std::shared_ptr<Round> &Current,
                              std::vector<EndpointId> Chosen) {
  Current->m_Open += Chosen.size();
  Current->m_Tried.insert(Current->m_Tried.end(), Chosen.begin(), Chosen.end());
  for (const EndpointId &Id : Chosen)
    boost::asio::co_spawn(m_Context, probe(Current, Id), boost::asio::detached);
  if (Chosen.empty())
    endRound(*Current);
}

void LinkMonitor::onProbesFailed(const std::shared_ptr<Round> &Current) {
  if (std::exchange(Current->m_IsExtended, true)) {
    endRound(*Current);
    return;
  }
  startProbes(Current, m_Reachability.chooseFurtherProbes(
                           m_Endpoints, Current->m_Tried, m_Random));
}

Task<void> LinkMonitor::probe(std::shared_ptr<Round> Current, EndpointId Id) {
  const auto Found = m_Endpoints.all().find(Id);
  const auto Remote =
      Found == m_Endpoints.all().end()
          ? std::nullopt
          : http::Address::parse(Found->second.m_Registration.m_Address);
  bool Connected = false;
  if (Remote) {
    const auto Failure = co_await m_Http.connect(*Remote, LinkProbeTimeout);
    Connected = !Failure;
  }
  --Current->m_Open;
  Current->m_AnyConnected |= Connected;
  // One connection is enough: the rest of the round need not be waited for.
  if (Current->m_AnyConnected)
    endRound(*Current);
  else if (Current->m_Open == 0)
    onProbesFailed(Current);
}

void LinkMonitor::endRound(Round &Current) {
  if (std::exchange(Current.m_Ended, true))
    return;
  m_Round.reset();
  const bool Changed = m_Reachability.onRoundEnded(
      Current.m_Tried.size(), Current.m_AnyConnected, now());
  m_Metrics.onLinkProbes(Current.m_AnyConnected ? "reached" : "failed");
  Current.m_Settled.notifyAll();
  if (!Changed)
    return;
  m_Metrics.setIsolated(isIsolated());
  log::warning(LogCategory, isIsolated() ? "links.lost" : "links.regained",
               {{"probes", Current.m_Tried.size()},
                {"endpoints", m_Endpoints.all().size()},
                {"silent_ms", silence().count()}});
  for (const auto &Listener : m_Listeners)
    Listener();
}

} // namespace sff::host
