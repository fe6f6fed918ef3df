#include "Host/LinkMonitor.h"

#include "Common/Logging/Log.h"
#include "Common/Time/Clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <set>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Routing;

/// Several times the delay of a connection between availability zones.
constexpr milliseconds LinkProbeTimeout{300};
constexpr milliseconds WatchInterval{100};
/// Lost paths are not looked for again within this time, so that a host that
/// has lost many opens few connections.
constexpr milliseconds SurveyValidity{1000};
/// Wake-up interval while health checks, which have a time limit, are open.
constexpr milliseconds ChecksWait{1000};

std::string_view toString(serving::CheckResult Result) {
  switch (Result) {
  case serving::CheckResult::Answered:
    return "answered";
  case serving::CheckResult::Silent:
    return "silent";
  case serving::CheckResult::Unclear:
    return "unclear";
  }
  return "";
}

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

/// Connections that are opened at the same time, all of which are waited for.
struct LinkMonitor::Survey {
  EndpointId m_Reason; ///< The endpoint that was found out of reach.
  std::set<EndpointId> m_Tried;
  std::set<EndpointId> m_Failed;
  std::size_t m_Open = 0;
  std::optional<Instant> m_EndedAt;
  timers::AsyncCondition m_Settled;

  /// Lost paths stay lost for a while; other results are not used again.
  bool isOutdated(Instant Now) const {
    return m_EndedAt &&
           (!hasLostPaths(m_Reason) || Now - *m_EndedAt > SurveyValidity);
  }
  bool hasLostPaths(const EndpointId &Id) const {
    return serving::EndpointReachability::hasLostPaths(
        m_Tried.size() - m_Tried.count(Id), failures(Id));
  }
  /// The number of failed connections to endpoints other than \p Id.
  std::size_t failures(const EndpointId &Id) const {
    return m_Failed.size() - m_Failed.count(Id);
  }
};

/// Health checks that are sent at the same time.
struct LinkMonitor::CheckRound {
  std::vector<EndpointId> m_Asked;
  std::size_t m_Open = 0;
  bool m_AnyAnswered = false;
  bool m_AnyBroken = false;
  timers::AsyncCondition m_Settled;

  serving::CheckResult result() const {
    if (m_AnyAnswered)
      return serving::CheckResult::Answered;
    return m_AnyBroken ? serving::CheckResult::Unclear
                       : serving::CheckResult::Silent;
  }
};

LinkMonitor::LinkMonitor(
    boost::asio::io_context &Context, http::Client &Http, HealthChecker &Health,
    const serving::EndpointDirectory &Endpoints,
    const std::shared_ptr<const serving::Catalogue> &Catalogue,
    HostMetrics &Metrics)
    : m_Context(Context), m_Http(Http), m_Health(Health),
      m_Endpoints(Endpoints), m_Catalogue(Catalogue), m_Metrics(Metrics),
      m_Random(std::random_device{}()) {}

void LinkMonitor::start() {
  boost::asio::co_spawn(m_Context, watch(), boost::asio::detached);
}

void LinkMonitor::onRequestSent(const EndpointId &Id) {
  m_Reachability.onRequestSent(Id, now());
}

void LinkMonitor::onData() {
  if (m_Reachability.onData(now()))
    onIsolationChanged(0, "answer");
}

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
    if (m_Reachability.needsChecks(now()))
      co_await checkLinks();
    if (m_Reachability.needsProbes(now()))
      co_await hasLinks();
    co_await m_Suspected.wait(WatchInterval);
  }
}

Task<bool> LinkMonitor::hasLinks() {
  // A connection would prove nothing.
  if (m_Reachability.isSilent())
    co_return false;
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
  const bool Connected = co_await connectTo(std::move(Id));
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
  if (Changed)
    onIsolationChanged(Current.m_Tried.size(),
                       Current.m_AnyConnected ? "connection" : "no_connection");
}

Task<bool> LinkMonitor::connectTo(EndpointId Id) {
  const serving::Endpoint *Known = m_Endpoints.find(Id);
  const auto Remote =
      Known ? http::Address::parse(Known->m_Registration.m_Address)
            : std::nullopt;
  if (!Remote)
    co_return false;
  const auto Failure = co_await m_Http.connect(*Remote, LinkProbeTimeout);
  co_return !Failure;
}

Task<bool> LinkMonitor::hasLostPaths(EndpointId Id) {
  auto Current = m_Survey;
  if (!Current || Current->isOutdated(now())) {
    Current = std::make_shared<Survey>();
    Current->m_Reason = Id;
    m_Survey = Current;
    boost::asio::co_spawn(m_Context, runSurvey(Current), boost::asio::detached);
  }
  while (!Current->m_EndedAt)
    co_await Current->m_Settled.wait(LinkProbeTimeout);
  co_return Current->hasLostPaths(Id);
}

