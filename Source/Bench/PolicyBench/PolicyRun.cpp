#include "PolicyRun.h"

#include <algorithm>
#include <cmath>

namespace sff::bench {
namespace {

/// Time from dispatch to the first token.
constexpr double PrefillSeconds = 0.15;
constexpr double QueueCheckIntervalSeconds = 0.1;

std::chrono::nanoseconds toDuration(double Seconds) {
  return std::chrono::nanoseconds(std::llround(Seconds * 1e9));
}

} // namespace

PolicyRun::PolicyRun(const DeploymentSpec &Deployment, const Trace &InputTrace,
                     const PolicyOptions &Policy, const FaultPlan &Faults,
                     std::uint64_t Seed)
    : m_Deployment(Deployment), m_Trace(InputTrace), m_Policy(Policy),
      m_Faults(Faults), m_Random(Seed),
      m_LoadPermits(Deployment.m_StoreLoadsPerSecond,
                    Deployment.m_StoreParallelLoads, 0.1),
      m_EvictionPolicy({Policy.m_ColdStartWeight, 3}) {
  const std::size_t Entries = InputTrace.m_Entries.size();
  m_Queues.assign(Deployment.m_Routers,
                  std::vector<admission::AdmissionQueue>(
                      Entries, admission::AdmissionQueue(64)));
  m_RetryBudgets.assign(
      Deployment.m_Routers,
      retry::RetryBudget(Policy.m_RetryRatio, Policy.m_RetryBurst));
  m_AdaptersByBase.resize(Entries);
  m_LoadsSinceCold.assign(Entries, 0);
  m_ReadyCache.assign(Entries, {-1, 0});
  m_UsedBytes.assign(Deployment.m_Engines, 0);
  m_EngineUp.assign(Deployment.m_Engines, true);
  m_EngineLoading.assign(Deployment.m_Engines, false);
  m_RouterUp.assign(Deployment.m_Routers, true);
  for (std::size_t Index = 0; Index < Entries; ++Index) {
    const TraceEntry &Item = InputTrace.m_Entries[Index];
    if (Item.m_BaseIndex >= 0)
      m_AdaptersByBase[Item.m_BaseIndex].push_back(static_cast<int>(Index));
    // Every third entry starts with its weights on the local disk of its first
    // engine, so that the initial caches are uneven.
    if (Index % 3 == 0)
      m_WeightsLastUsed[{Item.m_PreferredEngine, Index}] = -600;
  }
}

RunResult PolicyRun::run() {
  m_RequestStates.reserve(m_Trace.m_Requests.size());
  for (const TraceRequest &Item : m_Trace.m_Requests) {
    const std::size_t Index = m_RequestStates.size();
    m_RequestStates.emplace_back().m_Request = Item;
    m_Events.scheduleAt(Item.m_ArrivalTime,
                        [this, Index] { submit(Index, false); });
  }
  m_Events.scheduleAfter(EvictionIntervalSeconds, [this] { evictIdle(); });
  scheduleFaults();
  // Continues past the end of the trace, so that each waiting request is served
  // or reaches its deadline, which is at most two minutes away.
  m_Events.run(m_Trace.m_DurationSeconds + 130);
  for (auto &[Key, Item] : m_Replicas)
    addIdleTime(Item, Key.second);
  for (const RequestState &Item : m_RequestStates)
    m_Result.m_UnansweredCount += Item.m_IsPending;
  return std::move(m_Result);
}

Instant PolicyRun::clock(double Time) const {
  return Instant(std::chrono::hours(1)) + toDuration(Time);
}

EndpointId PolicyRun::engineId(int Engine) {
  return EndpointId(std::to_string(Engine));
}

int PolicyRun::entryIndex(const EntryName &Name) const {
  return std::stoi(Name.str().substr(1)) - 1000;
}

PolicyRun::Replica *PolicyRun::find(int Engine, int Entry) {
  const auto Found = m_Replicas.find({Engine, Entry});
  return Found == m_Replicas.end() ? nullptr : &Found->second;
}

int PolicyRun::pickRouter() {
  int Router = static_cast<int>(m_Random() % m_Deployment.m_Routers);
  while (!m_RouterUp[Router])
    Router = (Router + 1) % m_Deployment.m_Routers;
  return Router;
}

void PolicyRun::submit(std::size_t Index, bool IsRetry) {
  RequestState &Item = m_RequestStates[Index];
  const int Entry = Item.m_Request.m_Entry;
  const double Now = m_Events.now();
  Item.m_Router = pickRouter();
  Item.m_IsPending = true;
  Item.m_Submission = {};
  Item.m_Submission.m_Class = Item.m_Request.m_Class;
  Item.m_Submission.m_SubmitTime = Now;
  Item.m_Submission.m_DeadlineSeconds = Item.m_Request.m_DeadlineSeconds;
  Item.m_Submission.m_IsRetry = IsRetry;
  m_EvictionPolicy.onRequest(m_Trace.m_Entries[Entry].m_Name, clock());
  if (const int Base = m_Trace.m_Entries[Entry].m_BaseIndex; Base >= 0)
    m_EvictionPolicy.onRequest(m_Trace.m_Entries[Base].m_Name, clock());
  m_RetryBudgets[Item.m_Router].onRequest(Item.m_Request.m_Class);
  const auto Capacity = estimateCapacity(Item.m_Router, Entry);
  Item.m_Submission.m_IsCold = Capacity.m_ReadyIn.count() > 0;
  admission::Waiting Waiting;
  Waiting.m_Request = RequestId(std::to_string(Index));
  Waiting.m_Class = Item.m_Request.m_Class;
  Waiting.m_Arrival = clock();
  Waiting.m_Deadline =
      clock(Now + Item.m_Request.m_DeadlineSeconds - PrefillSeconds);
  Waiting.m_KeptRetryTime = IsRetry && m_Policy.m_MarkRetries;
  auto &Queue = m_Queues[Item.m_Router][Entry];
  const auto Refusal = Queue.offer(Waiting, Capacity, clock());
  Item.m_Submission.m_IsAdmitted = !Refusal;
  refuseExpiredAndDisplaced(Item.m_Router, Entry);
  if (Refusal)
    refuse(Index, Refusal->m_RetryAfter);
  dispatch(Entry);
  updateDemand(Entry);
  startLoads();
  scheduleQueueCheck(Item.m_Router, Entry);
}

void PolicyRun::refuse(std::size_t Index, milliseconds RetryAfter) {
  RequestState &Item = m_RequestStates[Index];
  const bool First = !Item.m_Submission.m_IsRetry;
  recordOutcome(Item, SubmissionOutcome::Refused);
  // A refused caller retries once, within 50 ms after the stated retry time.
  const double RetryTime = m_Events.now() +
                           static_cast<double>(RetryAfter.count()) / 1000 +
                           static_cast<double>(m_Random() % 50) / 1000;
  if (First && RetryTime < m_Trace.m_DurationSeconds)
    m_Events.scheduleAt(RetryTime, [this, Index] { submit(Index, true); });
}

void PolicyRun::recordOutcome(RequestState &Item, SubmissionOutcome Outcome) {
  if (!Item.m_IsPending)
    return;
  Item.m_IsPending = false;
  Item.m_Submission.m_Outcome = Outcome;
  if (Outcome != SubmissionOutcome::Answered)
    Item.m_Submission.m_LatencySeconds =
        m_Events.now() - Item.m_Submission.m_SubmitTime;
  m_Result.m_Submissions.push_back(Item.m_Submission);
}

void PolicyRun::refuseExpiredAndDisplaced(int Router, int Entry) {
  auto &Queue = m_Queues[Router][Entry];
  const auto Capacity = estimateCapacity(Router, Entry);
  auto Removed = Queue.takeExpired(Capacity, clock());
  for (auto &Item : Queue.takeDisplaced())
    Removed.push_back(Item);
  for (const auto &Item : Removed)
    refuse(std::stoul(Item.m_Request.str()),
           Queue.reserveRetryCapacity(Item.m_Class, Capacity, clock()));
}

void PolicyRun::scheduleQueueCheck(int Router, int Entry) {
  if (m_Queues[Router][Entry].empty() ||
      !m_ScheduledChecks.insert({Router, Entry}).second)
    return;
  m_Events.scheduleAfter(QueueCheckIntervalSeconds,
                         [this, Router, Entry] { checkQueue(Router, Entry); });
}

void PolicyRun::checkQueue(int Router, int Entry) {
  m_ScheduledChecks.erase({Router, Entry});
  refuseExpiredAndDisplaced(Router, Entry);
  updateDemand(Entry);
  scheduleQueueCheck(Router, Entry);
}

admission::CapacityEstimate PolicyRun::estimateCapacity(int Router, int Entry) {
  int Ready = 0;
  for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine)
    if (const Replica *Item = find(Engine, Entry))
      Ready += Item->m_IsReady;
  int Active = 1;
  for (int Other = 0; Other < m_Deployment.m_Routers; ++Other)
    Active += Other != Router && !m_Queues[Other][Entry].empty();
  const double Wait = Ready > 0 ? 0 : timeToReady(Entry);
  return {toDuration(Wait),
          std::max(1, SlotsPerReplica * std::max(Ready, 1) / Active)};
}

