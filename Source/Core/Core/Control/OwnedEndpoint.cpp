#include "Core/Control/OwnedEndpoint.h"

#include <algorithm>
#include <set>

namespace sff::control {

using messages::BorrowCreditsReply;
using messages::BorrowOutcome;

namespace {

constexpr milliseconds TakeoverRetryAfter{500};
constexpr milliseconds NotOwnerRetryAfter{200};
constexpr milliseconds SilentRetryAfter{1000};
constexpr milliseconds TooLargeRetryAfter{1000};

BorrowCreditsReply refuse(std::string Reason, milliseconds RetryAfter) {
  BorrowCreditsReply Reply;
  Reply.m_Outcome = BorrowOutcome::Refused;
  Reply.m_Reason = std::move(Reason);
  Reply.m_RetryAfter = RetryAfter;
  return Reply;
}

const char *stageName(Stage Value) {
  switch (Value) {
  case Stage::Fencing:
    return "claimed";
  case Stage::AwaitingInventory:
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
                             bool EnforcesFencing, EndpointTimes Times)
    : m_Info(std::move(Info)), m_Token(Token),
      m_EnforcesFencing(EnforcesFencing), m_Times(Times),
      m_Ledger(std::in_place, m_Info.m_MemoryBytes, Times.m_LoanTimeToLive),
      m_RemoteLoadSeconds(Times.m_RemoteLoadSeconds) {}

void OwnedEndpoint::onTokenRejected(Instant Now) {
  if (m_Stage != Stage::Fencing)
    return;
  m_Stage = Stage::AwaitingInventory;
  // The previous owner can no longer confirm its token, so all of its loans
  // expire within one time to live from now.
  m_Ledger->onTakeover(Now);
}

void OwnedEndpoint::onRestart() {
  m_Replicas.clear();
  m_CachedWeights.clear();
  m_OutstandingOrders.clear();
  m_Ledger.emplace(m_Info.m_MemoryBytes, m_Times.m_LoanTimeToLive);
  m_TokenConfirmedAt.reset();
  // A restarted endpoint may have lost the token.
  m_Stage = Stage::Fencing;
}

bool OwnedEndpoint::isInventoryCurrent(const EntryName &Entry,
                                       Instant SentAt) const {
  const auto HasOrder =
      std::ranges::any_of(m_OutstandingOrders, [&](const auto &Pair) {
        return Pair.second.m_Order.m_Request.m_Model == Entry;
      });
  const auto Known = m_Replicas.find(Entry);
  return !HasOrder && (Known == m_Replicas.end() ||
                       Known->second.m_LastOrderEndedAt < SentAt);
}

void OwnedEndpoint::reconcile(const Inventory &Report, Instant SentAt) {
  std::set<EntryName> Reported;
  for (const InventoryModel &Item : Report.m_Models) {
    Reported.insert(Item.m_Model);
    if (!isInventoryCurrent(Item.m_Model, SentAt))
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
        isInventoryCurrent(Entry, SentAt)) {
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
  m_LastInventoryAt = SentAt;
  m_CachedWeights = Report.m_CachedWeights;
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

bool OwnedEndpoint::maySendOrders(const Authority &Rights) const {
  return m_Stage == Stage::Ready && !Rights.m_Stopping &&
         (Rights.m_LeaseHeld || m_EnforcesFencing);
}

milliseconds OwnedEndpoint::loanTimeToLive(const Authority &Rights,
                                           Instant Now) const {
  if (Rights.m_LeaseHeld)
    return m_Times.m_LoanTimeToLive;
  // Without a lease, another controller may have claimed the endpoint. That
  // controller waits one loan time to live after it has raised the token.
  // Loans are therefore safe if they end within one time to live of the last
  // inventory that showed our token as the highest.
  if (!m_EnforcesFencing || !m_TokenConfirmedAt)
    return milliseconds(0);
  const auto Remaining =
      toMilliseconds(*m_TokenConfirmedAt + m_Times.m_LoanTimeToLive - Now);
  return std::max(Remaining, milliseconds(0));
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
    return refuse("too_large_for_endpoint", TooLargeRetryAfter);
  return std::nullopt;
}

void OwnedEndpoint::recordDemand(const messages::BorrowCredits &Request,
                                 Instant Now) {
  Demand &Known = m_Demands[Request.m_Entry];
  const Instant Deadline = Now + Request.m_Deadline;
  const bool IsNew = Now - Known.m_LastSeen > m_Times.m_DemandTimeToLive;
  Known.m_Deadline = IsNew ? Deadline : std::min(Known.m_Deadline, Deadline);
  if (IsNew || Request.m_Class == catalogue::TrafficClass::Interactive)
    Known.m_Class = Request.m_Class;
  Known.m_Waiting =
      IsNew ? Request.m_Waiting : std::max(Known.m_Waiting, Request.m_Waiting);
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
  recordDemand(Request, Now);
  if (m_Stage != Stage::Ready)
    return std::nullopt;
  const catalogue::EntrySpec &Spec = *State.findEntry(Request.m_Entry);
  const auto Known = m_Replicas.find(Request.m_Entry);
  if (Known == m_Replicas.end() || !isUsable(Known->second, Spec))
    return std::nullopt;
  const milliseconds TimeToLive = loanTimeToLive(Rights, Now);
  if (TimeToLive <= milliseconds(0))
    return refuse("lease_lapsed", TakeoverRetryAfter);
  const std::int64_t LentCredits =
      m_Ledger->lend(Request.m_Loan, Request.m_Router, Request.m_Entry,
                     Spec.requestBytes(), Request.m_Count, Now);
  if (LentCredits == 0)
    return std::nullopt;
  m_Demands.erase(Request.m_Entry);
  BorrowCreditsReply Reply;
  Reply.m_Outcome = BorrowOutcome::Granted;
  Reply.m_Loan = Request.m_Loan;
  Reply.m_Endpoint = m_Info.m_Endpoint;
  Reply.m_Address = m_Info.m_Address;
  Reply.m_Count = LentCredits;
  Reply.m_TimeToLive = TimeToLive;
  return Reply;
}

loading::WeightLocation
OwnedEndpoint::weightLocation(const EntryName &Entry,
                              const std::string &Version) const {
  const auto It =
      std::ranges::find_if(m_CachedWeights, [&](const CachedWeights &Weights) {
        return Weights.m_Model == Entry && Weights.m_Version == Version;
      });
  if (It == m_CachedWeights.end())
    return loading::WeightLocation::Remote;
  return It->m_Location == "memory" ? loading::WeightLocation::Memory
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
  double Seconds = Spec ? loadSeconds(weightLocation(Entry, Spec->m_Version))
                        : m_RemoteLoadSeconds;
  for (const auto &[Id, Item] : m_OutstandingOrders)
    if (Item.m_Order.m_Request.m_Kind == "load" &&
        Item.m_Order.m_Request.m_Model == Entry)
      Seconds = std::max(0.0, Seconds - toSeconds(Now - Item.m_SentAt));
  if (m_OutstandingOrders.size() >= maxParallelOrders())
    Seconds += m_RemoteLoadSeconds;
  return milliseconds(static_cast<std::int64_t>(Seconds * 1000));
}

bool OwnedEndpoint::isIdle(const EntryName &Entry) const {
  const auto HasAdapter =
      std::ranges::any_of(m_Replicas, [&](const auto &Pair) {
        return Pair.second.m_Base == Entry &&
               Pair.second.m_State != ReplicaState::Cold;
      });
  return !HasAdapter && m_Ledger->lentCredits(Entry) == 0;
}

std::vector<loading::LoadedReplica> OwnedEndpoint::evictionCandidates() const {
  std::vector<loading::LoadedReplica> Result;
  for (const auto &[Entry, Item] : m_Replicas)
    if (Item.m_State == ReplicaState::Ready)
      Result.push_back({Entry, Item.m_Bytes,
                        loadSeconds(weightLocation(Entry, Item.m_Version)),
                        catalogue::TrafficClass::Batch,
                        !isIdle(Entry) || m_Demands.contains(Entry)});
  return Result;
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
      Result.m_Replicas.push_back({Entry, replicaStateName(Item.m_State),
                                   m_Ledger->lentCredits(Entry)});
  return Result;
}

} // namespace sff::control
