#include "Host/Host.h"

#include "Common/Process/Program.h"
#include "Common/Process/Signals.h"
#include "Net/Http/Body.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <malloc.h>
#include <sstream>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Process;

/// Time from the stop signal until the host takes no further requests. The load
/// balancer removes a host after two failed readiness checks, which are one
/// second apart.
constexpr milliseconds BalancerDrainTime{2500};
/// Part of the grace time that is reserved for the exit of the process.
constexpr milliseconds ExitMargin{600};
/// Time from the failure of requests without an answer to the end of the drain.
/// Longer than the probe of an endpoint (200 ms), which such a request may have
/// to wait for.
constexpr milliseconds LastAnswersTime{300};
/// Lets the kernel send the last responses before the process exits.
constexpr milliseconds ExitDelay{50};
/// Idle timeout of listeners that only the platform and other hosts can reach.
constexpr milliseconds InternalIdleTimeout{60000};
/// Added to the idle timeout that callers assume, so that a request sent just
/// before that timeout still finds the connection open.
constexpr milliseconds IdleTimeoutSlack{1000};
constexpr milliseconds LimitsCheckInterval{1000};
/// Idle pooled connections are closed after this time.
constexpr milliseconds PoolIdleTimeout{8000};

/// Requests of other hosts that are served at the same time. Bounds what hosts
/// that are cut off add to the load of this one.
constexpr std::size_t MaxRelayedRequests = 200;

template <typename Message>
std::optional<Message> parseMessage(const http::Request &Incoming) {
  return http::parseBody<Message>(Incoming.m_Body, log::Category::Peer,
                                  "peer.message_unreadable");
}

http::ServerLimits internalLimits() {
  http::ServerLimits Result;
  Result.m_IdleTimeout = InternalIdleTimeout;
  return Result;
}

http::ServerLimits callerLimits(const serving::CallerLimits &Limits) {
  http::ServerLimits Result;
  Result.m_MaxHeaderBytes = Limits.m_MaxHeaderBytes;
  Result.m_MaxBodyBytes = Limits.m_MaxBodyBytes;
  Result.m_HeaderTimeout = Limits.m_HeaderTimeout;
  Result.m_IdleTimeout = Limits.m_IdleTimeout + IdleTimeoutSlack;
  return Result;
}

/// Lets the allocator return large blocks to the system when they are freed. By
/// default it keeps them from the second one on, so that the process would
/// occupy more than its requests hold.
void returnFreedMemory() {
  constexpr int LargeBlockBytes = 64 * 1024;
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
}

http::Address addressOf(const settings::Settings &Values,
                        const Setting<std::string> &Name) {
  return *http::Address::parse(Values.get(Name));
}

} // namespace

Host::Host(const settings::Settings &Values,
           const log::ProcessIdentity &Identity,
           const std::string &SettingsPath, const PlatformFactory &MakePlatform)
    : m_Context(1), m_SettingsPath(SettingsPath),
      m_State(m_Context, Values, Identity, MakePlatform(m_Context, Values)),
      m_OrderLeases(m_State, Values.get(PeersSetting)),
      m_Notifier(m_State, Values.get(PeersSetting)),
      m_Swaps(m_State, m_OrderLeases, m_Notifier),
      m_Relay(m_State, Values.get(PeersSetting)),
      m_Demands(m_State, m_OrderLeases, m_Swaps, m_Relay),
      m_Streams(m_State, m_OrderLeases), m_Quotas(m_State, m_OrderLeases),
      m_Queries(m_State, m_OrderLeases),
      m_Follower(m_State, m_Streams, m_Queries), m_Guard(m_State),
      m_Callers(m_Context, m_Guard.limitCallers({}),
                [this](http::Request Incoming, http::Exchange &Caller) {
                  return handleCaller(std::move(Incoming), Caller);
                }),
      m_Readiness(m_Context, m_Guard.limitReadiness(internalLimits()),
                  [this](http::Request Incoming, http::Exchange &Caller) {
                    return handleReadiness(std::move(Incoming), Caller);
                  }),
      m_Peers(m_Context, m_Guard.limitPeers(internalLimits()),
              [this](http::Request Incoming, http::Exchange &Caller) {
                return handlePeer(std::move(Incoming), Caller);
              }),
      m_Metrics(m_Context, m_Guard.limitMetrics(internalLimits()),
                [this](http::Request Incoming, http::Exchange &Caller) {
                  return handleMetrics(std::move(Incoming), Caller);
                }),
      m_Signals(m_Context, SIGTERM, SIGINT, SIGHUP) {
  std::signal(SIGPIPE, SIG_IGN);
  m_Callers.setGuards(m_Guard.callerGuards());
  m_Peers.setGuards(m_Guard.peerGuards(
      [this](const http::Request &Head) { return isPeerRejected(Head); }));
  m_Readiness.setGuards(m_Guard.internalGuards());
  m_Metrics.setGuards(m_Guard.internalGuards());
  if (memoryOf(Values) > 0)
    returnFreedMemory();
}

