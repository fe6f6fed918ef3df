#include "PolicyRun.h"

#include <algorithm>
#include <cmath>

namespace sff::bench {
namespace {

constexpr double EngineRestartSeconds = 20;
/// Weights stay in host memory and on local disk for a while after use.
constexpr double InMemorySeconds = 600;
constexpr double OnDiskSeconds = 2 * 3600;
constexpr double MemoryBytesPerSecond = 40e9;
constexpr double DiskBytesPerSecond = 15e9;
constexpr double RemoteBytesPerSecond = 10e9;
/// Waits are estimated again after this time.
constexpr double ReadyCacheSeconds = 0.05;

} // namespace

int PolicyRun::homeOf(int Entry, int Slot) const {
  const int Base = m_Work.m_Entries[Entry].m_Base;
  const int First = m_Work.m_Entries[Base >= 0 ? Base : Entry].m_Home;
  // After a fault the base may be loaded away from its home.
  for (const auto &[Key, Item] : m_Replicas)
    if (Base >= 0 && Key.second == Base && !m_Choice.m_RouterAlone)
      return Key.first;
  const int Engine = (First + Slot) % m_Where.m_Engines;
  if (m_EngineUp[Engine])
    return Engine;
  // Replicas of a lost engine are spread over all others.
  std::vector<int> Live;
  for (int Other = 0; Other < m_Where.m_Engines; ++Other)
    if (m_EngineUp[Other])
      Live.push_back(Other);
  const std::size_t Key = static_cast<std::size_t>(Base >= 0 ? Base : Entry);
  return Live[(Key / m_Where.m_Engines + Slot) % Live.size()];
}

std::size_t PolicyRun::waiting(int Entry) const {
  std::size_t Count = 0;
  for (const auto &Queues : m_Queues)
    Count += Queues[Entry].size();
  return Count;
}

loading::WeightLocation PolicyRun::location(int Engine, int Entry) const {
  const auto Found = m_OnDisk.find({Engine, Entry});
  const double Age =
      Found == m_OnDisk.end() ? 1e9 : m_Events.now() - Found->second;
  if (Age > OnDiskSeconds)
    return loading::WeightLocation::Remote;
  return Age < InMemorySeconds ? loading::WeightLocation::Memory
                               : loading::WeightLocation::Disk;
}

double PolicyRun::loadSeconds(int Engine, int Entry) const {
  const double Bytes = m_Work.m_Entries[Entry].m_Bytes;
  switch (location(Engine, Entry)) {
  case loading::WeightLocation::Memory:
    return Bytes / MemoryBytesPerSecond;
  case loading::WeightLocation::Disk:
    return Bytes / DiskBytesPerSecond;
  default:
    return m_SlowdownSeen * m_Where.m_StoreParallel / m_Where.m_StoreRate +
           Bytes / RemoteBytesPerSecond;
  }
}

void PolicyRun::updateDemand(int Entry) {
  std::size_t Waiting = waiting(Entry);
  Instant Deadline = Instant::max();
  Instant Promised;
  const auto Look = [&](int Index) {
    for (const auto &Queues : m_Queues) {
      if (const auto At = Queues[Index].earliestDeadline())
        Deadline = std::min(Deadline, *At);
      Promised = std::max(Promised, Queues[Index].promisedUntil());
    }
  };
  Look(Entry);
  for (const int Adapter : m_Adapters[Entry]) {
    Look(Adapter);
    Waiting += waiting(Adapter);
  }
  // Refused callers will come back, so the entry stays wanted.
  if (Waiting == 0 && Promised > clock()) {
    Waiting = 1;
    Deadline = Promised;
  }
  wantReplicas(Entry, Waiting, Deadline);
  if (const int Base = m_Work.m_Entries[Entry].m_Base; Base >= 0)
    updateDemand(Base);
}

void PolicyRun::wantReplicas(int Entry, std::size_t Waiting, Instant Deadline) {
  const auto &Spec = m_Work.m_Entries[Entry];
  int Have = 0;
  bool Ready = false;
  for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine) {
    const Replica *Item = find(Engine, Entry);
    Have += Item != nullptr;
    Ready = Ready || (Item && Item->m_Ready);
  }
  const int Needed = std::min<int>(
      Spec.m_Replicas,
      static_cast<int>(Waiting + SlotsPerReplica - 1) / SlotsPerReplica);
  const int Slots =
      m_Choice.m_RouterAlone ? m_Where.m_Routers : Spec.m_Replicas;
  std::set<int> Wanted;
  for (int Slot = 0; Slot < Slots; ++Slot) {
    const int Engine = homeOf(Entry, Slot);
    bool Want = Have + static_cast<int>(Wanted.size()) < Needed;
    if (m_Choice.m_RouterAlone) {
      Want = !Ready && !m_Queues[Slot][Entry].empty();
      for (const int Adapter : m_Adapters[Entry])
        Want =
            Want || (!find(Engine, Entry) && !m_Queues[Slot][Adapter].empty());
    }
    if (Want && !find(Engine, Entry))
      Wanted.insert(Engine);
  }
  for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine) {
    if (!Wanted.contains(Engine)) {
      m_Scheduler.remove(engineId(Engine), Spec.m_Name);
      m_DemandSince.erase({Engine, Entry});
      continue;
    }
    const Replica *Base = find(Engine, Spec.m_Base);
    m_DemandSince.try_emplace({Engine, Entry}, m_Events.now());
    m_Scheduler.update({engineId(Engine), Spec.m_Name,
                        static_cast<std::int64_t>(Waiting), Spec.m_Class,
                        Deadline, location(Engine, Entry),
                        loadSeconds(Engine, Entry), Base && Base->m_Ready});
  }
}

