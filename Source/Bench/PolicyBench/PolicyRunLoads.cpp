#include "PolicyRun.h"

#include <algorithm>
#include <cmath>

namespace sff::bench {
namespace {

constexpr double EngineRestartSeconds = 20;
/// How long weights stay in host memory and on local disk after their last use.
constexpr double MemoryRetentionSeconds = 600;
constexpr double DiskRetentionSeconds = 2 * 3600;
constexpr double MemoryBytesPerSecond = 40e9;
constexpr double DiskBytesPerSecond = 15e9;
constexpr double RemoteBytesPerSecond = 10e9;
/// How long an estimate of timeToReady() is reused.
constexpr double ReadyCacheTtlSeconds = 0.05;

} // namespace

int PolicyRun::engineForSlot(int Entry, int Slot) const {
  const int Base = m_Trace.m_Entries[Entry].m_BaseIndex;
  const int First =
      m_Trace.m_Entries[Base >= 0 ? Base : Entry].m_PreferredEngine;
  // An adapter follows its base, which after a fault may be loaded on another
  // engine than its preferred one.
  for (const auto &[Key, Item] : m_Replicas)
    if (Base >= 0 && Key.second == Base && !m_Policy.m_UncoordinatedLoading)
      return Key.first;
  const int Engine = (First + Slot) % m_Deployment.m_Engines;
  if (m_EngineUp[Engine])
    return Engine;
  // Distributes the replicas of a failed engine over all running engines.
  std::vector<int> RunningEngines;
  for (int Other = 0; Other < m_Deployment.m_Engines; ++Other)
    if (m_EngineUp[Other])
      RunningEngines.push_back(Other);
  const std::size_t Key = static_cast<std::size_t>(Base >= 0 ? Base : Entry);
  return RunningEngines[(Key / m_Deployment.m_Engines + Slot) %
                        RunningEngines.size()];
}

std::size_t PolicyRun::waitingCount(int Entry) const {
  std::size_t Count = 0;
  for (const auto &Queues : m_Queues)
    Count += Queues[Entry].size();
  return Count;
}

loading::WeightLocation PolicyRun::weightLocation(int Engine, int Entry) const {
  const auto Found = m_WeightsLastUsed.find({Engine, Entry});
  const double Age =
      Found == m_WeightsLastUsed.end() ? 1e9 : m_Events.now() - Found->second;
  if (Age > DiskRetentionSeconds)
    return loading::WeightLocation::Remote;
  return Age < MemoryRetentionSeconds ? loading::WeightLocation::Memory
                                      : loading::WeightLocation::Disk;
}

double PolicyRun::expectedLoadSeconds(int Engine, int Entry) const {
  const double Bytes = m_Trace.m_Entries[Entry].m_Bytes;
  switch (weightLocation(Engine, Entry)) {
  case loading::WeightLocation::Memory:
    return Bytes / MemoryBytesPerSecond;
  case loading::WeightLocation::Disk:
    return Bytes / DiskBytesPerSecond;
  default:
    return m_EstimatedSlowdown * m_Deployment.m_StoreParallelLoads /
               m_Deployment.m_StoreLoadsPerSecond +
           Bytes / RemoteBytesPerSecond;
  }
}

void PolicyRun::updateDemand(int Entry) {
  std::size_t Waiting = waitingCount(Entry);
  Instant Deadline = Instant::max();
  Instant Promised;
  const auto AddQueues = [&](int Index) {
    for (const auto &Queues : m_Queues) {
      if (const auto At = Queues[Index].earliestDeadline())
        Deadline = std::min(Deadline, *At);
      Promised = std::max(Promised, Queues[Index].reservedUntil());
    }
  };
  AddQueues(Entry);
  for (const int Adapter : m_AdaptersByBase[Entry]) {
    AddQueues(Adapter);
    Waiting += waitingCount(Adapter);
  }
  // Refused callers are expected to retry, so the entry still has demand.
  if (Waiting == 0 && Promised > clock()) {
    Waiting = 1;
    Deadline = Promised;
  }
  updateLoadDemand(Entry, Waiting, Deadline);
  if (const int Base = m_Trace.m_Entries[Entry].m_BaseIndex; Base >= 0)
    updateDemand(Base);
}

void PolicyRun::updateLoadDemand(int Entry, std::size_t Waiting,
                                 Instant Deadline) {
  const auto &Spec = m_Trace.m_Entries[Entry];
  int ReplicaCount = 0;
  bool Ready = false;
  for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine) {
    const Replica *Item = find(Engine, Entry);
    ReplicaCount += Item != nullptr;
    Ready = Ready || (Item && Item->m_IsReady);
  }
  const int Needed = std::min<int>(
      Spec.m_ReplicaCount,
      static_cast<int>(Waiting + SlotsPerReplica - 1) / SlotsPerReplica);
  const int SlotCount = m_Policy.m_UncoordinatedLoading ? m_Deployment.m_Routers
                                                        : Spec.m_ReplicaCount;
  std::set<int> Wanted;
  for (int Slot = 0; Slot < SlotCount; ++Slot) {
    const int Engine = engineForSlot(Entry, Slot);
    bool ShouldLoad = ReplicaCount + static_cast<int>(Wanted.size()) < Needed;
    if (m_Policy.m_UncoordinatedLoading) {
      ShouldLoad = !Ready && !m_Queues[Slot][Entry].empty();
      for (const int Adapter : m_AdaptersByBase[Entry])
        ShouldLoad = ShouldLoad ||
                     (!find(Engine, Entry) && !m_Queues[Slot][Adapter].empty());
    }
    if (ShouldLoad && !find(Engine, Entry))
      Wanted.insert(Engine);
  }
  for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine) {
    if (!Wanted.contains(Engine)) {
      m_LoadScheduler.remove(engineId(Engine), Spec.m_Name);
      m_DemandSince.erase({Engine, Entry});
      continue;
    }
    const Replica *Base = find(Engine, Spec.m_BaseIndex);
    m_DemandSince.try_emplace({Engine, Entry}, m_Events.now());
    m_LoadScheduler.update(
        {engineId(Engine), Spec.m_Name, static_cast<std::int64_t>(Waiting),
         Spec.m_Class, Deadline, weightLocation(Engine, Entry),
         expectedLoadSeconds(Engine, Entry), Base && Base->m_IsReady});
  }
}

