#include "Host/DemandRouter.h"

#include "Host/PeerCall.h"

#include <algorithm>
#include <limits>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Loading;

/// Added to the time within which the holder is asked to respond.
constexpr milliseconds ResponseTimeoutSlack{300};
/// Longest wait of one call to a holder. Bounded because the holder may fail
/// during the call.
constexpr milliseconds MaxDemandWait{3000};
/// The interval between usage reports grows with the number of hosts, so that
/// the rate of reports to a holder is bounded.
constexpr milliseconds UsageReportInterval{1000};
constexpr milliseconds UsageReportIntervalPerHost{50};
/// The work of endpoints is reported for so long after the last pressure.
constexpr milliseconds WorkReportTime{10000};
constexpr milliseconds ReplicaCheckInterval{2000};
/// A holder processes its queue a few milliseconds after a demand arrives, so
/// the demand for a replica must stay queued for longer than that.
constexpr milliseconds ReplicaDemandWait{100};
constexpr milliseconds UsageTimeout{1000};
/// Like MaxDemandWait, for all zones but the last candidate.
constexpr milliseconds MaxDemandWaitWithAlternatives{1200};
/// Time beyond the expected end of a load after which the host stops waiting
/// for that zone.
constexpr milliseconds MaxLoadDelay{1500};
/// Delay before a failed demand may be sent again.
constexpr milliseconds DemandRetryDelay{150};
/// Requests per second at this host above which a model needs a replica in the
/// host's own zone.
constexpr double MinReplicaRequestRate = 1.0;

} // namespace

void DemandRouter::start() {
  m_State.spawn("report_usage", reportUsage());
  m_State.spawn("wish_replicas", requestReplicas());
}

void DemandRouter::onRequest(const serving::ModelName &Name) {
  m_State.m_OwnDemand.add(Name.m_Model, 1, now());
  ++m_Usage[Name.m_Model];
  if (!Name.m_Adapter.empty())
    ++m_Usage[Name.str()];
  if (m_Pressure.onRequest(now()))
    m_ReportDue.notifyAll();
}

void DemandRouter::onSent(const serving::ModelName &Name,
                          const EndpointId &Endpoint) {
  const serving::Endpoint *Target = m_State.m_Endpoints.find(Endpoint);
  if (Name.m_Model.empty() || !Target || Target->m_Registration.m_Slots <= 0)
    return;
  if (m_State.m_Chooser.loads().estimate(Endpoint, now()) >
      Target->m_Registration.m_Slots)
    onFull(Name);
}

void DemandRouter::onFull(const serving::ModelName &Name) {
  if (Name.m_Model.empty())
    return;
  m_LastPressureAt = now();
  if (m_Pressure.onSign(Name.m_Model, now()))
    m_ReportDue.notifyAll();
}

void DemandRouter::onCompleted(const std::string &Route,
                               const EndpointId &Endpoint, Instant SentAt) {
  // A request that waited for a slot says nothing of the endpoint's speed.
  const serving::Endpoint *Target = m_State.m_Endpoints.find(Endpoint);
  if (Target && m_State.m_Chooser.loads().estimate(Endpoint, now()) <=
                    Target->m_Registration.m_Slots)
    m_Work.onCompleted(Route, Endpoint, now() - SentAt);
}

void DemandRouter::adjustWaiting(const serving::ModelName &Name, int Change) {
  const auto Position = m_Waiting.try_emplace(Name, 0).first;
  Position->second += Change;
  if (Position->second <= 0)
    m_Waiting.erase(Position);
}

void DemandRouter::onModelMissing(const serving::ModelName &Name,
                                  const EndpointId &Endpoint) {
  m_State.m_Endpoints.overrideAsNotLoaded(Endpoint, Name, now());
  m_MissingAt[Name].insert(Endpoint);
}

void DemandRouter::requestModel(const std::string &Service,
                                const serving::ModelName &Name,
                                std::int64_t Rank, Instant Until) {
  if (m_Requested.insert(Name).second)
    m_State.spawn("obtain_model", obtainModel(Service, Name, Rank, Until));
}

double DemandRouter::loadSecondsAt(const serving::Endpoint &Item,
                                   const serving::ModelName &Name,
                                   const serving::ModelSpec &Model) const {
  if (Item.inventory().find(Name.m_Model))
    return 0;
  return serving::loadSeconds(
      Model, serving::locationOf(Item.inventory(), Name.m_Model));
}