std::vector<loading::LoadDemand> PolicyRun::orderedDemands() {
  auto List = m_Scheduler.ordered(clock());
  if (!m_Choice.m_FirstComeLoading && !m_Choice.m_RouterAlone)
    return List;
  const auto Since = [&](const loading::LoadDemand &Demand) {
    return m_DemandSince.at(
        {std::stoi(Demand.m_Endpoint.str()), entryOf(Demand.m_Entry)});
  };
  std::stable_sort(List.begin(), List.end(), [&](const auto &A, const auto &B) {
    return Since(A) < Since(B);
  });
  return List;
}

void PolicyRun::startLoads() {
  for (const auto &Demand : orderedDemands()) {
    const int Engine = std::stoi(Demand.m_Endpoint.str());
    const int Entry = entryOf(Demand.m_Entry);
    const int Base = m_Work.m_Entries[Entry].m_Base;
    // An engine loads one at a time; an adapter's base goes first. An earlier
    // load of this loop may have taken the base's memory.
    const Replica *BaseItem = find(Engine, Base);
    if (m_EngineLoading[Engine] || find(Engine, Entry) ||
        (Base >= 0 && !(BaseItem && BaseItem->m_Ready)))
      continue;
    if (!startLoad(Demand, Engine, Entry))
      continue;
    m_Scheduler.remove(Demand.m_Endpoint, Demand.m_Entry);
    m_DemandSince.erase({Engine, Entry});
  }
}

bool PolicyRun::startLoad(const loading::LoadDemand &Demand, int Engine,
                          int Entry) {
  const double Bytes = m_Work.m_Entries[Entry].m_Bytes;
  if (!makeRoom(Engine, Bytes, m_Work.m_Entries[Entry].m_Base))
    return false;
  const bool Remote =
      location(Engine, Entry) == loading::WeightLocation::Remote;
  if (Remote && !m_Choice.m_RouterAlone) {
    const auto Wait = m_Permits.tryLend(clock());
    if (Wait.count() > 0) {
      const double At =
          m_Events.now() + static_cast<double>(Wait.count()) / 1000;
      if (m_NextAttempt <= m_Events.now()) {
        m_NextAttempt = At;
        m_Events.at(At, [this] { startLoads(); });
      }
      return false;
    }
  }
  double Seconds = loadSeconds(Engine, Entry);
  if (Remote) {
    ++m_StoreLoads;
    const double Full = m_Where.m_StoreParallel / m_Where.m_StoreRate;
    const double Slow =
        m_StoreSlowdown * std::max(1.0, m_StoreLoads / m_Where.m_StoreParallel);
    Seconds += Full * (Slow - m_SlowdownSeen);
    // The next estimates use what the latest loads took.
    m_SlowdownSeen += 0.3 * (Slow - m_SlowdownSeen);
    m_Events.after(Full * Slow, [this] { --m_StoreLoads; });
  }
  Replica &Item = m_Replicas[{Engine, Entry}];
  Item.m_Generation = ++m_Generations;
  Item.m_LoadEnd = m_Events.now() + Seconds;
  m_UsedBytes[Engine] += Bytes;
  m_EngineLoading[Engine] = true;
  m_ReadyCache.assign(m_ReadyCache.size(), {-1, 0});
  ++m_Result.m_Loads;
  ++m_WakeLoads[Entry];
  int Have = 0;
  for (int Other = 0; Other < m_Where.m_Engines; ++Other)
    Have += find(Other, Entry) != nullptr;
  m_Result.m_SurplusLoads +=
      Have > 1 && (Have > m_Work.m_Entries[Entry].m_Replicas ||
                   static_cast<std::int64_t>(Have - 1) * SlotsPerReplica >=
                       Demand.m_Waiting);
  m_Events.after(Seconds, [=, this, Generation = Item.m_Generation] {
    loaded(Engine, Entry, Generation);
  });
  return true;
}