std::vector<loading::LoadDemand> PolicyRun::orderedDemands() {
  auto List = m_LoadScheduler.ordered(clock());
  if (!m_Policy.m_FifoLoading && !m_Policy.m_UncoordinatedLoading)
    return List;
  const auto Since = [&](const loading::LoadDemand &Demand) {
    return m_DemandSince.at(
        {std::stoi(Demand.m_Endpoint.str()), entryIndex(Demand.m_Entry)});
  };
  std::stable_sort(List.begin(), List.end(), [&](const auto &A, const auto &B) {
    return Since(A) < Since(B);
  });
  return List;
}

void PolicyRun::startLoads() {
  for (const auto &Demand : orderedDemands()) {
    const int Engine = std::stoi(Demand.m_Endpoint.str());
    const int Entry = entryIndex(Demand.m_Entry);
    const int Base = m_Trace.m_Entries[Entry].m_BaseIndex;
    // An engine loads one entry at a time, and an adapter only after its base.
    // An earlier iteration may have evicted the base to free memory.
    const Replica *BaseItem = find(Engine, Base);
    if (m_EngineLoading[Engine] || find(Engine, Entry) ||
        (Base >= 0 && !(BaseItem && BaseItem->m_IsReady)))
      continue;
    if (!startLoad(Demand, Engine, Entry))
      continue;
    m_LoadScheduler.remove(Demand.m_Endpoint, Demand.m_Entry);
    m_DemandSince.erase({Engine, Entry});
  }
}

