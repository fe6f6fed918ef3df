#include "Host/SwapService.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Loading;

/// Most hosts that one answer names.
constexpr std::size_t MaxNamedPeers = 16;

/// Short enough to detect a sudden increase in demand.
constexpr milliseconds RecentDemandWindow{4000};
/// A model with a request or load within this time is assumed to have running
/// requests.
constexpr milliseconds InUseWindow{1000};
/// Events within this time are handled by one pass over the demand queue, whose
/// cost grows with its length.
constexpr milliseconds PlanningDelay{5};
/// Time after the arrival of a demand by which it is known whether a load
/// starts for it.
constexpr milliseconds PlanningTime{20};
/// Interval at which waiting demands are checked, besides the end of each
/// operation.
constexpr milliseconds RecheckInterval{100};
/// A load that takes longer than this multiple of its expected time means that
/// the weight store is busy.
constexpr double SlowLoadFactor = 1.5;
/// Requests per second that each existing replica is assumed to serve when the
/// demand is seeded.
constexpr double AssumedReplicaRate = 2;
/// Longest waiting time, in seconds, that a further replica may cause to
/// callers of other models.
constexpr double MaxReplicaEvictionCost = 2.5;
/// Longest waiting time, in seconds, that evictions may cause per unit of the
/// demand's urgency.
constexpr double EvictionCostPerUrgency = 4;
/// Number of concurrent loads, over all zones, that the weight store serves at
/// full speed. Beyond this number it slows down all of them.
constexpr double MaxParallelRemoteLoads = 4;

} // namespace

SwapService::SwapService(HostState &State, OrderLeases &Leases,
                         InventoryNotifier &Notifier)
    : m_State(State), m_OrderLeases(Leases), m_Notifier(Notifier),
      m_Demand(serving::DemandRates::DefaultTimeConstant),
      m_RecentDemand(RecentDemandWindow) {}

void SwapService::start() { m_State.spawn("watch_load", watchLoad()); }

void SwapService::seedDemandFromReplicas() {
  if (std::exchange(m_DemandSeeded, true))
    return;
  std::map<std::string, int> Replicas;
  for (const auto &[Id, Known] : m_State.m_Endpoints.all())
    for (const serving::ResidentModel &Model : Known.inventory().m_Models)
      ++Replicas[Model.m_Name];
  for (const auto &[Model, Count] : Replicas)
    if (Count > 1)
      m_Demand.add(Model,
                   Count * AssumedReplicaRate *
                       toSeconds(serving::DemandRates::DefaultTimeConstant),
                   now());
}

void SwapService::publish(const EndpointId &Id, const serving::ModelName &Name,
                          bool Held) {
  m_Notifier.publish({Id, Name.m_Model, Name.m_Adapter, Held}, m_Fleet.hosts());
}

void SwapService::removeUnknownNames(
    std::map<std::string, double> &ByName) const {
  const auto Catalogue = m_State.m_Catalogue;
  std::erase_if(ByName, [&Catalogue](const auto &Item) {
    return !Catalogue ||
           !Catalogue->knows(serving::ModelName::parse(Item.first));
  });
}

UsageResponse SwapService::onUsage(UsageReport Report) {
  seedDemandFromReplicas();
  removeUnknownNames(Report.m_Requests);
  removeUnknownNames(Report.m_Pressure);
  m_Fleet.onReport(Report.m_Host, now());
  if (!Report.m_Requests.empty())
    m_Knowledge.onReport(Report.m_Host, now());
  m_Pressure.onReport(
      {Report.m_Host, Report.m_Pressure, Report.m_Requests,
       milliseconds(std::max<std::int64_t>(0, Report.m_IntervalMs))},
      now());
  for (const auto &[Endpoint, Work] : Report.m_Work)
    if (m_State.m_Endpoints.find(Endpoint))
      m_Speeds.add(Endpoint, Work, now());
  for (const auto &[Model, Requests] : Report.m_Requests) {
    m_Demand.add(Model, Requests, now());
    m_RecentDemand.add(Model, Requests, now());
  }
  m_State.m_Crashes.onMessages(Report.m_Crashes);
  if (!Report.m_Pressure.empty())
    schedulePending();
  return {static_cast<std::int64_t>(m_Fleet.count(now())),
          m_State.m_Crashes.recentMessages(),
          m_Fleet.sample(MaxNamedPeers, m_Random)};
}

std::vector<const serving::Endpoint *>
SwapService::endpointsOf(const serving::DemandKey &Key) const {
  auto List = m_State.m_Endpoints.serving(Key.m_Service);
  std::erase_if(List, [&Key](const serving::Endpoint *Item) {
    return Item->m_Registration.m_Zone != Key.m_Zone;
  });
  m_State.preferUnlimited(List);
  return List;
}