std::vector<DemandRouter::ZoneCandidate>
DemandRouter::zonesFor(const std::string &Service,
                       const serving::ModelName &Name) const {
  const serving::ModelSpec *Model =
      m_State.m_Catalogue->findModel(Service, Name.m_Model);
  std::map<ZoneId, double> LoadSecondsByZone;
  auto Endpoints = m_State.m_Endpoints.serving(Service);
  m_State.preferUnlimited(Endpoints);
  if (Model)
    for (const serving::Endpoint *Item : Endpoints) {
      const double LoadSeconds = loadSecondsAt(*Item, Name, *Model);
      const auto [Position, Inserted] = LoadSecondsByZone.try_emplace(
          Item->m_Registration.m_Zone, LoadSeconds);
      Position->second = std::min(Position->second, LoadSeconds);
    }
  std::vector<ZoneCandidate> Result;
  // If any zone can load the model from local weights, zones that would have to
  // load it from the weight store are excluded.
  if (Model) {
    const auto Nearest = std::ranges::min_element(
        LoadSecondsByZone, {}, [](const auto &Item) { return Item.second; });
    if (Nearest != LoadSecondsByZone.end() &&
        Nearest->second < Model->m_RemoteLoadSeconds)
      std::erase_if(LoadSecondsByZone, [Model](const auto &Item) {
        return Item.second >= Model->m_RemoteLoadSeconds;
      });
  }
  Result.reserve(LoadSecondsByZone.size());
  // The order is the same on all hosts, so that they do not load the model in
  // several zones at once.
  for (const auto &[Zone, LoadSeconds] : LoadSecondsByZone)
    Result.push_back(
        {Zone, LoadSeconds, std::hash<std::string>()(Zone.str() + Name.str())});
  std::ranges::sort(Result,
                    [](const ZoneCandidate &Left, const ZoneCandidate &Right) {
                      return std::tie(Left.m_LoadSeconds, Left.m_TieBreak) <
                             std::tie(Right.m_LoadSeconds, Right.m_TieBreak);
                    });
  return Result;
}

Task<DemandResponse> DemandRouter::sendDemand(ModelDemand Demand) {
  const auto Holder = co_await m_OrderLeases.findHolder(Demand.m_Zone);
  if (!Holder)
    co_return DemandResponse{DemandStatus::NotHolder, {}, 0};
  if (*Holder == m_OrderLeases.member())
    co_return co_await m_Swaps.handleDemand(Demand);
  const auto Answer = co_await callPeer<DemandResponse>(
      m_Peers, *Holder, DemandPath, Demand,
      milliseconds(Demand.m_WaitMs) + ResponseTimeoutSlack);
  if (!Answer || Answer->m_Status == DemandStatus::NotHolder)
    m_OrderLeases.invalidateHolder(Demand.m_Zone);
  co_return Answer.value_or(DemandResponse{DemandStatus::NotHolder, {}, 0});
}

std::optional<Instant>
DemandRouter::expectedReadyAt(const std::string &Model) const {
  const auto Found = m_ReadyAt.find(Model);
  if (Found == m_ReadyAt.end())
    return std::nullopt;
  return Found->second;
}

void DemandRouter::setExpectedReadyAt(const std::string &Model,
                                      Instant ReadyAt) {
  m_ReadyAt[Model] = ReadyAt;
  m_State.m_Changed.notifyAll();
}

Task<DemandResponse> DemandRouter::sendDemandToZone(ModelDemand Demand,
                                                    Duration Limit,
                                                    Instant Until) {
  Demand.m_WantsEstimate = true;
  Demand.m_WaitMs = toMilliseconds(std::min(Until - now(), Limit)).count();
  const DemandResponse Answer = co_await sendDemand(Demand);
  if (Answer.m_Status != DemandStatus::Loading)
    co_return Answer;
  const Instant ReadyAt = now() + milliseconds(Answer.m_ReadyInMs);
  setExpectedReadyAt(Demand.m_Model, ReadyAt);
  // Wait for this zone: another one would load the model from the same weight
  // store a second time.
  co_return co_await waitForZone(std::move(Demand),
                                 std::min(Until, ReadyAt + MaxLoadDelay));
}

Task<DemandResponse> DemandRouter::waitForZone(ModelDemand Demand,
                                               Instant Until) {
  Demand.m_WantsEstimate = false;
  DemandResponse Answer;
  while (now() < Until && Answer.m_Status == DemandStatus::Busy) {
    Demand.m_WaitMs =
        toMilliseconds(std::min<Duration>(Until - now(), MaxDemandWait))
            .count();
    Answer = co_await sendDemand(Demand);
  }
  co_return Answer;
}