void Host::run() {
  waitForSignal();
  process::releaseSignal(SIGHUP);
  m_Follower.start();
  m_OrderLeases.start();
  m_Swaps.start();
  m_Demands.start();
  m_Streams.start();
  m_Quotas.start();
  m_State.m_Links.start();
  m_State.spawn("follow_limits", followLimits());
  m_State.spawn("follow_crashes", m_State.m_Crashes.follow(m_Queries));
  m_State.spawn("publish_crashes", m_State.m_Crashes.publish());
  const settings::Settings &Values = m_State.m_Settings;
  m_Peers.listen(addressOf(Values, PeersSetting));
  m_Metrics.listen(addressOf(Values, MetricsSetting));
  m_Callers.listen(addressOf(Values, CallersSetting));
  m_Readiness.listen(addressOf(Values, ReadinessSetting));
  m_Context.run();
}

Task<void> Host::handleCaller(http::Request Incoming, http::Exchange &Caller) {
  if (!m_State.m_Stopping) {
    co_await serve(std::move(Incoming), Caller, RequestOrigin::Caller);
    co_return;
  }
  // The rest of the grace time may not be enough to finish the request.
  nlohmann::json Extra = {{"outcome", "not_run"}, {"reason", "shutting_down"}};
  http::Response Answer = http::makeProblem(503, "Service Unavailable",
                                            "the host stops", std::move(Extra));
  Answer.m_Headers.set("Retry-After", "0");
  co_await Caller.respond(std::move(Answer));
}

Task<void> Host::serve(http::Request Incoming, http::Exchange &Caller,
                       RequestOrigin Origin) {
  const auto Session = std::make_shared<RequestSession>(
      m_State, m_Demands, m_Streams, m_Quotas, m_Sessions, m_Relay, Origin,
      std::move(Incoming), Caller);
  m_ActiveSessions.insert(Session.get());
  const std::shared_ptr<void> Registered(
      nullptr, [&](void *) { m_ActiveSessions.erase(Session.get()); });
  co_await Session->run();
}

bool Host::declinesRelayed() const {
  return m_Draining || m_State.m_Links.isIsolated() ||
         m_RelayedRequests >= MaxRelayedRequests;
}

bool Host::isPeerRejected(const http::Request &Head) const {
  if (Head.m_Target.starts_with(RelayPrefix))
    return declinesRelayed();
  constexpr std::array MessagePaths = {
      DemandPath,   UsagePath, InventoryPath,   StreamNoticePath,
      LogQueryPath, QuotaPath, StreamQueryPath,
  };
  return std::ranges::find(MessagePaths, Head.path()) == MessagePaths.end();
}

Task<void> Host::handleRelayed(http::Request Incoming, http::Exchange &Caller) {
  const bool Declines = declinesRelayed() || Incoming.m_BodyUnread;
  m_State.m_Metrics.onRelayRequest(Declines ? "declined" : "taken");
  if (Declines) {
    http::Response Answer =
        http::makeProblem(503, "Service Unavailable", "not taken");
    Answer.m_Headers.set(RelayDeclinedHeader, "1");
    co_await Caller.respond(std::move(Answer));
    co_return;
  }
  ++m_RelayedRequests;
  const std::shared_ptr<void> Counted(nullptr,
                                      [this](void *) { --m_RelayedRequests; });
  Incoming.m_Target.erase(0, RelayPrefix.size());
  co_await serve(std::move(Incoming), Caller, RequestOrigin::Host);
}

bool Host::isReady() const {
  return !m_Draining && m_State.m_Catalogue && m_State.m_EndpointsKnown;
}

Task<void> Host::handleReadiness(http::Request, http::Exchange &Caller) {
  http::Response Answer;
  Answer.m_Status = isReady() ? 200 : 503;
  co_await Caller.respond(std::move(Answer));
}

