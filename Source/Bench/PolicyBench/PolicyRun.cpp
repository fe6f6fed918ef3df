#include "PolicyRun.h"

#include <algorithm>
#include <cmath>

namespace sff::bench {
namespace {

/// From dispatch to the first token.
constexpr double PrefillSeconds = 0.15;
constexpr double CheckSeconds = 0.1;

std::chrono::nanoseconds toDuration(double Seconds) {
  return std::chrono::nanoseconds(std::llround(Seconds * 1e9));
}

} // namespace

PolicyRun::PolicyRun(const Deployment &Where, const Trace &Work,
                     const Policies &Choice, const Faults &Broken,
                     std::uint64_t Seed)
    : m_Where(Where), m_Work(Work), m_Choice(Choice), m_Faults(Broken),
      m_Random(Seed), m_Permits(Where.m_StoreRate, Where.m_StoreParallel, 0.1),
      m_Evictions({Choice.m_Weight, 3}) {
  const std::size_t Entries = Work.m_Entries.size();
  m_Queues.assign(Where.m_Routers, std::vector<admission::AdmissionQueue>(
                                       Entries, admission::AdmissionQueue(64)));
  m_Budgets.assign(Where.m_Routers, retry::RetryBudget(Choice.m_RetryRatio,
                                                       Choice.m_RetryBurst));
  m_Adapters.resize(Entries);
  m_WakeLoads.assign(Entries, 0);
  m_ReadyCache.assign(Entries, {-1, 0});
  m_UsedBytes.assign(Where.m_Engines, 0);
  m_EngineUp.assign(Where.m_Engines, true);
  m_EngineLoading.assign(Where.m_Engines, false);
  m_RouterUp.assign(Where.m_Routers, true);
  for (std::size_t Index = 0; Index < Entries; ++Index) {
    const Entry &Item = Work.m_Entries[Index];
    if (Item.m_Base >= 0)
      m_Adapters[Item.m_Base].push_back(static_cast<int>(Index));
    // Weights are cached unevenly from the start.
    if (Index % 3 == 0)
      m_OnDisk[{Item.m_Home, Index}] = -600;
  }
}

RunResult PolicyRun::run() {
  m_Jobs.reserve(m_Work.m_Requests.size());
  for (const Request &Item : m_Work.m_Requests) {
    const std::size_t Index = m_Jobs.size();
    m_Jobs.emplace_back().m_Request = Item;
    m_Events.at(Item.m_At, [this, Index] { offer(Index, false); });
  }
  m_Events.after(EvictionSeconds, [this] { evictIdle(); });
  scheduleFaults();
  // Two minutes more let every waiting request meet its end.
  m_Events.run(m_Work.m_Seconds + 130);
  for (auto &[Key, Item] : m_Replicas)
    countIdle(Item, Key.second);
  for (const Job &Item : m_Jobs)
    m_Result.m_Unanswered += Item.m_Open;
  return std::move(m_Result);
}

Instant PolicyRun::clock(double Time) const {
  return Instant(std::chrono::hours(1)) + toDuration(Time);
}

EndpointId PolicyRun::engineId(int Engine) {
  return EndpointId(std::to_string(Engine));
}

int PolicyRun::entryOf(const EntryName &Name) const {
  return std::stoi(Name.str().substr(1)) - 1000;
}

PolicyRun::Replica *PolicyRun::find(int Engine, int Entry) {
  const auto Found = m_Replicas.find({Engine, Entry});
  return Found == m_Replicas.end() ? nullptr : &Found->second;
}

int PolicyRun::pickRouter() {
  int Router = static_cast<int>(m_Random() % m_Where.m_Routers);
  while (!m_RouterUp[Router])
    Router = (Router + 1) % m_Where.m_Routers;
  return Router;
}

void PolicyRun::offer(std::size_t Index, bool Comeback) {
  Job &Item = m_Jobs[Index];
  const int Entry = Item.m_Request.m_Entry;
  const double Now = m_Events.now();
  Item.m_Router = pickRouter();
  Item.m_Open = true;
  Item.m_Offer = {};
  Item.m_Offer.m_Class = Item.m_Request.m_Class;
  Item.m_Offer.m_At = Now;
  Item.m_Offer.m_Patience = Item.m_Request.m_Patience;
  Item.m_Offer.m_Comeback = Comeback;
  m_Evictions.onRequest(m_Work.m_Entries[Entry].m_Name, clock());
  if (const int Base = m_Work.m_Entries[Entry].m_Base; Base >= 0)
    m_Evictions.onRequest(m_Work.m_Entries[Base].m_Name, clock());
  m_Budgets[Item.m_Router].onRequest(Item.m_Request.m_Class);
  const auto Capacity = capacity(Item.m_Router, Entry);
  Item.m_Offer.m_Cold = Capacity.m_ReadyIn.count() > 0;
  admission::Waiting Waiting;
  Waiting.m_Request = RequestId(std::to_string(Index));
  Waiting.m_Class = Item.m_Request.m_Class;
  Waiting.m_Arrival = clock();
  Waiting.m_Deadline = clock(Now + Item.m_Request.m_Patience - PrefillSeconds);
  Waiting.m_KeptRetryTime = Comeback && m_Choice.m_MarkedRetries;
  auto &Queue = m_Queues[Item.m_Router][Entry];
  const auto Refused = Queue.offer(Waiting, Capacity, clock());
  Item.m_Offer.m_Admitted = !Refused;
  refuseRemoved(Item.m_Router, Entry);
  if (Refused)
    refuse(Index, Refused->m_RetryAfter);
  dispatch(Entry);
  updateDemand(Entry);
  startLoads();
  scheduleCheck(Item.m_Router, Entry);
}

void PolicyRun::refuse(std::size_t Index, milliseconds RetryAfter) {
  Job &Item = m_Jobs[Index];
  const bool First = !Item.m_Offer.m_Comeback;
  finish(Item, Kind::Refused);
  // A caller comes back once, within 50 ms of the time that it was told.
  const double Back = m_Events.now() +
                      static_cast<double>(RetryAfter.count()) / 1000 +
                      static_cast<double>(m_Random() % 50) / 1000;
  if (First && Back < m_Work.m_Seconds)
    m_Events.at(Back, [this, Index] { offer(Index, true); });
}

void PolicyRun::finish(Job &Item, Kind How) {
  if (!Item.m_Open)
    return;
  Item.m_Open = false;
  Item.m_Offer.m_Kind = How;
  if (How != Kind::Answered)
    Item.m_Offer.m_After = m_Events.now() - Item.m_Offer.m_At;
  m_Result.m_Offers.push_back(Item.m_Offer);
}

void PolicyRun::refuseRemoved(int Router, int Entry) {
  auto &Queue = m_Queues[Router][Entry];
  const auto Capacity = capacity(Router, Entry);
  auto Removed = Queue.takeExpired(Capacity, clock());
  for (auto &Item : Queue.takeDisplaced())
    Removed.push_back(Item);
  for (const auto &Item : Removed)
    refuse(std::stoul(Item.m_Request.str()),
           Queue.promiseRetry(Item.m_Class, Capacity, clock()));
}

void PolicyRun::scheduleCheck(int Router, int Entry) {
  if (m_Queues[Router][Entry].empty() ||
      !m_Checks.insert({Router, Entry}).second)
    return;
  m_Events.after(CheckSeconds, [this, Router, Entry] { check(Router, Entry); });
}

void PolicyRun::check(int Router, int Entry) {
  m_Checks.erase({Router, Entry});
  refuseRemoved(Router, Entry);
  updateDemand(Entry);
  scheduleCheck(Router, Entry);
}

admission::CapacityEstimate PolicyRun::capacity(int Router, int Entry) {
  int Ready = 0;
  for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine)
    if (const Replica *Item = find(Engine, Entry))
      Ready += Item->m_Ready;
  int Active = 1;
  for (int Other = 0; Other < m_Where.m_Routers; ++Other)
    Active += Other != Router && !m_Queues[Other][Entry].empty();
  const double Wait = Ready > 0 ? 0 : readyIn(Entry);
  return {toDuration(Wait),
          std::max(1, SlotsPerReplica * std::max(Ready, 1) / Active)};
}