Task<DemandResponse> DemandRouter::sendDemandToZones(
    ModelDemand Demand, std::span<const ZoneCandidate> Zones, Instant Until) {
  DemandResponse Answer;
  ZoneId EarliestZone;
  std::int64_t EarliestReadyMs = std::numeric_limits<std::int64_t>::max();
  for (const ZoneCandidate &Candidate : Zones) {
    if (now() >= Until)
      break;
    Demand.m_Zone = Candidate.m_Zone;
    const Duration Limit = &Candidate == &Zones.back()
                               ? MaxDemandWait
                               : MaxDemandWaitWithAlternatives;
    const Instant SentAt = now();
    Answer = co_await sendDemandToZone(Demand, Limit, Until);
    log::entry(LogCategory, "demand.answered", Demand.m_Model,
               {{"zone", Candidate.m_Zone},
                {"adapter", Demand.m_Adapter},
                {"status", Answer.m_Status},
                {"ready_in_ms", Answer.m_ReadyInMs},
                {"endpoint", Answer.m_Endpoint},
                {"took_ms", toMilliseconds(now() - SentAt).count()}});
    if (Answer.m_Status == DemandStatus::Ready)
      co_return Answer;
    if (Answer.m_ReadyInMs > 0 && Answer.m_ReadyInMs < EarliestReadyMs) {
      EarliestZone = Candidate.m_Zone;
      EarliestReadyMs = Answer.m_ReadyInMs;
    }
  }
  if (EarliestZone.str().empty() || now() >= Until)
    co_return Answer;
  // All zones are busy loading other models, so wait for the zone that is
  // expected to finish first.
  setExpectedReadyAt(Demand.m_Model, now() + milliseconds(EarliestReadyMs));
  Demand.m_Zone = EarliestZone;
  co_return co_await waitForZone(std::move(Demand), Until);
}

Task<void> DemandRouter::obtainModel(std::string Service,
                                     serving::ModelName Name, std::int64_t Rank,
                                     Instant Until) {
  const auto Zones = zonesFor(Service, Name);
  const auto *Model = m_State.m_Catalogue->findModel(Service, Name.m_Model);
  ModelDemand Demand;
  Demand.m_Service = Service;
  Demand.m_Model = Name.m_Model;
  Demand.m_Adapter = Name.m_Adapter;
  Demand.m_Priority = Rank;
  if (const auto MissingAt = m_MissingAt.extract(Name))
    Demand.m_ReportedMissingBy.assign(MissingAt.mapped().begin(),
                                      MissingAt.mapped().end());
  Demand.m_VoidRegistrations = m_State.m_Endpoints.voidRegistrations(Service);
  Demand.m_LeavingEndpoints = m_State.m_Endpoints.departures(Service);
  if (const auto Found = m_Waiting.find(Name); Found != m_Waiting.end())
    Demand.m_Waiting = Found->second;
  Demand.m_MayLoadRemote =
      Model && !Zones.empty() &&
      Zones.front().m_LoadSeconds >= Model->m_RemoteLoadSeconds;
  const DemandResponse Answer =
      co_await sendDemandToZones(std::move(Demand), Zones, Until);
  if (Answer.m_Status == DemandStatus::Ready) {
    m_State.m_Endpoints.overrideAsLoaded(Answer.m_Endpoint, {Name.m_Model, {}},
                                         now());
    if (!Name.m_Adapter.empty())
      m_State.m_Endpoints.overrideAsLoaded(Answer.m_Endpoint, Name, now());
  }
  // A holder that does not know the limit of an endpoint, or that it is out of
  // use, answers at once that it has the model.
  if (Answer.m_Status != DemandStatus::Ready ||
      !m_State.m_RateLimits.allows(Answer.m_Endpoint, now()) ||
      !m_State.isInUse(Answer.m_Endpoint))
    co_await sleepFor(DemandRetryDelay);
  m_ReadyAt.erase(Name.m_Model);
  m_Requested.erase(Name);
  m_State.m_Changed.notifyAll();
}

Task<bool> DemandRouter::waitForReport(Instant LastReportAt) {
  const Instant Regular =
      LastReportAt +
      std::max<Duration>(UsageReportInterval,
                         UsageReportIntervalPerHost *
                             static_cast<std::int64_t>(m_State.hosts()));
  while (true) {
    const auto Early = m_Pressure.reportDue(m_State.hosts());
    const Instant Due = std::min(Regular, Early.value_or(Regular));
    if (now() >= Due)
      co_return Due < Regular;
    if (Early)
      co_await sleepFor(Due - now());
    else
      co_await m_ReportDue.wait(Due - now());
  }
}

