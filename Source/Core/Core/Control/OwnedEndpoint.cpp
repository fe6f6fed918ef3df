#include "Core/Control/OwnedEndpoint.h"

#include <algorithm>
#include <set>

namespace sff::control {

using messages::BorrowCreditsReply;
using messages::BorrowOutcome;

namespace {

/// Several loads may run at once only where a token protects them: an endpoint
/// that ignores tokens may still receive one late order of a paused owner, and
/// its successor keeps memory free for exactly one.
constexpr std::size_t MaxParallelOrdersFenced = 4;
constexpr std::size_t MaxParallelOrdersUnfenced = 1;
constexpr milliseconds BusyPause{500};
constexpr milliseconds FailurePause{1000};
constexpr milliseconds TakeoverRetryAfter{500};
constexpr milliseconds NotOwnerRetryAfter{200};
constexpr milliseconds SilentRetryAfter{1000};
/// Weight of the latest measured load in the expected load time.
constexpr double LoadTimeSmoothing = 0.3;

BorrowCreditsReply refuse(std::string Reason, milliseconds RetryAfter) {
  BorrowCreditsReply Reply;
  Reply.m_Outcome = BorrowOutcome::Refused;
  Reply.m_Reason = std::move(Reason);
  Reply.m_RetryAfter = RetryAfter;
  return Reply;
}

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

const char *stageName(Stage Value) {
  switch (Value) {
  case Stage::Fencing:
    return "claimed";
  case Stage::Inspecting:
    return "fenced";
  case Stage::Ready:
    return "ready";
  case Stage::Silent:
    return "silent";
  }
  return "";
}

const char *replicaStateName(ReplicaState Value) {
  switch (Value) {
  case ReplicaState::Cold:
    return "cold";
  case ReplicaState::Loading:
    return "loading";
  case ReplicaState::Ready:
    return "ready";
  case ReplicaState::Unloading:
    return "unloading";
  }
  return "";
}

} // namespace

OwnedEndpoint::OwnedEndpoint(messages::EndpointInfo Info, Offset Token,
                             bool Fences, EndpointTimes Times)
    : m_Info(std::move(Info)), m_Token(Token), m_Fences(Fences), m_Times(Times),
      m_Ledger(std::in_place, m_Info.m_MemoryBytes, Times.m_LoanTimeToLive),
      m_RemoteLoadSeconds(Times.m_RemoteLoadSeconds) {}

void OwnedEndpoint::onFenced(Instant Now) {
  if (m_Stage != Stage::Fencing)
    return;
  m_Stage = Stage::Inspecting;
  // The loans of a predecessor lapse within one time to live of this moment,
  // because it can no longer confirm its token.
  m_Ledger->onTakeover(Now);
}

void OwnedEndpoint::onRestart() {
  m_Replicas.clear();
  m_Cached.clear();
  m_Orders.clear();
  m_Ledger.emplace(m_Info.m_MemoryBytes, m_Times.m_LoanTimeToLive);
  m_TokenConfirmedAt.reset();
  // A restarted endpoint may have forgotten the token.
  m_Stage = Stage::Fencing;
}

bool OwnedEndpoint::isReportCurrent(const EntryName &Entry,
                                    Instant SentAt) const {
  const auto Ordered = std::ranges::any_of(m_Orders, [&](const auto &Pair) {
    return Pair.second.m_Order.m_Request.m_Model == Entry;
  });
  const auto Known = m_Replicas.find(Entry);
  return !Ordered &&
         (Known == m_Replicas.end() || Known->second.m_ChangedAt < SentAt);
}

void OwnedEndpoint::reconcile(const Inventory &Report, Instant SentAt) {
  std::set<EntryName> Reported;
  for (const InventoryModel &Item : Report.m_Models) {
    Reported.insert(Item.m_Model);
    if (!isReportCurrent(Item.m_Model, SentAt))
      continue;
    Replica &Known = m_Replicas[Item.m_Model];
    Known.m_State =
        Item.m_State == "ready" ? ReplicaState::Ready : ReplicaState::Loading;
    Known.m_Version = Item.m_Version;
    Known.m_Bytes = Item.m_Bytes;
    Known.m_Base = Item.m_Base;
    m_Ledger->adoptWeights(Item.m_Model, Item.m_Bytes);
  }
  for (auto &[Entry, Known] : m_Replicas)
    if (Known.m_State != ReplicaState::Cold && !Reported.contains(Entry) &&
        isReportCurrent(Entry, SentAt)) {
      Known.m_State = ReplicaState::Cold;
      m_Ledger->releaseWeights(Entry);
    }
}

void OwnedEndpoint::onInventory(const Inventory &Report, Instant SentAt) {
  if (m_Stage == Stage::Fencing)
    return;
  if (!m_Incarnation.empty() && m_Incarnation != Report.m_Incarnation) {
    m_Incarnation = Report.m_Incarnation;
    onRestart();
    return;
  }
  m_Incarnation = Report.m_Incarnation;
  m_InspectedAt = SentAt;
  m_Cached = Report.m_Cached;
  if (Report.m_HighestToken == m_Token)
    m_TokenConfirmedAt = SentAt;
  std::vector<memory::RunningRequest> Running;
  for (const InventoryRequest &Item : Report.m_Running)
    Running.push_back({Item.m_Router, Item.m_Bytes});
  m_Ledger->onReport(Running, SentAt);
  reconcile(Report, SentAt);
  m_Stage = Stage::Ready;
}

void OwnedEndpoint::onUnreachable() {
  if (m_Stage == Stage::Ready)
    m_Stage = Stage::Silent;
}

bool OwnedEndpoint::mayOrder(const Authority &Rights) const {
  return m_Stage == Stage::Ready && !Rights.m_Stopping &&
         (Rights.m_LeaseHeld || m_Fences);
}

milliseconds OwnedEndpoint::loanTimeToLive(const Authority &Rights,
                                           Instant Now) const {
  if (Rights.m_LeaseHeld)
    return m_Times.m_LoanTimeToLive;
  // Without a lease another controller may own the endpoint. It waits one time
  // to live after it has raised the token, so loans are safe until one time to
  // live after the token was last seen to be ours.
  if (!m_Fences || !m_TokenConfirmedAt)
    return milliseconds(0);
  const auto Left =
      toMilliseconds(*m_TokenConfirmedAt + m_Times.m_LoanTimeToLive - Now);
  return std::max(Left, milliseconds(0));
}

std::optional<BorrowCreditsReply>
OwnedEndpoint::checkBorrow(const messages::BorrowCredits &Request,
                           const fold::ClusterState &State,
                           const Authority &Rights) const {
  if (Rights.m_Stopping)
    return refuse("shutting_down", NotOwnerRetryAfter);
  const catalogue::EntrySpec *Spec = State.findEntry(Request.m_Entry);
  if (!Spec || !Spec->isLoadable())
    return refuse("unknown_entry", NotOwnerRetryAfter);
  const auto Holders = State.endpointsOf(Request.m_Entry);
  if (std::ranges::find(Holders, m_Info.m_Endpoint) == Holders.end())
    return refuse("no_slot", NotOwnerRetryAfter);
  if (isReleasePending(State, Request.m_Entry))
    return refuse("no_slot", NotOwnerRetryAfter);
  if (m_Info.m_State != "live")
    return refuse("endpoint_leaving", NotOwnerRetryAfter);
  if (m_Stage == Stage::Silent)
    return refuse("endpoint_silent", SilentRetryAfter);
  if (Spec->m_WeightBytes + Spec->requestBytes() > m_Info.m_MemoryBytes)
    return refuse("too_large_for_endpoint", FailurePause);
  return std::nullopt;
}

void OwnedEndpoint::noteDemand(const messages::BorrowCredits &Request,
                               Instant Now) {
  Demand &Known = m_Demands[Request.m_Entry];
  const Instant Deadline = Now + Request.m_Deadline;
  const bool Fresh = Now - Known.m_LastSeen > m_Times.m_DemandTimeToLive;
  Known.m_Deadline = Fresh ? Deadline : std::min(Known.m_Deadline, Deadline);
  if (Fresh || Request.m_Class == catalogue::TrafficClass::Interactive)
    Known.m_Class = Request.m_Class;
  Known.m_Waiting =
      Fresh ? Request.m_Waiting : std::max(Known.m_Waiting, Request.m_Waiting);
  Known.m_LastSeen = Now;
}

bool OwnedEndpoint::isUsable(const Replica &Item,
                             const catalogue::EntrySpec &Spec) const {
  return Item.m_State == ReplicaState::Ready &&
         Item.m_Version == Spec.m_Version;
}

std::optional<BorrowCreditsReply>
OwnedEndpoint::tryBorrow(const messages::BorrowCredits &Request,
                         const fold::ClusterState &State,
                         const Authority &Rights, Instant Now) {
  if (auto Refusal = checkBorrow(Request, State, Rights))
    return Refusal;
  noteDemand(Request, Now);
  if (m_Stage != Stage::Ready)
    return std::nullopt;
  const catalogue::EntrySpec &Spec = *State.findEntry(Request.m_Entry);
  const auto Known = m_Replicas.find(Request.m_Entry);
  if (Known == m_Replicas.end() || !isUsable(Known->second, Spec))
    return std::nullopt;
  const milliseconds TimeToLive = loanTimeToLive(Rights, Now);
  if (TimeToLive <= milliseconds(0))
    return refuse("lease_lapsed", TakeoverRetryAfter);
  const std::int64_t Lent =
      m_Ledger->lend(Request.m_Loan, Request.m_Router, Request.m_Entry,
                     Spec.requestBytes(), Request.m_Count, Now);
  if (Lent == 0)
    return std::nullopt;
  m_Demands.erase(Request.m_Entry);
  BorrowCreditsReply Reply;
  Reply.m_Outcome = BorrowOutcome::Granted;
  Reply.m_Loan = Request.m_Loan;
  Reply.m_Endpoint = m_Info.m_Endpoint;
  Reply.m_Address = m_Info.m_Address;
  Reply.m_Count = Lent;
  Reply.m_TimeToLive = TimeToLive;
  return Reply;
}

loading::WeightLocation
OwnedEndpoint::locate(const EntryName &Entry,
                      const std::string &Version) const {
  const auto It =
      std::ranges::find_if(m_Cached, [&](const CachedWeights &Kept) {
        return Kept.m_Model == Entry && Kept.m_Version == Version;
      });
  if (It == m_Cached.end())
    return loading::WeightLocation::Remote;
  return It->m_Where == "memory" ? loading::WeightLocation::Memory
                                 : loading::WeightLocation::Disk;
}

double OwnedEndpoint::loadSeconds(loading::WeightLocation Location) const {
  switch (Location) {
  case loading::WeightLocation::Memory:
    return m_Times.m_MemoryLoadSeconds;
  case loading::WeightLocation::Disk:
    return m_Times.m_DiskLoadSeconds;
  case loading::WeightLocation::Remote:
    return m_RemoteLoadSeconds;
  }
  return m_RemoteLoadSeconds;
}

milliseconds OwnedEndpoint::estimateReady(const fold::ClusterState &State,
                                          const EntryName &Entry,
                                          Instant Now) const {
  const catalogue::EntrySpec *Spec = State.findEntry(Entry);
  double Seconds =
      Spec ? loadSeconds(locate(Entry, Spec->m_Version)) : m_RemoteLoadSeconds;
  for (const auto &[Id, Item] : m_Orders)
    if (Item.m_Order.m_Request.m_Kind == "load" &&
        Item.m_Order.m_Request.m_Model == Entry)
      Seconds = std::max(0.0, Seconds - toSeconds(Now - Item.m_SentAt));
  if (m_Orders.size() >= maxParallelOrders())
    Seconds += m_RemoteLoadSeconds;
  return milliseconds(static_cast<std::int64_t>(Seconds * 1000));
}

std::size_t OwnedEndpoint::maxParallelOrders() const {
  return m_Fences ? MaxParallelOrdersFenced : MaxParallelOrdersUnfenced;
}

bool OwnedEndpoint::isIdle(const EntryName &Entry) const {
  const auto HasAdapter =
      std::ranges::any_of(m_Replicas, [&](const auto &Pair) {
        return Pair.second.m_Base == Entry &&
               Pair.second.m_State != ReplicaState::Cold;
      });
  return !HasAdapter && m_Ledger->lentCount(Entry) == 0;
}

std::vector<loading::LoadedReplica> OwnedEndpoint::idleReplicas() const {
  std::vector<loading::LoadedReplica> Result;
  for (const auto &[Entry, Item] : m_Replicas)
    if (Item.m_State == ReplicaState::Ready)
      Result.push_back({Entry, Item.m_Bytes,
                        loadSeconds(locate(Entry, Item.m_Version)),
                        catalogue::TrafficClass::Batch,
                        !isIdle(Entry) || m_Demands.contains(Entry)});
  return Result;
}

placement::PlanContext
OwnedEndpoint::planContext(const PlanInput &Input) const {
  placement::PlanContext Context{Input.m_State, {&m_Info, 1}, Input.m_Self};
  // An endpoint that has restarted fences again only after this stage.
  if (m_Fences && m_Stage != Stage::Fencing)
    Context.m_Fencing = {&m_Info.m_Endpoint, 1};
  Context.m_KnownGone = Input.m_KnownGone;
  return Context;
}

std::vector<EntryName> OwnedEndpoint::loadedEntries() const {
  std::vector<EntryName> Result;
  for (const auto &[Entry, Item] : m_Replicas)
    if (Item.m_State != ReplicaState::Cold)
      Result.push_back(Entry);
  return Result;
}

std::vector<PlannedOrder> OwnedEndpoint::planOrders(const PlanInput &Input) {
  std::vector<PlannedOrder> Result;
  std::erase_if(m_Demands, [&](const auto &Pair) {
    return Input.m_Now - Pair.second.m_LastSeen > m_Times.m_DemandTimeToLive;
  });
  m_Ledger->expire(Input.m_Now);
  updateHeadroom(Input);
  if (!mayOrder(Input.m_Rights))
    return Result;
  planUnwanted(Input, Result);
  planLoads(Input, Result);
  planIdle(Input, Result);
  return Result;
}

void OwnedEndpoint::updateHeadroom(const PlanInput &Input) {
  const std::int64_t Required = placement::requiredHeadroom(
      planContext(Input), m_Info.m_Endpoint, loadedEntries());
  const bool InspectedSince = m_LowerHeadroomSince && m_InspectedAt &&
                              *m_InspectedAt > *m_LowerHeadroomSince;
  if (Required >= m_Headroom || InspectedSince) {
    m_Headroom = Required;
    m_LowerHeadroomSince.reset();
  } else if (!m_LowerHeadroomSince) {
    m_LowerHeadroomSince = Input.m_Now;
  }
  m_Ledger->setHeadroom(m_Headroom);
}

bool OwnedEndpoint::mayMoveSlots(const PlanInput &Input) const {
  return m_Stage == Stage::Ready && !m_LowerHeadroomSince &&
         !placement::mayReceiveLateOrders(planContext(Input),
                                          m_Info.m_Endpoint);
}

void OwnedEndpoint::inheritOrders(const OwnedEndpoint &Previous) {
  for (const auto &[Id, Item] : Previous.m_Orders) {
    const OrderRequest &Request = Item.m_Order.m_Request;
    Outstanding &Kept = m_Orders[Id];
    Kept = Item;
    Kept.m_Order.m_Request.m_FencingToken = m_Token;
    m_Replicas[Request.m_Model] = Previous.m_Replicas.at(Request.m_Model);
    m_Ledger->adoptWeights(Request.m_Model, Request.m_Bytes);
  }
}

std::vector<OrderRequest> OwnedEndpoint::openOrders() const {
  std::vector<OrderRequest> Result;
  Result.reserve(m_Orders.size());
  for (const auto &[Id, Item] : m_Orders)
    Result.push_back(Item.m_Order.m_Request);
  return Result;
}

std::vector<fold::SlotItem>
OwnedEndpoint::releasableSlots(const PlanInput &Input) const {
  std::vector<fold::SlotItem> Result;
  if (!mayMoveSlots(Input))
    return Result;
  for (const fold::SlotItem &Item : placement::planReleases(planContext(Input)))
    if (stateOf(Item.m_Entry) == ReplicaState::Cold)
      Result.push_back(Item);
  for (const auto &[Entry, Item] : m_SentReleases)
    if (isReleasePending(Input.m_State, Entry) &&
        std::ranges::find(Result, Entry, &fold::SlotItem::m_Entry) ==
            Result.end())
      Result.push_back(Item);
  return Result;
}

void OwnedEndpoint::onReleaseSent(const fold::SlotItem &Item) {
  m_SentReleases[Item.m_Entry] = Item;
}

bool OwnedEndpoint::isReleasePending(const fold::ClusterState &State,
                                     const EntryName &Entry) const {
  const auto Sent = m_SentReleases.find(Entry);
  if (Sent == m_SentReleases.end())
    return false;
  const fold::Slot *Current = State.findSlot(Entry, Sent->second.m_Index);
  return Current && Current->m_Offset == Sent->second.m_Previous;
}

void OwnedEndpoint::planUnwanted(const PlanInput &Input,
                                 std::vector<PlannedOrder> &Out) {
  std::vector<placement::LoadedReplica> Loaded;
  for (const auto &[Entry, Item] : m_Replicas)
    if (Item.m_State == ReplicaState::Ready)
      Loaded.push_back({m_Info.m_Endpoint, Entry, Item.m_Version, Item.m_Base,
                        Item.m_Bytes});
  for (const placement::UnloadItem &Item :
       placement::planUnloads(planContext(Input), Loaded))
    addUnload(Item.m_Entry, Input.m_Now, Out);
}

void OwnedEndpoint::planIdle(const PlanInput &Input,
                             std::vector<PlannedOrder> &Out) {
  auto Idle = idleReplicas();
  for (auto &Item : Idle)
    if (const auto *Spec = Input.m_State.findEntry(Item.m_Entry))
      Item.m_Class = Spec->m_Class;
  for (const EntryName &Entry : Input.m_Eviction.chooseIdle(Idle, Input.m_Now))
    addUnload(Entry, Input.m_Now, Out);
}

void OwnedEndpoint::addUnload(const EntryName &Entry, Instant Now,
                              std::vector<PlannedOrder> &Out) {
  Replica &Item = m_Replicas[Entry];
  if (Item.m_State != ReplicaState::Ready || !isIdle(Entry) ||
      Now < Item.m_NotBefore || m_Orders.size() >= maxParallelOrders())
    return;
  Item.m_State = ReplicaState::Unloading;
  PlannedOrder Order;
  Order.m_Request = {makeRandomId(), m_Token,      "unload", Entry,
                     Item.m_Version, Item.m_Bytes, 0,        0,
                     Item.m_Base};
  m_Orders[Order.m_Request.m_OrderId] = {Order, Now};
  Out.push_back(std::move(Order));
}

std::vector<loading::LoadDemand>
OwnedEndpoint::collectDemands(const fold::ClusterState &State, Instant Now) {
  loading::LoadScheduler Scheduler;
  for (const auto &[Entry, Wanted] : m_Demands) {
    const catalogue::EntrySpec *Spec = State.findEntry(Entry);
    const auto Known = m_Replicas.find(Entry);
    if (!Spec || (Known != m_Replicas.end() &&
                  Known->second.m_State != ReplicaState::Cold))
      continue;
    loading::LoadDemand Item;
    Item.m_Endpoint = m_Info.m_Endpoint;
    Item.m_Entry = Entry;
    Item.m_Waiting = std::max<std::int64_t>(1, Wanted.m_Waiting);
    Item.m_Class = Wanted.m_Class;
    Item.m_Deadline = Wanted.m_Deadline;
    Item.m_Location = locate(Entry, Spec->m_Version);
    Item.m_LoadSeconds = loadSeconds(Item.m_Location);
    Item.m_BaseLoaded = stateOf(Spec->m_Base) == ReplicaState::Ready;
    Scheduler.update(Item);
  }
  return Scheduler.ordered(Now);
}

void OwnedEndpoint::planLoads(const PlanInput &Input,
                              std::vector<PlannedOrder> &Out) {
  const fold::ClusterState &State = Input.m_State;
  const Instant Now = Input.m_Now;
  std::set<EntryName> Leaving;
  for (const fold::SlotItem &Item : placement::planReleases(planContext(Input)))
    Leaving.insert(Item.m_Entry);
  for (const loading::LoadDemand &Demand : collectDemands(State, Now)) {
    const EntryName &Entry = Demand.m_Entry;
    const catalogue::EntrySpec &Spec = *State.findEntry(Entry);
    if (Leaving.contains(Entry) || isReleasePending(State, Entry))
      continue;
    const catalogue::EntrySpec *Base =
        Spec.m_Base.empty() ? nullptr : State.findEntry(Spec.m_Base);
    const EntryName &Target =
        Base && stateOf(Spec.m_Base) != ReplicaState::Ready ? Spec.m_Base
                                                            : Entry;
    const catalogue::EntrySpec &TargetSpec = Target == Entry ? Spec : *Base;
    if (stateOf(Target) != ReplicaState::Cold || Leaving.contains(Target) ||
        isReleasePending(State, Target))
      continue;
    if (addLoad(Target, TargetSpec, Demand, Now, Out))
      continue;
    const std::int64_t Missing =
        TargetSpec.m_WeightBytes + Spec.requestBytes() - m_Ledger->freeBytes();
    if (Missing <= 0)
      continue;
    for (const EntryName &Victim :
         Input.m_Eviction.chooseVictims(idleReplicas(), Missing, Now))
      if (Victim != Spec.m_Base)
        addUnload(Victim, Now, Out);
  }
}

bool OwnedEndpoint::addLoad(const EntryName &Entry,
                            const catalogue::EntrySpec &Spec,
                            const loading::LoadDemand &Demand, Instant Now,
                            std::vector<PlannedOrder> &Out) {
  Replica &Item = m_Replicas[Entry];
  if (Now < Item.m_NotBefore || m_Orders.size() >= maxParallelOrders())
    return false;
  // A replica without memory for one request would be loaded in vain.
  if (m_Ledger->freeBytes() < Spec.m_WeightBytes + Spec.requestBytes() ||
      !m_Ledger->reserveWeights(Entry, Spec.m_WeightBytes))
    return false;
  Item.m_State = ReplicaState::Loading;
  Item.m_Version = Spec.m_Version;
  Item.m_Base = Spec.m_Base;
  Item.m_Bytes = Spec.m_WeightBytes;
  PlannedOrder Order;
  Order.m_Request = {makeRandomId(),
                     m_Token,
                     "load",
                     Entry,
                     Spec.m_Version,
                     Spec.m_WeightBytes,
                     Spec.m_BytesPerToken,
                     Spec.m_MaxTokens,
                     Spec.m_Base};
  Order.m_NeedsPermit =
      locate(Entry, Spec.m_Version) == loading::WeightLocation::Remote;
  Order.m_Value = loading::LoadScheduler::value(Demand, Now);
  m_Orders[Order.m_Request.m_OrderId] = {Order, Now};
  Out.push_back(std::move(Order));
  return true;
}

void OwnedEndpoint::onPermitDenied(const std::string &OrderId,
                                   Instant RetryAt) {
  const auto It = m_Orders.find(OrderId);
  if (It == m_Orders.end())
    return;
  const EntryName Entry = It->second.m_Order.m_Request.m_Model;
  m_Orders.erase(It);
  Replica &Item = m_Replicas[Entry];
  Item.m_State = ReplicaState::Cold;
  Item.m_NotBefore = RetryAt;
  m_Ledger->releaseWeights(Entry);
}

void OwnedEndpoint::onOrderResult(const std::string &OrderId,
                                  OrderResult Result, Instant Now) {
  const auto It = m_Orders.find(OrderId);
  if (It == m_Orders.end() || Result == OrderResult::Unknown)
    return;
  const Outstanding Finished = It->second;
  m_Orders.erase(It);
  const OrderRequest &Request = Finished.m_Order.m_Request;
  Replica &Item = m_Replicas[Request.m_Model];
  Item.m_ChangedAt = Now;
  const bool IsLoad = Request.m_Kind == "load";
  if (Result == OrderResult::Done) {
    Item.m_State = IsLoad ? ReplicaState::Ready : ReplicaState::Cold;
    if (!IsLoad)
      m_Ledger->releaseWeights(Request.m_Model);
    if (IsLoad && Finished.m_Order.m_NeedsPermit)
      m_RemoteLoadSeconds +=
          LoadTimeSmoothing *
          (toSeconds(Now - Finished.m_SentAt) - m_RemoteLoadSeconds);
    return;
  }
  Item.m_State = IsLoad ? ReplicaState::Cold : ReplicaState::Ready;
  Item.m_NotBefore =
      Now + (Result == OrderResult::Busy ? BusyPause : FailurePause);
  if (IsLoad)
    m_Ledger->releaseWeights(Request.m_Model);
}

ReplicaState OwnedEndpoint::stateOf(const EntryName &Entry) const {
  const auto It = m_Replicas.find(Entry);
  return It == m_Replicas.end() ? ReplicaState::Cold : It->second.m_State;
}

messages::EndpointStatus OwnedEndpoint::status() const {
  messages::EndpointStatus Result;
  Result.m_Endpoint = m_Info.m_Endpoint;
  Result.m_Address = m_Info.m_Address;
  Result.m_State = m_Info.m_State == "live" ? stageName(m_Stage) : "leaving";
  Result.m_Token = m_Token;
  Result.m_MemoryBytes = m_Info.m_MemoryBytes;
  Result.m_UsedBytes = m_Ledger->usedBytes();
  for (const auto &[Entry, Item] : m_Replicas)
    if (Item.m_State != ReplicaState::Cold)
      Result.m_Replicas.push_back(
          {Entry, replicaStateName(Item.m_State), m_Ledger->lentCount(Entry)});
  return Result;
}

} // namespace sff::control