void PolicyRun::dispatch(int Entry) {
  while (true) {
    int Best = -1;
    for (int Engine = 0; Engine < m_Where.m_Engines; ++Engine) {
      const Replica *Item = find(Engine, Entry);
      if (Item && Item->m_Ready && Item->m_Running < SlotsPerReplica &&
          (Best < 0 || Item->m_Running < find(Best, Entry)->m_Running))
        Best = Engine;
    }
    if (Best < 0)
      return;
    // As a lender that knows the class of each router's next request.
    const int First = static_cast<int>(m_Random() % m_Where.m_Routers);
    admission::AdmissionQueue *Chosen = nullptr;
    for (int Step = 0; Step < m_Where.m_Routers; ++Step) {
      auto &Queue = m_Queues[(First + Step) % m_Where.m_Routers][Entry];
      const admission::Waiting *Head = Queue.peekNext(clock());
      if (Head &&
          (!Chosen || Head->m_Class < Chosen->peekNext(clock())->m_Class))
        Chosen = &Queue;
    }
    const auto Next = Chosen ? Chosen->takeNext(clock()) : std::nullopt;
    if (!Next)
      return;
    start(Best, Entry, std::stoul(Next->m_Request.str()));
  }
}

void PolicyRun::start(int Engine, int Entry, std::size_t Index) {
  Job &Item = m_Jobs[Index];
  ++Item.m_Attempts;
  ++m_Result.m_Dispatches;
  const int Base = m_Work.m_Entries[Entry].m_Base;
  for (const int Used : {Entry, Base}) {
    if (Used < 0)
      continue;
    Replica &Home = m_Replicas.at({Engine, Used});
    countIdle(Home, Used);
    ++Home.m_Running;
  }
  Replica &Home = m_Replicas.at({Engine, Entry});
  Home.m_Jobs.insert(Index);
  Item.m_Offer.m_After = m_Events.now() + PrefillSeconds - Item.m_Offer.m_At;
  m_Events.after(Item.m_Request.m_Service,
                 [=, this, Generation = Home.m_Generation] {
                   end(Engine, Entry, Index, Generation);
                 });
}

void PolicyRun::end(int Engine, int Entry, std::size_t Index,
                    std::uint64_t Generation) {
  Replica *Home = find(Engine, Entry);
  if (!Home || Home->m_Generation != Generation)
    return;
  Home->m_Jobs.erase(Index);
  for (const int Used : {Entry, m_Work.m_Entries[Entry].m_Base}) {
    if (Used < 0)
      continue;
    Replica &Item = m_Replicas.at({Engine, Used});
    if (--Item.m_Running == 0)
      Item.m_IdleSince = m_Events.now();
  }
  Job &Item = m_Jobs[Index];
  m_Queues[Item.m_Router][Entry].onServed(Item.m_Request.m_Class,
                                          toDuration(Item.m_Request.m_Service));
  finish(Item, Kind::Answered);
  dispatch(Entry);
  updateDemand(Entry);
}

} // namespace sff::bench