void PolicyRun::loaded(int Engine, int Entry, std::uint64_t Generation) {
  Replica *Item = find(Engine, Entry);
  if (!Item || Item->m_Generation != Generation)
    return;
  Item->m_Ready = true;
  Item->m_IdleSince = m_Events.now();
  m_EngineLoading[Engine] = false;
  m_OnDisk[{Engine, Entry}] = m_Events.now();
  m_ReadyCache.assign(m_ReadyCache.size(), {-1, 0});
  dispatch(Entry);
  updateDemand(Entry);
  for (const int Adapter : m_Adapters[Entry])
    updateDemand(Adapter);
  startLoads();
}

/// Time until a replica of the entry is loaded, when loads start in order.
double PolicyRun::readyIn(int Entry) {
  auto &[ValidUntil, ReadyAt] = m_ReadyCache[Entry];
  const double Now = m_Events.now();
  if (Now < ValidUntil)
    return std::max(0.001, ReadyAt - Now);
  std::vector<double> Free(m_Where.m_Engines, Now);
  std::map<std::pair<int, int>, double> Ready;
  for (const auto &[Key, Item] : m_Replicas) {
    Ready[Key] = Item.m_Ready ? Now : Item.m_LoadEnd;
    Free[Key.first] = std::max(Free[Key.first], Ready[Key]);
  }
  double Permit = std::max(Now, m_NextAttempt);
  const auto Place = [&](int Engine, int Index) {
    const int Base = m_Work.m_Entries[Index].m_Base;
    double Start = Free[Engine];
    if (location(Engine, Index) == loading::WeightLocation::Remote) {
      Start = std::max(Start, Permit);
      Permit += 1 / m_Where.m_StoreRate;
    }
    const auto Found = Ready.find({Engine, Base});
    if (Base >= 0)
      Start = Found != Ready.end() ? std::max(Start, Found->second)
                                   : Start + loadSeconds(Engine, Base);
    Free[Engine] = Start + loadSeconds(Engine, Index);
    Ready[{Engine, Index}] = Free[Engine];
  };
  for (const auto &Demand : orderedDemands())
    Place(std::stoi(Demand.m_Endpoint.str()), entryOf(Demand.m_Entry));
  const auto Earliest = [&] {
    double At = 1e12;
    for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine)
      if (const auto Found = Ready.find({Engine, Entry}); Found != Ready.end())
        At = std::min(At, Found->second);
    return At;
  };
  if (Earliest() > 1e11)
    Place(homeOf(Entry, 0), Entry);
  ReadyAt = Earliest();
  ValidUntil = Now + ReadyCacheSeconds;
  return std::max(0.001, ReadyAt - Now);
}