void PolicyRun::dispatch(int Entry) {
  while (true) {
    int LeastLoaded = -1;
    for (int Engine = 0; Engine < m_Deployment.m_Engines; ++Engine) {
      const Replica *Item = find(Engine, Entry);
      if (Item && Item->m_IsReady && Item->m_RunningCount < SlotsPerReplica &&
          (LeastLoaded < 0 ||
           Item->m_RunningCount < find(LeastLoaded, Entry)->m_RunningCount))
        LeastLoaded = Engine;
    }
    if (LeastLoaded < 0)
      return;
    // Models a lender of credits that knows the class of each router's next
    // request.
    const int First = static_cast<int>(m_Random() % m_Deployment.m_Routers);
    admission::AdmissionQueue *ChosenQueue = nullptr;
    for (int Step = 0; Step < m_Deployment.m_Routers; ++Step) {
      auto &Queue = m_Queues[(First + Step) % m_Deployment.m_Routers][Entry];
      const admission::Waiting *Head = Queue.peekNext(clock());
      if (Head && (!ChosenQueue ||
                   Head->m_Class < ChosenQueue->peekNext(clock())->m_Class))
        ChosenQueue = &Queue;
    }
    const auto Next =
        ChosenQueue ? ChosenQueue->takeNext(clock()) : std::nullopt;
    if (!Next)
      return;
    startRequest(LeastLoaded, Entry, std::stoul(Next->m_Request.str()));
  }
}