Task<void> Host::handlePeer(http::Request Incoming, http::Exchange &Caller) {
  if (Incoming.m_Target.starts_with(RelayPrefix)) {
    co_await handleRelayed(std::move(Incoming), Caller);
    co_return;
  }
  nlohmann::json Answer;
  if (Incoming.path() == AlivePath) {
    Answer = Acknowledgement{};
  } else if (Incoming.path() == DemandPath) {
    if (auto Demand = parseMessage<ModelDemand>(Incoming))
      Answer = co_await m_Swaps.handleDemand(std::move(*Demand));
  } else if (Incoming.path() == UsagePath) {
    if (const auto Report = parseMessage<UsageReport>(Incoming))
      Answer = m_Swaps.onUsage(*Report);
  } else if (Incoming.path() == InventoryPath) {
    if (const auto Notice = parseMessage<InventoryNotice>(Incoming)) {
      m_Notifier.onNotice(*Notice);
      Answer = Acknowledgement{};
    }
  } else if (Incoming.path() == StreamNoticePath) {
    if (const auto Notice = parseMessage<StreamNotice>(Incoming)) {
      m_Streams.onNotice(*Notice);
      Answer = Acknowledgement{};
    }
  } else if (Incoming.path() == LogQueryPath) {
    if (const auto Query = parseMessage<LogQuery>(Incoming))
      Answer = co_await m_Queries.onQuery(*Query);
  } else if (Incoming.path() == QuotaPath) {
    if (const auto Report = parseMessage<QuotaReport>(Incoming))
      Answer = m_Quotas.onReport(*Report);
  } else if (Incoming.path() == StreamQueryPath) {
    if (const auto Query = parseMessage<StreamQuery>(Incoming))
      Answer = m_Streams.onQuery(*Query);
  }
  if (Answer.is_null())
    co_await Caller.respond(
        http::makeProblem(400, "Bad Request", "unknown or unreadable message"));
  else
    co_await Caller.respond(http::makeJsonResponse(200, Answer));
}

Task<void> Host::handleMetrics(http::Request, http::Exchange &Caller) {
  m_State.m_Metrics.setBeliefAges(m_State.catalogueAge(),
                                  m_State.endpointsAge());
  co_await Caller.respond(m_State.m_Metrics.answer());
}

Task<void> Host::followLimits() {
  std::int64_t Applied = -1;
  while (true) {
    co_await sleepFor(LimitsCheckInterval);
    m_State.m_Http.closeIdle(PoolIdleTimeout);
    if (!m_State.m_Catalogue || m_State.m_Catalogue->m_Version == Applied)
      continue;
    Applied = m_State.m_Catalogue->m_Version;
    m_Callers.setLimits(
        m_Guard.limitCallers(callerLimits(m_State.m_Catalogue->m_Limits)));
  }
}

void Host::waitForSignal() {
  m_Signals.async_wait(
      [this](const boost::system::error_code &Error, int Signal) {
        if (Error)
          return;
        if (Signal == SIGHUP) {
          reload();
          waitForSignal();
          return;
        }
        m_State.spawn("stop", stop());
      });
}

void Host::reload() {
  boost::leaf::try_handle_all(
      [this]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Values, hostSchema().load(m_SettingsPath));
        m_State.m_Settings = Values;
        log::info(LogCategory, "settings.reloaded");
        return {};
      },
      [](const findings::FindingList &Findings) {
        std::ostringstream Text;
        Text << Findings;
        log::error(LogCategory, "settings.rejected",
                   {{"findings", Text.str()}});
      },
      [] {
        log::error(LogCategory, "settings.rejected", {{"findings", "unread"}});
      });
}

Task<void> Host::stop() {
  const Instant Start = now();
  const Instant Deadline =
      Start + fromSeconds(m_State.m_Settings.get(StopGraceSetting)) -
      ExitMargin;
  m_Draining = true;
  m_State.m_StopBegunAt = Start;
  m_State.m_LastAnswersAt = Deadline - LastAnswersTime;
  log::info(LogCategory, "process.stopping",
            {{"requests", m_Callers.activeRequests()},
             {"connections", m_Callers.connections()}});
  for (RequestSession *Active : m_ActiveSessions)
    Active->onStop();
  // Responses now ask callers to use another connection. Requests on open
  // connections are still served until the load balancer has removed this host.
  m_Callers.beginDrain();
  // The store may be slow to confirm, and the drain must not begin late.
  m_State.spawn("release_orders", m_OrderLeases.release());
  co_await sleepFor(std::min(Start + BalancerDrainTime, Deadline) - now());
  // The load balancer opens no new connections. Requests that arrive on
  // kept-alive connections from now on could not be finished, so idle
  // connections are closed.
  m_State.m_Stopping = true;
  log::info(LogCategory, "process.draining",
            {{"requests", m_Callers.activeRequests()},
             {"connections", m_Callers.connections()},
             {"after_ms", toMilliseconds(now() - Start).count()}});
  co_await m_Callers.drain(Deadline);
  while (m_RelayedRequests > 0 && now() < Deadline)
    co_await sleepFor(ExitDelay);
  log::info(LogCategory, "process.drained",
            {{"requests", m_Callers.activeRequests()},
             {"connections", m_Callers.connections()},
             {"took_ms", toMilliseconds(now() - Start).count()}});
  co_await sleepFor(ExitDelay);
  m_Context.stop();
}

} // namespace sff::host