std::vector<loading::LoadedReplica> PolicyRun::loadedAt(int Engine,
                                                        bool Grouped) const {
  std::vector<loading::LoadedReplica> List;
  for (auto Item = m_Replicas.lower_bound({Engine, 0});
       Item != m_Replicas.end() && Item->first.first == Engine; ++Item) {
    const int Entry = Item->first.second;
    const auto &Spec = m_Work.m_Entries[Entry];
    bool Busy = !Item->second.m_Ready || Item->second.m_Running > 0 ||
                waiting(Entry) > 0;
    double Bytes = Spec.m_Bytes;
    for (const int Adapter : m_Adapters[Entry]) {
      const auto Found = m_Replicas.find({Engine, Adapter});
      if (Found == m_Replicas.end())
        continue;
      // Room is made by unloading a base with its idle adapters.
      Busy = Busy || !Grouped || !Found->second.m_Ready;
      Bytes += m_Work.m_Entries[Adapter].m_Bytes;
    }
    for (const int Adapter : m_Adapters[Entry])
      Busy = Busy || waiting(Adapter) > 0;
    loading::LoadedReplica Loaded;
    Loaded.m_Entry = Spec.m_Name;
    Loaded.m_Bytes = static_cast<std::int64_t>(Bytes);
    Loaded.m_ReloadSeconds = Spec.m_Bytes / DiskBytesPerSecond;
    Loaded.m_Class = Spec.m_Class;
    Loaded.m_Busy = Busy;
    Loaded.m_Share = Spec.m_Bytes / AcceleratorBytes;
    List.push_back(Loaded);
  }
  return List;
}

bool PolicyRun::makeRoom(int Engine, double Bytes, int Keep) {
  const double Missing = m_UsedBytes[Engine] + Bytes - EngineBytes;
  if (Missing <= 0)
    return true;
  auto List = loadedAt(Engine, true);
  std::erase_if(
      List, [&](const auto &Item) { return entryOf(Item.m_Entry) == Keep; });
  std::vector<EntryName> Victims;
  if (m_Choice.m_Eviction == Eviction::Weighted) {
    Victims = m_Evictions.chooseVictims(
        List, static_cast<std::int64_t>(Missing) + 1, clock());
  } else {
    std::erase_if(List, [](const auto &Item) { return Item.m_Busy; });
    std::sort(List.begin(), List.end(), [&](const auto &A, const auto &B) {
      return find(Engine, entryOf(A.m_Entry))->m_IdleSince <
             find(Engine, entryOf(B.m_Entry))->m_IdleSince;
    });
    double Freed = 0;
    for (const auto &Item : List) {
      if (Freed >= Missing)
        break;
      Freed += static_cast<double>(Item.m_Bytes);
      Victims.push_back(Item.m_Entry);
    }
    if (Freed < Missing)
      return false;
  }
  for (const EntryName &Name : Victims)
    unload(Engine, entryOf(Name));
  return !Victims.empty();
}

void PolicyRun::evictIdle() {
  for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine) {
    const auto List = loadedAt(Engine, false);
    if (m_Choice.m_Eviction == Eviction::Weighted)
      for (const EntryName &Name : m_Evictions.chooseIdle(List, clock()))
        unload(Engine, entryOf(Name));
    if (m_Choice.m_Eviction != Eviction::IdleTimeout)
      continue;
    for (const auto &Item : List) {
      const int Entry = entryOf(Item.m_Entry);
      if (!Item.m_Busy && m_Events.now() - find(Engine, Entry)->m_IdleSince >=
                              m_Choice.m_IdleTimeout)
        unload(Engine, Entry);
    }
  }
  startLoads();
  m_Events.after(EvictionSeconds, [this] { evictIdle(); });
}

void PolicyRun::countIdle(Replica &Item, int Entry) {
  if (!Item.m_Ready || Item.m_Running > 0)
    return;
  m_Result.m_IdleAcceleratorHours += (m_Events.now() - Item.m_IdleSince) /
                                     3600 * m_Work.m_Entries[Entry].m_Bytes /
                                     AcceleratorBytes;
  Item.m_IdleSince = m_Events.now();
}

void PolicyRun::unload(int Engine, int Entry) {
  for (const int Adapter : m_Adapters[Entry])
    if (find(Engine, Adapter))
      unload(Engine, Adapter);
  Replica *Item = find(Engine, Entry);
  if (!Item)
    return;
  countIdle(*Item, Entry);
  if (Item->m_Ready)
    m_OnDisk[{Engine, Entry}] = m_Events.now();
  m_UsedBytes[Engine] -= m_Work.m_Entries[Entry].m_Bytes;
  m_Replicas.erase({Engine, Entry});
  for (int Other = 0; Other < m_Where.m_Engines; ++Other)
    if (find(Other, Entry))
      return;
  const auto &Spec = m_Work.m_Entries[Entry];
  if (Spec.m_Replicas == 1 && m_WakeLoads[Entry] > 0)
    m_Result.m_LoadsPerWake.push_back(m_WakeLoads[Entry]);
  m_WakeLoads[Entry] = 0;
}