bool PolicyRun::startLoad(const loading::LoadDemand &Demand, int Engine,
                          int Entry) {
  const double Bytes = m_Trace.m_Entries[Entry].m_Bytes;
  if (!freeMemory(Engine, Bytes, m_Trace.m_Entries[Entry].m_BaseIndex))
    return false;
  const bool Remote =
      weightLocation(Engine, Entry) == loading::WeightLocation::Remote;
  if (Remote && !m_Policy.m_UncoordinatedLoading) {
    const auto Wait = m_LoadPermits.tryAcquire(clock());
    if (Wait.count() > 0) {
      const double At =
          m_Events.now() + static_cast<double>(Wait.count()) / 1000;
      if (m_NextLoadAttempt <= m_Events.now()) {
        m_NextLoadAttempt = At;
        m_Events.scheduleAt(At, [this] { startLoads(); });
      }
      return false;
    }
  }
  double Seconds = expectedLoadSeconds(Engine, Entry);
  if (Remote) {
    ++m_RunningStoreLoads;
    const double FullSpeedSeconds =
        m_Deployment.m_StoreParallelLoads / m_Deployment.m_StoreLoadsPerSecond;
    const double Slowdown =
        m_StoreSlowdown *
        std::max(1.0, m_RunningStoreLoads / m_Deployment.m_StoreParallelLoads);
    Seconds += FullSpeedSeconds * (Slowdown - m_EstimatedSlowdown);
    // Later estimates use the slowdown of the latest loads.
    m_EstimatedSlowdown += 0.3 * (Slowdown - m_EstimatedSlowdown);
    m_Events.scheduleAfter(FullSpeedSeconds * Slowdown,
                           [this] { --m_RunningStoreLoads; });
  }
  Replica &Item = m_Replicas[{Engine, Entry}];
  Item.m_Generation = ++m_LastGeneration;
  Item.m_LoadEndTime = m_Events.now() + Seconds;
  m_UsedBytes[Engine] += Bytes;
  m_EngineLoading[Engine] = true;
  m_ReadyCache.assign(m_ReadyCache.size(), {-1, 0});
  ++m_Result.m_LoadCount;
  ++m_LoadsSinceCold[Entry];
  int ReplicaCount = 0;
  for (int Other = 0; Other < m_Deployment.m_Engines; ++Other)
    ReplicaCount += find(Other, Entry) != nullptr;
  m_Result.m_SurplusLoadCount +=
      ReplicaCount > 1 &&
      (ReplicaCount > m_Trace.m_Entries[Entry].m_ReplicaCount ||
       static_cast<std::int64_t>(ReplicaCount - 1) * SlotsPerReplica >=
           Demand.m_Waiting);
  m_Events.scheduleAfter(Seconds, [=, this, Generation = Item.m_Generation] {
    onLoaded(Engine, Entry, Generation);
  });
  return true;
}

void PolicyRun::onLoaded(int Engine, int Entry, std::uint64_t Generation) {
  Replica *Item = find(Engine, Entry);
  if (!Item || Item->m_Generation != Generation)
    return;
  Item->m_IsReady = true;
  Item->m_IdleSince = m_Events.now();
  m_EngineLoading[Engine] = false;
  m_WeightsLastUsed[{Engine, Entry}] = m_Events.now();
  m_ReadyCache.assign(m_ReadyCache.size(), {-1, 0});
  dispatch(Entry);
  updateDemand(Entry);
  for (const int Adapter : m_AdaptersByBase[Entry])
    updateDemand(Adapter);
  startLoads();
}