UsageReport DemandRouter::takeUsage(Instant LastReportAt) {
  UsageReport Report;
  Report.m_Host = HostId(m_OrderLeases.member());
  Report.m_Requests = std::exchange(m_Usage, {});
  Report.m_Crashes = m_State.m_Crashes.recentMessages();
  Report.m_Pressure = m_Pressure.take(now());
  Report.m_IntervalMs = toMilliseconds(now() - LastReportAt).count();
  auto Work = m_Work.take();
  if (m_LastPressureAt != Instant() &&
      now() - m_LastPressureAt < WorkReportTime)
    Report.m_Work = std::move(Work);
  return Report;
}

Task<void> DemandRouter::reportUsage() {
  Instant LastReportAt = now();
  while (true) {
    const bool IsEarly = co_await waitForReport(LastReportAt);
    const UsageReport Report = takeUsage(LastReportAt);
    LastReportAt = now();
    std::set<ZoneId> Zones;
    for (const auto &[Id, Endpoint] : m_State.m_Endpoints.all())
      if (!Endpoint.inventory().m_Models.empty())
        Zones.insert(Endpoint.m_Registration.m_Zone);
    for (const ZoneId &Zone : Zones)
      m_State.spawn("send_usage", sendUsage(Zone, Report, IsEarly));
  }
}

Task<void> DemandRouter::sendUsage(ZoneId Zone, UsageReport Report,
                                   bool IsEarly) {
  std::optional<std::string> Holder = m_OrderLeases.knownHolder(Zone);
  if (!Holder && !IsEarly)
    Holder = co_await m_OrderLeases.findHolder(Zone);
  if (!Holder)
    co_return;
  std::optional<UsageResponse> Answer;
  if (*Holder == m_OrderLeases.member())
    Answer = m_Swaps.onUsage(Report);
  else
    Answer = co_await callPeer<UsageResponse>(m_Peers, *Holder, UsagePath,
                                              Report, UsageTimeout);
  if (!Answer) {
    m_OrderLeases.invalidateHolder(Zone);
    co_return;
  }
  m_State.m_Crashes.onMessages(Answer->m_Crashes);
  m_Relay.onNamed(Answer->m_Peers);
  // A new holder has seen reports of few hosts, so the largest count is used.
  m_HostsByZone[Zone] = Answer->m_Hosts;
  std::int64_t Hosts = 1;
  for (const auto &[Known, Count] : m_HostsByZone)
    Hosts = std::max(Hosts, Count);
  m_State.setHosts(static_cast<std::size_t>(Hosts));
}

std::vector<ModelDemand> DemandRouter::missingReplicas() const {
  std::vector<ModelDemand> Result;
  const auto Catalogue = m_State.m_Catalogue;
  if (!Catalogue)
    return Result;
  for (const auto &[ServiceName, Service] : Catalogue->m_Services) {
    if (!Service.m_Engine)
      continue;
    const auto Serving = m_State.m_Endpoints.serving(ServiceName);
    for (const auto &[Name, Model] : Service.m_Engine->m_Models) {
      if (m_State.m_OwnDemand.rate(Name, now()) < MinReplicaRequestRate)
        continue;
      const bool InZone = std::ranges::any_of(
          Serving, [this, &Name = Name](const serving::Endpoint *Item) {
            return Item->m_Registration.m_Zone == m_State.m_Zone &&
                   Item->inventory().find(Name);
          });
      if (InZone)
        continue;
      ModelDemand Request;
      Request.m_Zone = m_State.m_Zone;
      Request.m_Service = ServiceName;
      Request.m_Model = Name;
      Request.m_Replica = true;
      Request.m_WaitMs = ReplicaDemandWait.count();
      Result.push_back(std::move(Request));
    }
  }
  return Result;
}

Task<void> DemandRouter::requestReplicas() {
  while (true) {
    co_await sleepFor(ReplicaCheckInterval);
    // missingReplicas() returns a complete list, because the catalogue and the
    // endpoints may change while a call is suspended.
    for (const ModelDemand &Request : missingReplicas()) {
      // The holder only has to start the load; the endpoint directory shows its
      // result.
      const DemandResponse Answer = co_await sendDemand(Request);
      log::entry(LogCategory, "replica.wished", Request.m_Model,
                 {{"status", Answer.m_Status}});
    }
  }
}

} // namespace sff::host