void PolicyRun::stopEngine(int Engine) {
  if (!m_EngineUp[Engine] ||
      std::count(m_EngineUp.begin(), m_EngineUp.end(), true) == 1)
    return;
  m_EngineUp[Engine] = false;
  m_EngineLoading[Engine] = false;
  std::vector<std::size_t> Cut;
  std::vector<int> Entries;
  for (auto &[Key, Item] : m_Replicas) {
    if (Key.first != Engine)
      continue;
    Cut.insert(Cut.end(), Item.m_Jobs.begin(), Item.m_Jobs.end());
    Entries.push_back(Key.second);
  }
  for (const int Entry : Entries)
    unload(Engine, Entry);
  std::erase_if(m_OnDisk,
                [&](const auto &Item) { return Item.first.first == Engine; });
  for (const std::size_t Index : Cut) {
    Job &Item = m_Jobs[Index];
    // The first token may have left, but a whole answer has not.
    admission::Waiting Again;
    Again.m_Request = RequestId(std::to_string(Index));
    Again.m_Class = Item.m_Request.m_Class;
    Again.m_Arrival = clock();
    Again.m_Deadline = clock(Item.m_Offer.m_At + Item.m_Request.m_Patience);
    Again.m_KeptRetryTime = true;
    const int Entry = Item.m_Request.m_Entry;
    if (!m_Budgets[Item.m_Router].tryRetry(Again.m_Class) ||
        m_Queues[Item.m_Router][Entry].offer(
            Again, capacity(Item.m_Router, Entry), clock())) {
      finish(Item, Kind::Unknown);
      continue;
    }
    scheduleCheck(Item.m_Router, Entry);
  }
  const int Count = static_cast<int>(m_Work.m_Entries.size());
  for (int Entry = 0; Entry < Count; ++Entry)
    updateDemand(Entry);
  startLoads();
}

void PolicyRun::startEngine(int Engine) { m_EngineUp[Engine] = true; }

void PolicyRun::stopRouter(int Router) {
  m_RouterUp[Router] = false;
  for (auto &Queue : m_Queues[Router])
    while (const auto Item = Queue.takeNext(Instant{}))
      finish(m_Jobs[std::stoul(Item->m_Request.str())], Kind::RouterLost);
}

void PolicyRun::scheduleFailure(int Engine) {
  const double Mean = m_Faults.m_EngineFailureSeconds;
  const double At = std::exponential_distribution<double>(1 / Mean)(m_Random);
  m_Events.after(At, [this, Engine] {
    stopEngine(Engine);
    m_Events.after(EngineRestartSeconds, [this, Engine] {
      startEngine(Engine);
      scheduleFailure(Engine);
    });
  });
}

void PolicyRun::scheduleFaults() {
  if (m_Faults.m_EngineFailureSeconds > 0)
    for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine)
      scheduleFailure(Engine);
  if (m_Faults.m_To <= m_Faults.m_From)
    return;
  m_Events.at(m_Faults.m_From, [this] {
    m_StoreSlowdown = m_Faults.m_StoreSlowdown;
    for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine)
      if ((m_Faults.m_HalfReclaimed && Engine % 2 == 0) ||
          (m_Faults.m_ZoneLost && Engine % m_Where.m_Zones == 0))
        stopEngine(Engine);
    for (int Router = 0; m_Faults.m_ZoneLost && Router < m_Where.m_Routers;
         Router += m_Where.m_Zones)
      stopRouter(Router);
  });
  m_Events.at(m_Faults.m_To, [this] {
    m_StoreSlowdown = 1;
    for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine)
      if (!m_EngineUp[Engine])
        startEngine(Engine);
    m_RouterUp.assign(m_RouterUp.size(), true);
  });
}

} // namespace sff::bench