void PolicyRun::startRequest(int Engine, int Entry, std::size_t Index) {
  RequestState &Item = m_RequestStates[Index];
  ++Item.m_Attempts;
  ++m_Result.m_DispatchCount;
  const int Base = m_Trace.m_Entries[Entry].m_BaseIndex;
  for (const int UsedEntry : {Entry, Base}) {
    if (UsedEntry < 0)
      continue;
    Replica &Target = m_Replicas.at({Engine, UsedEntry});
    addIdleTime(Target, UsedEntry);
    ++Target.m_RunningCount;
  }
  Replica &Target = m_Replicas.at({Engine, Entry});
  Target.m_RunningRequests.insert(Index);
  Item.m_Submission.m_LatencySeconds =
      m_Events.now() + PrefillSeconds - Item.m_Submission.m_SubmitTime;
  m_Events.scheduleAfter(Item.m_Request.m_ServiceSeconds,
                         [=, this, Generation = Target.m_Generation] {
                           completeRequest(Engine, Entry, Index, Generation);
                         });
}

void PolicyRun::completeRequest(int Engine, int Entry, std::size_t Index,
                                std::uint64_t Generation) {
  Replica *Target = find(Engine, Entry);
  if (!Target || Target->m_Generation != Generation)
    return;
  Target->m_RunningRequests.erase(Index);
  for (const int UsedEntry : {Entry, m_Trace.m_Entries[Entry].m_BaseIndex}) {
    if (UsedEntry < 0)
      continue;
    Replica &Item = m_Replicas.at({Engine, UsedEntry});
    if (--Item.m_RunningCount == 0)
      Item.m_IdleSince = m_Events.now();
  }
  RequestState &Item = m_RequestStates[Index];
  m_Queues[Item.m_Router][Entry].onServed(
      Item.m_Request.m_Class, toDuration(Item.m_Request.m_ServiceSeconds));
  recordOutcome(Item, SubmissionOutcome::Answered);
  dispatch(Entry);
  updateDemand(Entry);
}

} // namespace sff::bench
