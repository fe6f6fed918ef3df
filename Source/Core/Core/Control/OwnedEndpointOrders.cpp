#include "Core/Control/OwnedEndpoint.h"

#include <algorithm>
#include <set>

// Planning of orders and slot releases.
namespace sff::control {

namespace {

/// An endpoint may have several orders at once only if it checks fencing
/// tokens. An endpoint that ignores them may still receive a delayed order of a
/// paused owner, and the next owner reserves memory for exactly one such order.
constexpr std::size_t MaxParallelOrdersFenced = 4;
constexpr std::size_t MaxParallelOrdersUnfenced = 1;
constexpr milliseconds BusyRetryDelay{500};
constexpr milliseconds FailureRetryDelay{1000};
/// Smoothing factor of the expected load time: weight of the latest measured
/// load.
constexpr double LoadTimeSmoothing = 0.3;

} // namespace

std::size_t OwnedEndpoint::maxParallelOrders() const {
  return m_EnforcesFencing ? MaxParallelOrdersFenced
                           : MaxParallelOrdersUnfenced;
}

placement::PlanContext
OwnedEndpoint::planContext(const PlanInput &Input) const {
  placement::PlanContext Context{Input.m_State, {&m_Info, 1}, Input.m_Self};
  // A restarted endpoint enforces the token only once it has confirmed it
  // again.
  if (m_EnforcesFencing && m_Stage != Stage::Fencing)
    Context.m_Fencing = {&m_Info.m_Endpoint, 1};
  Context.m_TerminatedControllers = Input.m_TerminatedControllers;
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
  if (!maySendOrders(Input.m_Authority))
    return Result;
  planUnwantedUnloads(Input, Result);
  planLoads(Input, Result);
  planIdleUnloads(Input, Result);
  return Result;
}

void OwnedEndpoint::updateHeadroom(const PlanInput &Input) {
  const std::int64_t Required = placement::requiredHeadroom(
      planContext(Input), m_Info.m_Endpoint, loadedEntries());
  const bool InventorySince = m_LowerHeadroomSince && m_LastInventoryAt &&
                              *m_LastInventoryAt > *m_LowerHeadroomSince;
  if (Required >= m_Headroom || InventorySince) {
    m_Headroom = Required;
    m_LowerHeadroomSince.reset();
  } else if (!m_LowerHeadroomSince) {
    m_LowerHeadroomSince = Input.m_Now;
  }
  m_Ledger->setHeadroom(m_Headroom);
}

bool OwnedEndpoint::mayReleaseSlots(const PlanInput &Input) const {
  return m_Stage == Stage::Ready && !m_LowerHeadroomSince &&
         !placement::mayReceiveDelayedOrders(planContext(Input),
                                             m_Info.m_Endpoint);
}

void OwnedEndpoint::adoptOrders(const OwnedEndpoint &Previous) {
  for (const auto &[Id, Item] : Previous.m_OutstandingOrders) {
    const OrderRequest &Request = Item.m_Order.m_Request;
    OutstandingOrder &Adopted = m_OutstandingOrders[Id];
    Adopted = Item;
    Adopted.m_Order.m_Request.m_FencingToken = m_Token;
    m_Replicas[Request.m_Model] = Previous.m_Replicas.at(Request.m_Model);
    m_Ledger->adoptWeights(Request.m_Model, Request.m_Bytes);
  }
}

std::vector<OrderRequest> OwnedEndpoint::outstandingOrders() const {
  std::vector<OrderRequest> Result;
  Result.reserve(m_OutstandingOrders.size());
  for (const auto &[Id, Item] : m_OutstandingOrders)
    Result.push_back(Item.m_Order.m_Request);
  return Result;
}

std::vector<fold::SlotItem>
OwnedEndpoint::releasableSlots(const PlanInput &Input) const {
  std::vector<fold::SlotItem> Result;
  if (!mayReleaseSlots(Input))
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

void OwnedEndpoint::planUnwantedUnloads(const PlanInput &Input,
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

void OwnedEndpoint::planIdleUnloads(const PlanInput &Input,
                                    std::vector<PlannedOrder> &Out) {
  auto Candidates = evictionCandidates();
  for (auto &Item : Candidates)
    if (const auto *Spec = Input.m_State.findEntry(Item.m_Entry))
      Item.m_Class = Spec->m_Class;
  for (const EntryName &Entry :
       Input.m_Eviction.chooseIdle(Candidates, Input.m_Now))
    addUnload(Entry, Input.m_Now, Out);
}

void OwnedEndpoint::addUnload(const EntryName &Entry, Instant Now,
                              std::vector<PlannedOrder> &Out) {
  Replica &Item = m_Replicas[Entry];
  if (Item.m_State != ReplicaState::Ready || !isIdle(Entry) ||
      Now < Item.m_EarliestNextOrder ||
      m_OutstandingOrders.size() >= maxParallelOrders())
    return;
  Item.m_State = ReplicaState::Unloading;
  PlannedOrder Order;
  Order.m_Request = {makeRandomId(), m_Token,      "unload", Entry,
                     Item.m_Version, Item.m_Bytes, 0,        0,
                     Item.m_Base};
  m_OutstandingOrders[Order.m_Request.m_OrderId] = {Order, Now};
  Out.push_back(std::move(Order));
}

std::vector<loading::LoadDemand>
OwnedEndpoint::prioritizedDemands(const fold::ClusterState &State,
                                  Instant Now) {
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
    Item.m_Location = weightLocation(Entry, Spec->m_Version);
    Item.m_LoadSeconds = loadSeconds(Item.m_Location);
    Item.m_BaseLoaded = stateOf(Spec->m_Base) == ReplicaState::Ready;
    Scheduler.update(Item);
  }
  return Scheduler.ordered(Now);
}

void OwnedEndpoint::planLoads(const PlanInput &Input,
                              std::vector<PlannedOrder> &Out) {
  if (m_Demands.empty())
    return;
  const fold::ClusterState &State = Input.m_State;
  const Instant Now = Input.m_Now;
  std::set<EntryName> Releasing;
  for (const fold::SlotItem &Item : placement::planReleases(planContext(Input)))
    Releasing.insert(Item.m_Entry);
  for (const loading::LoadDemand &Demand : prioritizedDemands(State, Now)) {
    const EntryName &Entry = Demand.m_Entry;
    const catalogue::EntrySpec &Spec = *State.findEntry(Entry);
    if (Releasing.contains(Entry) || isReleasePending(State, Entry))
      continue;
    const catalogue::EntrySpec *Base =
        Spec.m_Base.empty() ? nullptr : State.findEntry(Spec.m_Base);
    const EntryName &Target =
        Base && stateOf(Spec.m_Base) != ReplicaState::Ready ? Spec.m_Base
                                                            : Entry;
    const catalogue::EntrySpec &TargetSpec = Target == Entry ? Spec : *Base;
    // The demand may have been recorded before the slot was released.
    if (stateOf(Target) != ReplicaState::Cold || Releasing.contains(Target) ||
        isReleasePending(State, Target) ||
        !State.holdsSlotAt(Target, m_Info.m_Endpoint))
      continue;
    if (addLoad(Target, TargetSpec, Demand, Now, Out))
      continue;
    const std::int64_t Missing =
        TargetSpec.m_WeightBytes + Spec.requestBytes() - m_Ledger->freeBytes();
    if (Missing <= 0)
      continue;
    for (const EntryName &Victim :
         Input.m_Eviction.chooseVictims(evictionCandidates(), Missing, Now))
      if (Victim != Spec.m_Base)
        addUnload(Victim, Now, Out);
  }
}

bool OwnedEndpoint::addLoad(const EntryName &Entry,
                            const catalogue::EntrySpec &Spec,
                            const loading::LoadDemand &Demand, Instant Now,
                            std::vector<PlannedOrder> &Out) {
  Replica &Item = m_Replicas[Entry];
  if (Now < Item.m_EarliestNextOrder ||
      m_OutstandingOrders.size() >= maxParallelOrders())
    return false;
  // Without memory for at least one request, the loaded replica would be
  // useless.
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
      weightLocation(Entry, Spec.m_Version) == loading::WeightLocation::Remote;
  Order.m_Value = loading::LoadScheduler::value(Demand, Now);
  m_OutstandingOrders[Order.m_Request.m_OrderId] = {Order, Now};
  Out.push_back(std::move(Order));
  return true;
}

void OwnedEndpoint::onPermitDenied(const std::string &OrderId,
                                   Instant RetryAt) {
  const auto It = m_OutstandingOrders.find(OrderId);
  if (It == m_OutstandingOrders.end())
    return;
  const EntryName Entry = It->second.m_Order.m_Request.m_Model;
  m_OutstandingOrders.erase(It);
  Replica &Item = m_Replicas[Entry];
  Item.m_State = ReplicaState::Cold;
  Item.m_EarliestNextOrder = RetryAt;
  m_Ledger->releaseWeights(Entry);
}

void OwnedEndpoint::onOrderResult(const std::string &OrderId,
                                  OrderResult Result, Instant Now) {
  const auto It = m_OutstandingOrders.find(OrderId);
  if (It == m_OutstandingOrders.end() || Result == OrderResult::Unknown)
    return;
  const OutstandingOrder Finished = It->second;
  m_OutstandingOrders.erase(It);
  const OrderRequest &Request = Finished.m_Order.m_Request;
  Replica &Item = m_Replicas[Request.m_Model];
  Item.m_LastOrderEndedAt = Now;
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
  Item.m_EarliestNextOrder =
      Now + (Result == OrderResult::Busy ? BusyRetryDelay : FailureRetryDelay);
  if (IsLoad)
    m_Ledger->releaseWeights(Request.m_Model);
}

} // namespace sff::control