std::optional<EndpointId>
SwapService::findHolding(const serving::DemandKey &Key) const {
  for (const serving::Endpoint *Item : endpointsOf(Key))
    if (Item->inventory().holds(Key.m_Name) &&
        !m_State.m_Chooser.health().isSuspended(Item->id(), now()))
      return Item->id();
  return std::nullopt;
}

void SwapService::applyMissingModels(const ModelDemand &Demand) {
  for (const EndpointId &Id : Demand.m_ReportedMissingBy) {
    ManagedEndpoint &Known = m_ManagedEndpoints[Id];
    // The refusal may be older than an order that has just been executed.
    if (Known.m_Busy || now() - Known.m_LastOrderAt < ReportLag)
      continue;
    Known.m_Report.reset();
    publish(Id, {Demand.m_Model, Demand.m_Adapter}, false);
  }
}

std::optional<Instant>
SwapService::loadingUntil(const std::string &Model) const {
  for (const auto &[Id, Known] : m_ManagedEndpoints)
    if (Known.m_Busy && Known.m_Loading == Model)
      return Known.m_ReadyAt;
  return std::nullopt;
}

Task<DemandResponse> SwapService::handleDemand(ModelDemand Demand) {
  const Instant Until = now() + milliseconds(Demand.m_WaitMs);
  const Instant Planned = now() + PlanningTime;
  seedDemandFromReplicas();
  m_Knowledge.onDemand(now());
  const serving::DemandKey Key{
      Demand.m_Zone, Demand.m_Service, {Demand.m_Model, Demand.m_Adapter}};
  const auto Waiting =
      m_Queue.add({Key, Demand.m_Waiting, Demand.m_Priority, now(),
                   Demand.m_MayLoadRemote, Demand.m_Replica});
  const std::shared_ptr<void> Remove(
      nullptr, [this, Waiting](void *) { m_Queue.remove(Waiting); });
  applyMissingModels(Demand);
  for (const auto &[Id, Version] : Demand.m_VoidRegistrations)
    m_State.onAddressReused(Id, Version);
  EndpointNotice Leaving;
  Leaving.m_IsLeaving = true;
  for (const auto &[Id, Version] : Demand.m_LeavingEndpoints)
    m_State.onNotice(Id, Version, Leaving, "demand");
  schedulePending();
  while (true) {
    if (const auto Answer = currentResponse(Demand, Key, now() >= Planned))
      co_return *Answer;
    if (now() >= Until)
      co_return DemandResponse{DemandStatus::Busy, {}, 0};
    const Instant Next = Demand.m_WantsEstimate && now() < Planned
                             ? Planned
                             : now() + RecheckInterval;
    co_await m_OperationFinished.wait(std::min(Until, Next) - now());
  }
}

std::optional<DemandResponse>
SwapService::currentResponse(const ModelDemand &Demand,
                             const serving::DemandKey &Key,
                             bool Planned) const {
  if (!m_OrderLeases.tokenForOrder(Key.m_Zone))
    return DemandResponse{DemandStatus::NotHolder, {}, 0};
  if (const auto Holding = findHolding(Key))
    return DemandResponse{DemandStatus::Ready, *Holding, 0};
  const auto Catalogue = m_State.m_Catalogue;
  const serving::ModelSpec *Model =
      Catalogue ? Catalogue->findModel(Key.m_Service, Key.m_Name.m_Model)
                : nullptr;
  if (!Model || (!Key.m_Name.m_Adapter.empty() &&
                 !Model->hasAdapter(Key.m_Name.m_Adapter)))
    return DemandResponse{DemandStatus::Impossible, {}, 0};
  if (!Demand.m_WantsEstimate)
    return std::nullopt;
  if (const auto ReadyAt = loadingUntil(Model->m_Name))
    return DemandResponse{
        DemandStatus::Loading, {}, toMilliseconds(*ReadyAt - now()).count()};
  if (Planned && Demand.m_MayLoadRemote)
    return DemandResponse{DemandStatus::Busy,
                          {},
                          toMilliseconds(minRemoteLoadTime(*Model)).count()};
  return std::nullopt;
}

void SwapService::schedulePending() {
  if (std::exchange(m_PendingScheduled, true))
    return;
  m_State.spawn("start_pending", startPendingDelayed());
}

Task<void> SwapService::startPendingDelayed() {
  co_await sleepFor(PlanningDelay);
  m_PendingScheduled = false;
  startPending();
  // Poll while demands are queued, because endpoints also become free and rates
  // change without an event here.
  if (m_Queue.size() > 0 && !m_PendingScheduled) {
    m_PendingScheduled = true;
    co_await sleepFor(RecheckInterval);
    m_PendingScheduled = false;
    schedulePending();
  }
}