/// Estimates the seconds until a replica of the entry is loaded, assuming that
/// loads start in the order of orderedDemands().
double PolicyRun::timeToReady(int Entry) {
  auto &[ValidUntil, ReadyAt] = m_ReadyCache[Entry];
  const double Now = m_Events.now();
  if (Now < ValidUntil)
    return std::max(0.001, ReadyAt - Now);
  std::vector<double> EngineFreeAt(m_Deployment.m_Engines, Now);
  std::map<std::pair<int, int>, double> ReplicaReadyAt;
  for (const auto &[Key, Item] : m_Replicas) {
    ReplicaReadyAt[Key] = Item.m_IsReady ? Now : Item.m_LoadEndTime;
    EngineFreeAt[Key.first] =
        std::max(EngineFreeAt[Key.first], ReplicaReadyAt[Key]);
  }
  double NextPermitAt = std::max(Now, m_NextLoadAttempt);
  const auto ScheduleLoad = [&](int Engine, int Index) {
    const int Base = m_Trace.m_Entries[Index].m_BaseIndex;
    double Start = EngineFreeAt[Engine];
    if (weightLocation(Engine, Index) == loading::WeightLocation::Remote) {
      Start = std::max(Start, NextPermitAt);
      NextPermitAt += 1 / m_Deployment.m_StoreLoadsPerSecond;
    }
    const auto Found = ReplicaReadyAt.find({Engine, Base});
    if (Base >= 0)
      Start = Found != ReplicaReadyAt.end()
                  ? std::max(Start, Found->second)
                  : Start + expectedLoadSeconds(Engine, Base);
    EngineFreeAt[Engine] = Start + expectedLoadSeconds(Engine, Index);
    ReplicaReadyAt[{Engine, Index}] = EngineFreeAt[Engine];
  };
  for (const auto &Demand : orderedDemands())
    ScheduleLoad(std::stoi(Demand.m_Endpoint.str()),
                 entryIndex(Demand.m_Entry));
  const auto EarliestReadyAt = [&] {
    double At = 1e12;
    for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine)
      if (const auto Found = ReplicaReadyAt.find({Engine, Entry});
          Found != ReplicaReadyAt.end())
        At = std::min(At, Found->second);
    return At;
  };
  if (EarliestReadyAt() > 1e11)
    ScheduleLoad(engineForSlot(Entry, 0), Entry);
  ReadyAt = EarliestReadyAt();
  ValidUntil = Now + ReadyCacheTtlSeconds;
  return std::max(0.001, ReadyAt - Now);
}

std::vector<loading::LoadedReplica>
PolicyRun::loadedReplicas(int Engine, bool WithAdapters) const {
  std::vector<loading::LoadedReplica> List;
  for (auto Item = m_Replicas.lower_bound({Engine, 0});
       Item != m_Replicas.end() && Item->first.first == Engine; ++Item) {
    const int Entry = Item->first.second;
    const auto &Spec = m_Trace.m_Entries[Entry];
    bool Busy = !Item->second.m_IsReady || Item->second.m_RunningCount > 0 ||
                waitingCount(Entry) > 0;
    double Bytes = Spec.m_Bytes;
    for (const int Adapter : m_AdaptersByBase[Entry]) {
      const auto Found = m_Replicas.find({Engine, Adapter});
      if (Found == m_Replicas.end())
        continue;
      // To free memory, a base is unloaded together with its idle adapters.
      Busy = Busy || !WithAdapters || !Found->second.m_IsReady;
      Bytes += m_Trace.m_Entries[Adapter].m_Bytes;
    }
    for (const int Adapter : m_AdaptersByBase[Entry])
      Busy = Busy || waitingCount(Adapter) > 0;
    loading::LoadedReplica Loaded;
    Loaded.m_Entry = Spec.m_Name;
    Loaded.m_Bytes = static_cast<std::int64_t>(Bytes);
    Loaded.m_ReloadSeconds = Spec.m_Bytes / DiskBytesPerSecond;
    Loaded.m_Class = Spec.m_Class;
    Loaded.m_Busy = Busy;
    Loaded.m_AcceleratorShare = Spec.m_Bytes / AcceleratorBytes;
    List.push_back(Loaded);
  }
  return List;
}

