#include "Host/SwapService.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr auto Part = log::Category::Loading;

/// Time over which the rates of models are averaged.
constexpr milliseconds DemandMemory{20000};
/// A model with a request this recently has requests running.
constexpr milliseconds InUsePeriod{1000};
/// A known report is used for orders up to this age; an order that it does
/// not fit is refused by the endpoint, because it names the expected count.
constexpr milliseconds ReportAge{4000};
constexpr milliseconds PollPeriod{100};
/// Reports lag; the first look after an order that ends at once.
constexpr milliseconds FirstLook{30};
/// An endpoint that did not answer is left alone for this long.
constexpr milliseconds RestPeriod{500};
/// Time after which a wait for an order's end is given up, beyond three times
/// the expected time.
constexpr milliseconds OrderSlack{4000};
constexpr milliseconds AdapterLook{12};
constexpr int AdapterLooks = 12;
/// Hosts that have not reported for this long no longer count.
constexpr milliseconds ReporterPeriod{15000};
/// A further replica may cost callers of other models this many seconds.
constexpr double ReplicaCostSeconds = 2.5;
/// Loads that run at full speed at once over all zones; the weight store
/// slows all of them beyond.
constexpr double ParallelRemoteLoads = 4;

std::string_view toString(OrderStatus Status) {
  switch (Status) {
  case OrderStatus::Accepted:
    return "accepted";
  case OrderStatus::AlreadyHolds:
    return "already_holds";
  case OrderStatus::Conflict:
    return "conflict";
  case OrderStatus::Fenced:
    return "fenced";
  case OrderStatus::Rejected:
    return "rejected";
  case OrderStatus::OtherEndpoint:
    return "other_endpoint";
  case OrderStatus::Unknown:
    return "unknown";
  }
  return "";
}

bool isDone(OrderStatus Status) {
  return Status == OrderStatus::Accepted || Status == OrderStatus::AlreadyHolds;
}

int adaptersOf(const EngineReport &Report) {
  std::size_t Count = Report.m_PendingAdapters.size();
  for (const serving::ResidentModel &Model : Report.m_Inventory.m_Models)
    Count += Model.m_Adapters.size();
  return static_cast<int>(Count);
}

double usedMb(const EngineReport &Report, const serving::EngineSpec &Engine) {
  double Sum = 0;
  for (const serving::ResidentModel &Model : Report.m_Inventory.m_Models)
    if (const serving::ModelSpec *Spec = Engine.find(Model.m_Name))
      Sum += Spec->m_WeightMb + Spec->m_AdapterMb *
                                    static_cast<double>(Model.m_Adapters.size());
  for (const serving::ModelName &Name : Report.m_PendingAdapters)
    if (const serving::ModelSpec *Spec = Engine.find(Name.m_Model))
      Sum += Spec->m_AdapterMb;
  return Sum;
}

loading::WeightLocation locationOf(const serving::Inventory &Held,
                                   std::string_view Model) {
  if (Held.m_InHostMemory.contains(Model))
    return loading::WeightLocation::Memory;
  if (Held.m_OnDisk.contains(Model))
    return loading::WeightLocation::Disk;
  return loading::WeightLocation::Remote;
}