void SwapService::countReplicas() {
  m_Replicas.clear();
  for (const auto &[Id, Known] : m_State.m_Endpoints.all()) {
    if (!Known.acceptsRequests())
      continue;
    for (const serving::ResidentModel &Model : Known.inventory().m_Models)
      ++m_Replicas[Model.m_Name];
  }
}

bool SwapService::anyEndpointFree(const serving::DemandKey &Key) const {
  return std::ranges::any_of(
      endpointsOf(Key), [this](const serving::Endpoint *Item) {
        const auto Found = m_ManagedEndpoints.find(Item->id());
        return Found == m_ManagedEndpoints.end() || !Found->second.m_Busy;
      });
}

void SwapService::startPending() {
  const auto Catalogue = m_State.m_Catalogue;
  if (!Catalogue)
    return;
  countReplicas();
  replicateOverloadedModels();
  std::set<ZoneId> FullZones;
  for (const serving::PendingDemand &Item : m_Queue.ordered(now())) {
    const serving::DemandKey &Key = Item.m_Key;
    const serving::EngineSpec *Engine = Catalogue->findEngine(Key.m_Service);
    if (!Engine || FullZones.contains(Key.m_Zone))
      continue;
    if (!anyEndpointFree(Key)) {
      FullZones.insert(Key.m_Zone);
      continue;
    }
    if (!loadingUntil(Key.m_Name.m_Model) && !findHolding(Key))
      startLoad(Item, *Engine);
  }
}

void SwapService::startLoad(const serving::PendingDemand &Demand,
                            const serving::EngineSpec &Engine) {
  const serving::ModelName &Name = Demand.m_Key.m_Name;
  if (!Name.m_Adapter.empty() && startAdapter(Demand.m_Key, Engine))
    return;
  const serving::ModelSpec *Model = Engine.find(Name.m_Model);
  if (!Model)
    return;
  SwapRequest Request;
  Request.m_Key = Demand.m_Key;
  Request.m_Replica = Demand.m_Replica;
  Request.m_MayLoadRemote = Demand.m_MayLoadRemote;
  Request.m_MaxEvictionCostSeconds =
      Demand.m_Replica ? MaxReplicaEvictionCost
                       : Demand.m_Urgency * EvictionCostPerUrgency;
  startSwap(Request, Engine, *Model);
}

bool SwapService::startAdapter(const serving::DemandKey &Key,
                               const serving::EngineSpec &Engine) {
  const serving::ModelName &Name = Key.m_Name;
  // Rendezvous hashing: all hosts assign the adapters of a model to the same
  // replicas.
  const serving::Endpoint *Best = nullptr;
  std::size_t BestHash = 0;
  for (const serving::Endpoint *Item : endpointsOf(Key)) {
    if (!Item->inventory().find(Name.m_Model))
      continue;
    const std::size_t Hash = std::hash<std::string>()(
        Item->id().str() + "/" + Name.m_Model + "/" + Name.m_Adapter);
    if (!Best || Hash > BestHash) {
      Best = Item;
      BestHash = Hash;
    }
  }
  if (!Best)
    return false;
  ManagedEndpoint &Known = m_ManagedEndpoints[Best->id()];
  const auto Address = m_State.addressOf(Best->id());
  if (Known.m_Busy || now() < Known.m_BackoffUntil || !Address ||
      !m_State.m_Backoff.allows(*Best, now()))
    return true;
  Known.m_Busy = true;
  m_State.spawn("load_adapter",
                runAdapter({Best->id(), *Address, Key.m_Zone}, Name, Engine));
  return true;
}

int SwapService::otherReplicas(std::string_view Model) const {
  const auto Found = m_Replicas.find(Model);
  // The endpoint in question holds one of them.
  return Found == m_Replicas.end() ? 0 : std::max(0, Found->second - 1);
}

bool SwapService::isProtected(std::string_view Model) const {
  return !m_Knowledge.isKnown(m_Fleet.count(now()), now()) ||
         m_Pressure.mustKeepReplicas(Model, now());
}

bool SwapService::isInUse(const std::string &Model) const {
  const auto Loaded = m_LoadedAt.find(Model);
  const Instant LoadedAt =
      Loaded == m_LoadedAt.end() ? Instant() : Loaded->second;
  const Instant Latest = std::max(LoadedAt, m_Demand.lastRequest(Model));
  return now() - Latest < InUseWindow;
}