bool PolicyRun::freeMemory(int Engine, double Bytes, int BaseToKeep) {
  const double MissingBytes = m_UsedBytes[Engine] + Bytes - EngineBytes;
  if (MissingBytes <= 0)
    return true;
  auto List = loadedReplicas(Engine, true);
  std::erase_if(List, [&](const auto &Item) {
    return entryIndex(Item.m_Entry) == BaseToKeep;
  });
  std::vector<EntryName> Victims;
  if (m_Policy.m_Eviction == Eviction::Weighted) {
    Victims = m_EvictionPolicy.chooseVictims(
        List, static_cast<std::int64_t>(MissingBytes) + 1, clock());
  } else {
    std::erase_if(List, [](const auto &Item) { return Item.m_Busy; });
    std::sort(List.begin(), List.end(), [&](const auto &A, const auto &B) {
      return find(Engine, entryIndex(A.m_Entry))->m_IdleSince <
             find(Engine, entryIndex(B.m_Entry))->m_IdleSince;
    });
    double FreedBytes = 0;
    for (const auto &Item : List) {
      if (FreedBytes >= MissingBytes)
        break;
      FreedBytes += static_cast<double>(Item.m_Bytes);
      Victims.push_back(Item.m_Entry);
    }
    if (FreedBytes < MissingBytes)
      return false;
  }
  for (const EntryName &Name : Victims)
    unload(Engine, entryIndex(Name));
  return !Victims.empty();
}

void PolicyRun::evictIdle() {
  for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine) {
    const auto List = loadedReplicas(Engine, false);
    if (m_Policy.m_Eviction == Eviction::Weighted)
      for (const EntryName &Name : m_EvictionPolicy.chooseIdle(List, clock()))
        unload(Engine, entryIndex(Name));
    if (m_Policy.m_Eviction != Eviction::IdleTimeout)
      continue;
    for (const auto &Item : List) {
      const int Entry = entryIndex(Item.m_Entry);
      if (!Item.m_Busy && m_Events.now() - find(Engine, Entry)->m_IdleSince >=
                              m_Policy.m_IdleTimeoutSeconds)
        unload(Engine, Entry);
    }
  }
  startLoads();
  m_Events.scheduleAfter(EvictionIntervalSeconds, [this] { evictIdle(); });
}

void PolicyRun::addIdleTime(Replica &Item, int Entry) {
  if (!Item.m_IsReady || Item.m_RunningCount > 0)
    return;
  m_Result.m_IdleAcceleratorHours += (m_Events.now() - Item.m_IdleSince) /
                                     3600 * m_Trace.m_Entries[Entry].m_Bytes /
                                     AcceleratorBytes;
  Item.m_IdleSince = m_Events.now();
}

void PolicyRun::unload(int Engine, int Entry) {
  for (const int Adapter : m_AdaptersByBase[Entry])
    if (find(Engine, Adapter))
      unload(Engine, Adapter);
  Replica *Item = find(Engine, Entry);
  if (!Item)
    return;
  addIdleTime(*Item, Entry);
  if (Item->m_IsReady)
    m_WeightsLastUsed[{Engine, Entry}] = m_Events.now();
  m_UsedBytes[Engine] -= m_Trace.m_Entries[Entry].m_Bytes;
  m_Replicas.erase({Engine, Entry});
  for (int Other = 0; Other < m_Deployment.m_Engines; ++Other)
    if (find(Other, Entry))
      return;
  const auto &Spec = m_Trace.m_Entries[Entry];
  if (Spec.m_ReplicaCount == 1 && m_LoadsSinceCold[Entry] > 0)
    m_Result.m_LoadsPerActivation.push_back(m_LoadsSinceCold[Entry]);
  m_LoadsSinceCold[Entry] = 0;
}