Task<void> LinkMonitor::runSurvey(std::shared_ptr<Survey> Current) {
  co_await tryPaths(Current,
                    m_Reachability.chooseProbes(m_Endpoints, m_Random));
  // The crash of a single endpoint costs no further connections.
  if (Current->failures(Current->m_Reason) > 0) {
    const std::vector<EndpointId> Tried(Current->m_Tried.begin(),
                                        Current->m_Tried.end());
    auto Others =
        m_Reachability.chooseFurtherProbes(m_Endpoints, Tried, m_Random);
    co_await tryPaths(Current, std::move(Others));
  }
  Current->m_EndedAt = now();
  Current->m_Settled.notifyAll();
  const std::size_t Tried = Current->m_Tried.size();
  const std::size_t Failed = Current->m_Failed.size();
  if (serving::EndpointReachability::hasLostPaths(Tried, Failed))
    log::info(LogCategory, "links.partly_lost",
              {{"probes", Tried}, {"failed", Failed}});
}

Task<void> LinkMonitor::tryPaths(std::shared_ptr<Survey> Current,
                                 std::vector<EndpointId> Chosen) {
  Current->m_Open += Chosen.size();
  Current->m_Tried.insert(Chosen.begin(), Chosen.end());
  for (const EndpointId &Id : Chosen)
    boost::asio::co_spawn(m_Context, tryPath(Current, Id),
                          boost::asio::detached);
  while (Current->m_Open > 0)
    co_await Current->m_Settled.wait(LinkProbeTimeout);
}

Task<void> LinkMonitor::tryPath(std::shared_ptr<Survey> Current,
                                EndpointId Id) {
  const bool Connected = co_await connectTo(Id);
  --Current->m_Open;
  if (!Connected)
    Current->m_Failed.insert(Id);
  Current->m_Settled.notifyAll();
}

std::string LinkMonitor::healthPath(const serving::Endpoint &Endpoint) const {
  if (!m_Catalogue)
    return {};
  const serving::Service *Service =
      m_Catalogue->findService(Endpoint.m_Registration.m_Service);
  return Service ? Service->m_HealthPath : std::string();
}

Task<void> LinkMonitor::checkLinks() {
  const auto HasCheck = [this](const serving::Endpoint &Candidate) {
    return !healthPath(Candidate).empty();
  };
  const auto Current = std::make_shared<CheckRound>();
  auto Chosen = m_Reachability.chooseChecks(m_Endpoints, HasCheck, m_Random);
  co_await sendChecks(Current, std::move(Chosen));
  if (!Current->m_AnyAnswered) {
    Chosen = m_Reachability.chooseFurtherChecks(m_Endpoints, HasCheck,
                                                Current->m_Asked, m_Random);
    co_await sendChecks(Current, std::move(Chosen));
  }
  const serving::CheckResult Result = Current->result();
  m_Metrics.onLinkChecks(toString(Result), Current->m_Asked.size());
  const bool Changed =
      m_Reachability.onChecksEnded(Current->m_Asked.size(), Result, now());
  if (Changed)
    onIsolationChanged(Current->m_Asked.size(),
                       isIsolated() ? "no_answer" : "answer");
}

Task<void> LinkMonitor::sendChecks(std::shared_ptr<CheckRound> Current,
                                   std::vector<EndpointId> Chosen) {
  Current->m_Open += Chosen.size();
  Current->m_Asked.insert(Current->m_Asked.end(), Chosen.begin(), Chosen.end());
  for (const EndpointId &Id : Chosen)
    boost::asio::co_spawn(m_Context, sendCheck(Current, Id),
                          boost::asio::detached);
  while (Current->m_Open > 0 && !Current->m_AnyAnswered)
    co_await Current->m_Settled.wait(ChecksWait);
}

Task<void> LinkMonitor::sendCheck(std::shared_ptr<CheckRound> Current,
                                  EndpointId Id) {
  auto Status = HealthStatus::Broken;
  const serving::Endpoint *Asked = m_Endpoints.find(Id);
  const auto Remote =
      Asked ? http::Address::parse(Asked->m_Registration.m_Address)
            : std::nullopt;
  if (Remote) {
    const serving::RegistrationVersion Version =
        Asked->m_Registration.version();
    std::string Path = healthPath(*Asked);
    const HealthAnswer Answer =
        co_await m_Health.check(*Remote, Id, std::move(Path));
    Status = Answer.m_Status;
    if (m_NoticeListener)
      m_NoticeListener(Id, Version, Answer.m_Notice);
  }
  --Current->m_Open;
  Current->m_AnyBroken |= Status == HealthStatus::Broken;
  // An endpoint that refuses the check is reached, too.
  Current->m_AnyAnswered |=
      Status == HealthStatus::Serving || Status == HealthStatus::NotServing;
  Current->m_Settled.notifyAll();
}

void LinkMonitor::onIsolationChanged(std::size_t Probes,
                                     std::string_view Cause) {
  m_Metrics.setIsolated(isIsolated());
  log::warning(LogCategory, isIsolated() ? "links.lost" : "links.regained",
               {{"cause", Cause},
                {"probes", Probes},
                {"endpoints", m_Endpoints.all().size()},
                {"silent_ms", silence().count()}});
  for (const auto &Listener : m_Listeners)
    Listener();
}

} // namespace sff::host