serving::SwapCandidate
SwapService::candidateOf(const serving::Inventory &Held, const EndpointId &Id,
                         const serving::EngineSpec &Engine,
                         const serving::ModelSpec &Model) const {
  serving::SwapCandidate Result;
  Result.m_Endpoint = Id;
  Result.m_CapacityMb = Engine.m_CapacityMb;
  Result.m_Location = serving::locationOf(Held, Model.m_Name);
  Result.m_LoadSeconds = serving::loadSeconds(Model, Result.m_Location);
  for (const serving::ResidentModel &Item : Held.m_Models) {
    const serving::ModelSpec *Spec = Engine.find(Item.m_Name);
    // The size of a model that is no longer in the catalogue is not known; the
    // size of the new model is assumed.
    const double Size = Spec ? serving::sizeMb(*Spec, Item) : Model.m_WeightMb;
    Result.m_LoadedModels.push_back(
        {Item.m_Name, Size, m_Demand.rate(Item.m_Name, now()),
         otherReplicas(Item.m_Name), serving::sustainableRate(Engine.m_Slots),
         isInUse(Item.m_Name), isProtected(Item.m_Name)});
  }
  return Result;
}

bool SwapService::startSwap(const SwapRequest &Request,
                            const serving::EngineSpec &Engine,
                            const serving::ModelSpec &Model) {
  Candidates List;
  for (const serving::Endpoint *Item : endpointsOf(Request.m_Key)) {
    const ManagedEndpoint &Known = m_ManagedEndpoints[Item->id()];
    if (Known.m_Busy || now() < Known.m_BackoffUntil ||
        !m_State.m_Backoff.allows(*Item, now()) ||
        Item->inventory().find(Model.m_Name) ||
        (Request.m_IsEligible && !Request.m_IsEligible(Item->id())))
      continue;
    auto Candidate = candidateOf(Item->inventory(), Item->id(), Engine, Model);
    if (Candidate.m_Location == loading::WeightLocation::Remote &&
        !Request.m_MayLoadRemote)
      continue;
    if (Request.m_WorkSeconds)
      Candidate.m_WorkSeconds = Request.m_WorkSeconds(Item->id());
    List.push_back(std::move(Candidate));
  }
  const auto Plan = serving::planSwap(Model.m_WeightMb, List);
  if (!Plan)
    return false;
  // Reject plans that evict models likely to be requested soon, if that costs
  // more than the load is worth.
  if (Plan->m_Cost - Plan->m_LoadSeconds > Request.m_MaxEvictionCostSeconds)
    return false;
  const auto Address = m_State.addressOf(Plan->m_Endpoint);
  if (!Address)
    return false;
  if (Plan->m_Location == loading::WeightLocation::Remote &&
      !tryAcquireRemoteLoad(Engine, Model))
    return false;
  ManagedEndpoint &Known = m_ManagedEndpoints[Plan->m_Endpoint];
  Known.m_Busy = true;
  Known.m_Loading = Model.m_Name;
  Known.m_ReadyAt = now() + fromSeconds(Plan->m_LoadSeconds);
  log::entry(LogCategory, "swap.planned", Model.m_Name,
             {{"endpoint", Plan->m_Endpoint},
              {"evict", Plan->m_Evict},
              {"load_s", Plan->m_LoadSeconds},
              {"cost_s", Plan->m_Cost},
              {"replica", Request.m_Replica}});
  m_State.spawn("swap",
                runSwap({Plan->m_Endpoint, *Address, Request.m_Key.m_Zone},
                        Model.m_Name, Engine,
                        Plan->m_Location == loading::WeightLocation::Remote));
  return true;
}

bool SwapService::tryAcquireRemoteLoad(const serving::EngineSpec &Engine,
                                       const serving::ModelSpec &Model) {
  if (m_RemoteLoadRunning || now() < m_NextRemoteLoadAt)
    return false;
  if (!m_Permits)
    m_Permits.emplace(Engine.m_RemoteLoadsPerSecond, MaxParallelRemoteLoads, 1);
  const auto Zones = m_State.m_Settings.get(ZonesSetting).size();
  if (m_Permits->tryReserved(Zones, now()) > milliseconds(0))
    return false;
  m_RemoteLoadRunning = true;
  m_RemoteReadyAt = now() + fromSeconds(Model.m_RemoteLoadSeconds);
  return true;
}

Duration SwapService::minRemoteLoadTime(const serving::ModelSpec &Model) const {
  Instant Start = std::max(now(), m_NextRemoteLoadAt);
  if (m_RemoteLoadRunning)
    Start = std::max(Start, m_RemoteReadyAt);
  return Start - now() + fromSeconds(Model.m_RemoteLoadSeconds);
}

void SwapService::onRemoteLoad(Duration Taken, Duration Expected) {
  m_RemoteLoadRunning = false;
  // All zones share the weight store and no zone knows the loads of the others,
  // so a slow load is the only sign that the store is busy.
  if (toSeconds(Taken) > SlowLoadFactor * toSeconds(Expected))
    m_NextRemoteLoadAt = now() + Taken;
}

} // namespace sff::host