void PolicyRun::stopEngine(int Engine) {
  if (!m_EngineUp[Engine] ||
      std::count(m_EngineUp.begin(), m_EngineUp.end(), true) == 1)
    return;
  m_EngineUp[Engine] = false;
  m_EngineLoading[Engine] = false;
  std::vector<std::size_t> Interrupted;
  std::vector<int> Entries;
  for (auto &[Key, Item] : m_Replicas) {
    if (Key.first != Engine)
      continue;
    Interrupted.insert(Interrupted.end(), Item.m_RunningRequests.begin(),
                       Item.m_RunningRequests.end());
    Entries.push_back(Key.second);
  }
  for (const int Entry : Entries)
    unload(Engine, Entry);
  std::erase_if(m_WeightsLastUsed,
                [&](const auto &Item) { return Item.first.first == Engine; });
  for (const std::size_t Index : Interrupted) {
    RequestState &Item = m_RequestStates[Index];
    // The first token may have been sent, but not the complete response.
    admission::Waiting Retry;
    Retry.m_Request = RequestId(std::to_string(Index));
    Retry.m_Class = Item.m_Request.m_Class;
    Retry.m_Arrival = clock();
    Retry.m_Deadline = clock(Item.m_Submission.m_SubmitTime +
                             Item.m_Request.m_DeadlineSeconds);
    Retry.m_KeptRetryTime = true;
    const int Entry = Item.m_Request.m_Entry;
    if (!m_RetryBudgets[Item.m_Router].tryRetry(Retry.m_Class) ||
        m_Queues[Item.m_Router][Entry].offer(
            Retry, estimateCapacity(Item.m_Router, Entry), clock())) {
      recordOutcome(Item, SubmissionOutcome::Unknown);
      continue;
    }
    scheduleQueueCheck(Item.m_Router, Entry);
  }
  const int Count = static_cast<int>(m_Trace.m_Entries.size());
  for (int Entry = 0; Entry < Count; ++Entry)
    updateDemand(Entry);
  startLoads();
}

void PolicyRun::startEngine(int Engine) { m_EngineUp[Engine] = true; }

void PolicyRun::stopRouter(int Router) {
  m_RouterUp[Router] = false;
  for (auto &Queue : m_Queues[Router])
    while (const auto Item = Queue.takeNext(Instant{}))
      recordOutcome(m_RequestStates[std::stoul(Item->m_Request.str())],
                    SubmissionOutcome::RouterLost);
}

void PolicyRun::scheduleFailure(int Engine) {
  const double Mean = m_Faults.m_EngineMtbfSeconds;
  const double At = std::exponential_distribution<double>(1 / Mean)(m_Random);
  m_Events.scheduleAfter(At, [this, Engine] {
    stopEngine(Engine);
    m_Events.scheduleAfter(EngineRestartSeconds, [this, Engine] {
      startEngine(Engine);
      scheduleFailure(Engine);
    });
  });
}

void PolicyRun::scheduleFaults() {
  if (m_Faults.m_EngineMtbfSeconds > 0)
    for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine)
      scheduleFailure(Engine);
  if (m_Faults.m_EndSeconds <= m_Faults.m_StartSeconds)
    return;
  m_Events.scheduleAt(m_Faults.m_StartSeconds, [this] {
    m_StoreSlowdown = m_Faults.m_StoreSlowdown;
    for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine)
      if ((m_Faults.m_HalfOfEnginesReclaimed && Engine % 2 == 0) ||
          (m_Faults.m_ZoneLost && Engine % m_Deployment.m_Zones == 0))
        stopEngine(Engine);
    for (int Router = 0; m_Faults.m_ZoneLost && Router < m_Deployment.m_Routers;
         Router += m_Deployment.m_Zones)
      stopRouter(Router);
  });
  m_Events.scheduleAt(m_Faults.m_EndSeconds, [this] {
    m_StoreSlowdown = 1;
    for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine)
      if (!m_EngineUp[Engine])
        startEngine(Engine);
    m_RouterUp.assign(m_RouterUp.size(), true);
  });
}

} // namespace sff::bench
