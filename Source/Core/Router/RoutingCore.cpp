#include "Router/RoutingCore.h"

#include "Core/Messages/CommonMessages.h"
#include "Router/RouterSettings.h"

namespace sff::router {

namespace {

// Each open request has at most a few tasks in the queue at a time.
constexpr std::size_t RingCapacity = 16384;
constexpr std::size_t ParallelPeerRequests = 16;
constexpr milliseconds StatsPeriod{100};
// Keeps a reply below the message size that peers accept.
constexpr std::int64_t MaxEventsPerReply = 2000;

ClusterView::Options clusterViewOptions(const settings::Settings &Values,
                                        const log::ProcessIdentity &Identity) {
  return {HostId(Identity.m_Host), ZoneId(Identity.m_Zone),
          Values.get(EndpointListPeriodSetting)};
}

CreditBorrower::Options
creditBorrowerOptions(const settings::Settings &Values,
                      const log::ProcessIdentity &Identity) {
  return {IncarnationId(Identity.m_Incarnation), HostId(Identity.m_Host),
          Values.get(BorrowWaitSetting), Values.get(OwnerRetrySetting),
          Values.get(CreditIdleSetting)};
}

RequestScheduler::Options schedulerOptions(const settings::Settings &Values) {
  return {Values.get(MaxBorrowSetting), Values.get(OwnerRetrySetting),
          Values.get(NoCreditTimeoutSetting), Values.get(EndpointDownSetting),
          Values.get(QuarantinePeriodSetting)};
}

IntentService::Options
intentServiceOptions(const settings::Settings &Values,
                     const log::ProcessIdentity &Identity) {
  IntentService::Options Result;
  Result.m_Self = IncarnationId(Identity.m_Incarnation);
  Result.m_PeerAddress = Values.get(PeerListenSetting);
  Result.m_RetentionOffsets =
      static_cast<Offset>(Values.get(IntentRetentionSetting));
  Result.m_Wait = Values.get(IntentWaitSetting);
  return Result;
}

} // namespace

RoutingCore::RoutingCore(const settings::Settings &Values,
                         const log::ProcessIdentity &Identity)
    : m_Loop("decisions", RingCapacity), m_Peers(m_Loop),
      m_Relays(m_Loop, Values.get(RelaysSetting)),
      m_View(m_Loop, m_Relays, m_Peers, clusterViewOptions(Values, Identity)),
      m_Crashes(m_View, m_Peers, Values.get(PeerListenSetting),
                static_cast<std::size_t>(Values.get(QuarantineSizeSetting)),
                Values.get(QuarantinePeriodSetting)),
      m_Credits(
          m_Loop, m_View, m_Peers, creditBorrowerOptions(Values, Identity),
          [this](const EntryName &Entry) { m_Scheduler.schedule(Entry); }),
      m_Scheduler(m_Loop, m_View, m_Credits, m_Registry, m_Crashes.quarantine(),
                  schedulerOptions(Values)),
      m_Outcomes(static_cast<std::size_t>(Values.get(KeptAnswersSetting)),
                 static_cast<std::size_t>(Values.get(KeptAnswerBytesSetting))),
      m_Intents(m_Loop, m_Relays, m_Peers, m_Outcomes,
                intentServiceOptions(Values, Identity)),
      m_Loads(m_Loop, m_View, m_Registry, Values.get(LoadPeriodSetting)),
      m_Dispatcher(m_Loop), m_PeerAddress(Values.get(PeerListenSetting)),
      m_Timers(m_Loop.context().get_executor()) {
  registerHandlers();
}

RoutingCore::~RoutingCore() { stop(); }

void RoutingCore::registerHandlers() {
  m_Dispatcher.on<messages::FetchEvents>(
      [](const messages::FetchEvents &Request, auto Send) {
        const auto Limit =
            std::clamp<std::int64_t>(Request.m_Limit, 0, MaxEventsPerReply);
        Send({log::recorder().eventsAfter(Request.m_After,
                                          static_cast<std::size_t>(Limit))});
      });
  m_Dispatcher.on<messages::FetchOutcome>(
      [this](const messages::FetchOutcome &Request, auto Send) {
        Send(m_Outcomes.find(Request.m_KeyHash));
      });
  m_Dispatcher.on<messages::CrashNotice>(
      [this](const messages::CrashNotice &Request, auto Send) {
        m_Crashes.onCrashNotice(Request);
        Send({});
      });
}

void RoutingCore::start() {
  m_Dispatcher.start(m_PeerAddress, ParallelPeerRequests);
  m_Loop.tryPost([this] {
    m_View.start();
    m_Credits.start();
    m_Scheduler.start();
    m_Intents.start();
    m_Loads.start();
    m_StatsTimer = m_Timers.every(StatsPeriod, [this] { refreshStats(); });
  });
}

void RoutingCore::stop() {
  m_Dispatcher.stop();
  m_Loop.stop();
}

void RoutingCore::refreshStats() {
  m_Stats.m_RelayReached = m_View.hasReachedRelay();
  m_Stats.m_LogReachable = m_Intents.logReachable();
  m_Stats.m_Waiting = static_cast<std::int64_t>(m_Scheduler.waiting());
  m_Stats.m_Running = m_Scheduler.running();
  m_Stats.m_AppliedOffset = m_View.state().appliedOffset();
}

} // namespace sff::router