double loadSeconds(const serving::ModelSpec &Model,
                   loading::WeightLocation Location) {
  switch (Location) {
  case loading::WeightLocation::Memory:
    return Model.m_MemoryLoadSeconds;
  case loading::WeightLocation::Disk:
    return Model.m_DiskLoadSeconds;
  case loading::WeightLocation::Remote:
    return Model.m_RemoteLoadSeconds;
  }
  return Model.m_RemoteLoadSeconds;
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

SwapService::SwapService(HostState &State, OrderRights &Rights)
    : m_State(State), m_Rights(Rights),
      m_Progress(State.m_Context.get_executor()), m_Demand(DemandMemory) {}

UsageAnswer SwapService::onUsage(const UsageReport &Report) {
  m_Reporters[Report.m_Host] = now();
  for (const auto &[Model, Requests] : Report.m_Requests)
    m_Demand.add(Model, Requests, now());
  std::erase_if(m_Reporters, [](const auto &Item) {
    return now() - Item.second > ReporterPeriod;
  });
  return {static_cast<std::int64_t>(m_Reporters.size())};
}

std::vector<const serving::Endpoint *>
SwapService::endpointsOf(const ModelDemand &Demand) const {
  auto List = m_State.m_Endpoints.serving(Demand.m_Service);
  std::erase_if(List, [&Demand](const serving::Endpoint *Item) {
    return Item->m_Registered.m_Zone != Demand.m_Zone;
  });
  return List;
}

std::optional<EndpointId>
SwapService::findHolding(const ModelDemand &Demand) const {
  for (const serving::Endpoint *Item : endpointsOf(Demand)) {
    const auto *Model = Item->inventory().find(Demand.m_Model);
    if (!Model || m_State.m_Chooser.health().isSuspended(Item->id(), now()))
      continue;
    if (Demand.m_Adapter.empty() ||
        Model->m_Adapters.contains(Demand.m_Adapter))
      return Item->id();
  }
  return std::nullopt;
}

bool SwapService::isLoading(const std::string &Model) const {
  return std::ranges::any_of(m_Work, [&Model](const auto &Item) {
    return Item.second.m_Busy && Item.second.m_Loading == Model;
  });
}

Task<DemandAnswer> SwapService::handle(ModelDemand Demand) {
  const Instant Until = now() + milliseconds(Demand.m_WaitMs);
  while (true) {
    if (!m_Rights.mayOrder(Demand.m_Zone))
      co_return DemandAnswer{DemandStatus::NotHolder, {}};
    if (const auto Holding = findHolding(Demand))
      co_return DemandAnswer{DemandStatus::Ready, *Holding};
    const auto Catalogue = m_State.m_Catalogue;
    const serving::Service *Service =
        Catalogue ? Catalogue->findService(Demand.m_Service) : nullptr;
    if (!Service || !Service->m_Engine ||
        !Service->m_Engine->find(Demand.m_Model))
      co_return DemandAnswer{DemandStatus::Impossible, {}};
    if (!isLoading(Demand.m_Model))
      startWork(Demand, *Service->m_Engine);
    if (now() >= Until)
      co_return DemandAnswer{DemandStatus::Busy, {}};
    co_await m_Progress.wait(std::min<Duration>(Until - now(), PollPeriod));
  }
}

void SwapService::startWork(const ModelDemand &Demand,
                            const serving::EngineSpec &Engine) {
  if (!Demand.m_Adapter.empty() && startAdapter(Demand))
    return;
  if (const serving::ModelSpec *Model = Engine.find(Demand.m_Model))
    startSwap(Demand, Engine, *Model);
}

bool SwapService::startAdapter(const ModelDemand &Demand) {
  // All hosts spread the adapters of a model over its replicas alike.
  const serving::Endpoint *Best = nullptr;
  std::size_t BestHash = 0;
  for (const serving::Endpoint *Item : endpointsOf(Demand)) {
    if (!Item->inventory().find(Demand.m_Model))
      continue;
    const std::size_t Hash = std::hash<std::string>()(
        Item->id().str() + "/" + Demand.m_Model + "/" + Demand.m_Adapter);
    if (!Best || Hash > BestHash) {
      Best = Item;
      BestHash = Hash;
    }
  }
  if (!Best)
    return false;
  Work &Known = m_Work[Best->id()];
  const auto Address = http::Address::parse(Best->m_Registered.m_Address);
  if (Known.m_Busy || now() < Known.m_RestUntil || !Address)
    return true;
  Known.m_Busy = true;
  m_State.spawn("load_adapter",
                runAdapter({Best->id(), *Address, Demand.m_Zone}, Demand,
                           *m_State.m_Catalogue->findService(Demand.m_Service)
                                ->m_Engine));
  return true;
}

int SwapService::otherReplicas(std::string_view Model,
                               const EndpointId &Except) const {
  int Count = 0;
  for (const auto &[Id, Known] : m_State.m_Endpoints.all())
    if (Id != Except && Known.takesWork() && Known.inventory().find(Model))
      ++Count;
  return Count;
}

serving::SwapCandidate
SwapService::candidateOf(const serving::Inventory &Held, const EndpointId &Id,
                         const serving::EngineSpec &Engine,
                         const serving::ModelSpec &Model) const {
  serving::SwapCandidate Result;
  Result.m_Endpoint = Id;
  Result.m_CapacityMb = Engine.m_CapacityMb;
  Result.m_Location = locationOf(Held, Model.m_Name);
  Result.m_LoadSeconds = loadSeconds(Model, Result.m_Location);
  for (const serving::ResidentModel &Item : Held.m_Models) {
    const serving::ModelSpec *Spec = Engine.find(Item.m_Name);
    // A model that the catalogue no longer names takes at most what is left.
    const double Size =
        Spec ? Spec->m_WeightMb + Spec->m_AdapterMb * static_cast<double>(
                                                          Item.m_Adapters.size())
             : Model.m_WeightMb;
    Result.m_Held.push_back(
        {Item.m_Name, Size, m_Demand.rate(Item.m_Name, now()),
         otherReplicas(Item.m_Name, Id),
         now() - m_Demand.lastRequest(Item.m_Name) < InUsePeriod});
  }
  return Result;
}

void SwapService::startSwap(const ModelDemand &Demand,
                            const serving::EngineSpec &Engine,
                            const serving::ModelSpec &Model) {
  Candidates List;
  for (const serving::Endpoint *Item : endpointsOf(Demand)) {
    const Work &Known = m_Work[Item->id()];
    if (Known.m_Busy || now() < Known.m_RestUntil ||
        Item->inventory().find(Model.m_Name))
      continue;
    auto Candidate = candidateOf(Item->inventory(), Item->id(), Engine, Model);
    if (Candidate.m_Location == loading::WeightLocation::Remote &&
        !Demand.m_MayLoadRemote)
      continue;
    List.push_back(std::move(Candidate));
  }
  const auto Plan = serving::planSwap(Model.m_WeightMb, List);
  if (!Plan)
    return;
  if (Demand.m_Replica &&
      Plan->m_Cost - Plan->m_LoadSeconds > ReplicaCostSeconds)
    return;
  if (Plan->m_Location == loading::WeightLocation::Remote) {
    if (!m_Permits)
      m_Permits.emplace(Engine.m_RemoteLoadsPerSecond, ParallelRemoteLoads, 1);
    const auto Zones = m_State.m_Settings.get(ZonesSetting).size();
    if (m_Permits->tryReserved(Zones, now()) > milliseconds(0))
      return;
  }
  const serving::Endpoint *Chosen = m_State.m_Endpoints.find(Plan->m_Endpoint);
  const auto Address = http::Address::parse(Chosen->m_Registered.m_Address);
  if (!Address)
    return;
  Work &Known = m_Work[Plan->m_Endpoint];
  Known.m_Busy = true;
  Known.m_Loading = Model.m_Name;
  log::entry(Part, "swap.planned", Model.m_Name,
             {{"endpoint", Plan->m_Endpoint},
              {"evict", Plan->m_Evict},
              {"load_s", Plan->m_LoadSeconds},
              {"cost_s", Plan->m_Cost},
              {"replica", Demand.m_Replica}});
  m_State.spawn("swap", runSwap({Plan->m_Endpoint, *Address, Demand.m_Zone},
                                Demand, Engine));
}

Task<void> SwapService::runSwap(Target Where, ModelDemand Demand,
                                serving::EngineSpec Engine) {
  const Instant Start = now();
  const bool Done = co_await swap(Where, Demand, std::move(Engine));
  m_State.m_Metrics.onSwap(now() - Start);
  log::entry(Part, Done ? "swap.done" : "swap.failed", Demand.m_Model,
             {{"endpoint", Where.m_Id},
              {"took_ms", toMilliseconds(now() - Start).count()}});
  finish(Where.m_Id, Done);
}

Task<bool> SwapService::swap(Target Where, ModelDemand Demand,
                             serving::EngineSpec Engine) {
  const bool Fresh = co_await refresh(Where, false);
  if (!Fresh)
    co_return false;
  const serving::ModelSpec *Model = Engine.find(Demand.m_Model);
  // The plan came from the registration; the report is newer.
  const Candidates Only{candidateOf(m_Work[Where.m_Id].m_Report->m_Inventory,
                                    Where.m_Id, Engine, *Model)};
  const auto Plan = serving::planSwap(Model->m_WeightMb, Only);
  if (!Plan)
    co_return false;
  for (const std::string &Victim : Plan->m_Evict) {
    m_State.m_Endpoints.noteMissing(Where.m_Id, {Victim, {}});
    const serving::ModelName Name{Victim, {}};
    const OrderStatus Unloaded =
        co_await order(Where, OrderKind::Unload, Name);
    if (!isDone(Unloaded))
      co_return false;
    const bool Gone = co_await awaitModel(Where, Victim, false, Duration(0));
    if (!Gone)
      co_return false;
  }
  const serving::ModelName Name{Demand.m_Model, {}};
  const OrderStatus Loaded = co_await order(Where, OrderKind::Load, Name);
  if (!isDone(Loaded))
    co_return false;
  const Duration Expected = toDuration(Plan->m_LoadSeconds);
  const bool Present =
      co_await awaitModel(Where, Demand.m_Model, true, Expected);
  if (!Present)
    co_return false;
  m_State.m_Endpoints.noteModel(Where.m_Id, Demand.m_Model);
  co_return true;
}

Task<bool> SwapService::refresh(Target Where, bool Force) {
  Work &Known = m_Work[Where.m_Id];
  if (!Force && Known.m_Report && now() - Known.m_ReportedAt < ReportAge &&
      !Known.m_Report->m_OrderRunning)
    co_return true;
  auto Report =
      co_await m_State.m_Platform.m_Engines->report(Where.m_Address,
                                                    Where.m_Id);
  Work &Current = m_Work[Where.m_Id];
  if (!Report) {
    Current.m_Report.reset();
    co_return false;
  }
  Current.m_Report = std::move(Report);
  Current.m_ReportedAt = now();
  co_return true;
}

Task<OrderStatus> SwapService::order(Target Where, OrderKind Kind,
                                     serving::ModelName Name) {
  const auto Token = m_Rights.mayOrder(Where.m_Zone);
  Work &Known = m_Work[Where.m_Id];
  if (!Token || !Known.m_Report)
    co_return OrderStatus::Rejected;
  const Order Request{Kind, Name, m_Rights.member(), *Token,
                      Known.m_Report->m_AcceptedOrders};
  const OrderStatus Status = co_await m_State.m_Platform.m_Engines->send(
      Where.m_Address, Where.m_Id, Request);
  m_State.m_Metrics.onOrder(toString(Status));
  log::entry(Part, "order.sent", Name.str(),
             {{"endpoint", Where.m_Id},
              {"kind", Kind == OrderKind::Load ? "load" : "unload"},
              {"token", *Token},
              {"expected_orders", Request.m_ExpectedOrders},
              {"result", toString(Status)}});
  Work &Current = m_Work[Where.m_Id];
  if (Status == OrderStatus::Fenced)
    m_Rights.onFenced(Where.m_Zone, *Token);
  if (Status == OrderStatus::Accepted && Current.m_Report)
    ++Current.m_Report->m_AcceptedOrders;
  else if (Status != OrderStatus::AlreadyHolds)
    Current.m_Report.reset();
  co_return Status;
}

Task<bool> SwapService::awaitModel(Target Where, std::string Model,
                                   bool Present, Duration Expected) {
  const Instant GiveUp = now() + 3 * Expected + OrderSlack;
  const std::int64_t Orders = m_Work[Where.m_Id].m_Report->m_AcceptedOrders;
  co_await sleepFor(std::max<Duration>(Expected, FirstLook));
  while (now() < GiveUp) {
    const bool Fresh = co_await refresh(Where, true);
    if (!Fresh)
      co_return false;
    const EngineReport &Report = *m_Work[Where.m_Id].m_Report;
    // A report from before the order tells nothing of its end.
    const bool Newer = Report.m_AcceptedOrders >= Orders;
    const bool Holds = Report.m_Inventory.find(Model) != nullptr;
    if (Newer && !Report.m_OrderRunning && Holds == Present)
      co_return true;
    co_await sleepFor(PollPeriod);
  }
  co_return false;
}

Task<void> SwapService::runAdapter(Target Where, ModelDemand Demand,
                                   serving::EngineSpec Engine) {
  const serving::ModelName Name{Demand.m_Model, Demand.m_Adapter};
  const bool Done = co_await loadAdapter(Where, Name, std::move(Engine));
  log::entry(Part, Done ? "adapter.loaded" : "adapter.failed", Name.str(),
             {{"endpoint", Where.m_Id}});
  if (Done)
    m_State.m_Endpoints.noteAdapter(Where.m_Id, Name);
  finish(Where.m_Id, Done);
}

Task<bool> SwapService::loadAdapter(Target Where, serving::ModelName Name,
                                    serving::EngineSpec Engine) {
  const bool Fresh = co_await refresh(Where, false);
  if (!Fresh)
    co_return false;
  const EngineReport Report = *m_Work[Where.m_Id].m_Report;
  const serving::ModelSpec *Model = Engine.find(Name.m_Model);
  if (!Report.m_Inventory.find(Name.m_Model)) {
    m_State.m_Endpoints.noteMissing(Where.m_Id, {Name.m_Model, {}});
    co_return false;
  }
  const bool Full =
      adaptersOf(Report) >= Engine.m_AdapterSlots ||
      usedMb(Report, Engine) + Model->m_AdapterMb > Engine.m_CapacityMb;
  if (Full) {
    const bool Evicted = co_await evictAdapter(Where, Report);
    if (!Evicted)
      co_return false;
  }
  const OrderStatus Loaded = co_await order(Where, OrderKind::Load, Name);
  if (!isDone(Loaded))
    co_return false;
  // Adapters take some milliseconds, reports lag by a hundred: the same order
  // tells sooner whether the adapter is there.
  for (int Look = 0; Look < AdapterLooks; ++Look) {
    co_await sleepFor(AdapterLook * (Look + 1));
    const OrderStatus Status = co_await order(Where, OrderKind::Load, Name);
    if (Status == OrderStatus::AlreadyHolds) {
      if (auto &Known = m_Work[Where.m_Id].m_Report)
        for (auto &Item : Known->m_Inventory.m_Models)
          if (Item.m_Name == Name.m_Model)
            Item.m_Adapters.insert(Name.m_Adapter);
      co_return true;
    }
    if (Status != OrderStatus::Accepted)
      co_return false;
  }
  co_return false;
}

Task<bool> SwapService::evictAdapter(Target Where, EngineReport Report) {
  std::optional<serving::ModelName> Oldest;
  Instant OldestUse = Instant::max();
  for (const serving::ResidentModel &Model : Report.m_Inventory.m_Models)
    for (const std::string &Adapter : Model.m_Adapters) {
      const serving::ModelName Name{Model.m_Name, Adapter};
      const Instant Used = m_Demand.lastRequest(Name.str());
      if (Used < OldestUse) {
        OldestUse = Used;
        Oldest = Name;
      }
    }
  if (!Oldest)
    co_return false;
  m_State.m_Endpoints.noteMissing(Where.m_Id, *Oldest);
  const serving::ModelName Victim = *Oldest;
  const OrderStatus Unloaded = co_await order(Where, OrderKind::Unload, Victim);
  if (!isDone(Unloaded))
    co_return false;
  if (auto &Known = m_Work[Where.m_Id].m_Report)
    for (auto &Item : Known->m_Inventory.m_Models)
      if (Item.m_Name == Victim.m_Model)
        Item.m_Adapters.erase(Victim.m_Adapter);
  co_return true;
}

void SwapService::finish(const EndpointId &Id, bool Done) {
  Work &Known = m_Work[Id];
  Known.m_Busy = false;
  Known.m_Loading.clear();
  if (!Done) {
    Known.m_Report.reset();
    Known.m_RestUntil = now() + RestPeriod;
  }
  m_Progress.notify();
  m_State.m_Changed.notify();
}

} // namespace sff::host
