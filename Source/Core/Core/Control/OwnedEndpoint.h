#pragma once

#include "Core/Control/EndpointProtocol.h"
#include "Core/Fold/ClusterState.h"
#include "Core/Loading/EvictionPolicy.h"
#include "Core/Loading/LoadScheduler.h"
#include "Core/Memory/CreditLedger.h"
#include "Core/Messages/ControllerMessages.h"
#include "Core/Placement/SlotPlanner.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sff::control {

struct EndpointTimes {
  milliseconds m_LoanTimeToLive{3000};
  /// Demand that no router has repeated for this long is dropped.
  milliseconds m_DemandTimeToLive{3000};
  /// Expected load time per location, until loads have been measured.
  double m_MemoryLoadSeconds = 0.2;
  double m_DiskLoadSeconds = 1.0;
  double m_RemoteLoadSeconds = 3.0;
};

/// What this controller may do with its endpoints at the moment.
struct Authority {
  bool m_LeaseHeld = false;
  bool m_Stopping = false;
};

/// What one round of decisions is based on.
struct PlanInput {
  const fold::ClusterState &m_State;
  const loading::EvictionPolicy &m_Eviction;
  Authority m_Rights;
  IncarnationId m_Self;
  /// Controllers that have certainly ended.
  std::span<const IncarnationId> m_KnownGone;
  Instant m_Now;
};

enum class Stage {
  Fencing,    ///< The endpoint has to learn the new token first.
  Inspecting, ///< The inventory has to be read next.
  Ready,
  Silent, ///< The endpoint does not answer.
};

enum class ReplicaState { Cold, Loading, Ready, Unloading };

/// One order to send, with what the sender needs to know about it.
struct PlannedOrder {
  OrderRequest m_Request;
  /// The weights come from the weight store, whose rate needs a permit.
  bool m_NeedsPermit = false;
  double m_Value = 0; ///< See loading::LoadScheduler::value().
};

enum class OrderResult {
  Done,
  Busy,    ///< An unload was refused because requests run.
  Refused, ///< The token is old: another controller owns the endpoint.
  Failed,  ///< The endpoint answered that the order had no effect.
  Unknown, ///< No answer; the same order has to be sent again.
};

/// All decisions about one endpoint that this controller owns: takeover,
/// which replicas to load and unload, and lending of memory credits.
/// Thread safety: none.
class OwnedEndpoint {
public:
  OwnedEndpoint(messages::EndpointInfo Info, Offset Token, bool Fences,
                EndpointTimes Times);

  const messages::EndpointInfo &info() const { return m_Info; }
  /// Takes over changes of the host list, such as a leaving endpoint.
  void updateInfo(const messages::EndpointInfo &Info) { m_Info = Info; }
  Offset token() const { return m_Token; }
  Stage stage() const { return m_Stage; }
  bool fences() const { return m_Fences; }

  /// The endpoint has confirmed the token.
  void onFenced(Instant Now);
  /// The inventory was asked for at \p SentAt and read at \p Now.
  void onInventory(const Inventory &Report, Instant SentAt, Instant Now);
  /// A control call got no answer.
  void onUnreachable();

  /// Answers a request for credits, or returns nothing when it has to wait
  /// for a load or for free memory. Notes the demand in any case.
  std::optional<messages::BorrowCreditsReply>
  tryBorrow(const messages::BorrowCredits &Request,
            const fold::ClusterState &State, const Authority &Rights,
            Instant Now);
  /// Expected time until the entry can serve, for routers that wait.
  milliseconds estimateReady(const fold::ClusterState &State,
                             const EntryName &Entry, Instant Now) const;

  /// Chooses orders to send now; their effect is reserved at once.
  std::vector<PlannedOrder> planOrders(const PlanInput &Input);
  /// Slots that can be released now: they have to be given up, and nothing is
  /// loaded for them.
  std::vector<fold::SlotItem> releasableSlots(const PlanInput &Input) const;
  /// The release of a slot was handed to the log. It may land at any later
  /// time, so the slot is not used again unless it is granted anew.
  void onReleaseSent(const fold::SlotItem &Item);
  /// The permit for a load was denied; the entry stays cold until \p RetryAt.
  void onPermitDenied(const std::string &OrderId, Instant RetryAt);
  void onOrderResult(const std::string &OrderId, OrderResult Result,
                     Instant Now);

  ReplicaState stateOf(const EntryName &Entry) const;
  /// True while an order is outstanding.
  bool hasOutstandingOrders() const { return !m_Orders.empty(); }
  /// False when the endpoint has restarted since the order was planned; such
  /// an order must not be sent again.
  bool isOutstanding(const std::string &OrderId) const {
    return m_Orders.contains(OrderId);
  }

  memory::CreditLedger &ledger() { return *m_Ledger; }
  messages::EndpointStatus status() const;

private:
  struct Replica {
    ReplicaState m_State = ReplicaState::Cold;
    std::string m_Version;
    EntryName m_Base;
    std::int64_t m_Bytes = 0;
    Instant m_NotBefore; ///< Earliest next order after a denial or refusal.
    Instant m_ChangedAt; ///< When the last order for it ended.
  };
  struct Demand {
    std::int64_t m_Waiting = 0;
    catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
    Instant m_Deadline;
    Instant m_LastSeen;
  };
  struct Outstanding {
    PlannedOrder m_Order;
    Instant m_SentAt;
  };

  bool mayOrder(const Authority &Rights) const;
  /// True when a sent release still names the slot's present offset.
  bool isReleasePending(const fold::ClusterState &State,
                        const EntryName &Entry) const;
  /// Longest time to live of a loan given now; zero when none may be given.
  milliseconds loanTimeToLive(const Authority &Rights, Instant Now) const;
  std::optional<messages::BorrowCreditsReply>
  checkBorrow(const messages::BorrowCredits &Request,
              const fold::ClusterState &State, const Authority &Rights) const;
  void noteDemand(const messages::BorrowCredits &Request, Instant Now);
  bool isUsable(const Replica &Item, const catalogue::EntrySpec &Spec) const;
  bool isIdle(const EntryName &Entry) const;
  loading::WeightLocation locate(const EntryName &Entry,
                                 const std::string &Version) const;
  double loadSeconds(loading::WeightLocation Location) const;
  std::vector<loading::LoadedReplica> idleReplicas() const;

  placement::PlanContext planContext(const PlanInput &Input) const;
  std::vector<EntryName> loadedEntries() const;
  void planUnwanted(const PlanInput &Input, std::vector<PlannedOrder> &Out);
  void planLoads(const PlanInput &Input, std::vector<PlannedOrder> &Out);
  void planIdle(const PlanInput &Input, std::vector<PlannedOrder> &Out);
  std::vector<loading::LoadDemand>
  collectDemands(const fold::ClusterState &State, Instant Now);
  void addUnload(const EntryName &Entry, Instant Now,
                 std::vector<PlannedOrder> &Out);
  bool addLoad(const EntryName &Entry, const catalogue::EntrySpec &Spec,
               const loading::LoadDemand &Demand, Instant Now,
               std::vector<PlannedOrder> &Out);
  std::size_t maxParallelOrders() const;
  /// False when an order has changed the replica since the report was asked
  /// for, so that the report may be older than the change.
  bool isReportCurrent(const EntryName &Entry, Instant SentAt) const;
  /// Takes over what the endpoint really holds.
  void reconcile(const Inventory &Report, Instant SentAt);
  void onRestart();

  messages::EndpointInfo m_Info;
  Offset m_Token;
  bool m_Fences;
  EndpointTimes m_Times;
  Stage m_Stage = Stage::Fencing;
  std::string m_Incarnation;
  std::optional<memory::CreditLedger> m_Ledger;
  std::map<EntryName, Replica> m_Replicas;
  std::map<EntryName, Demand> m_Demands;
  std::map<std::string, Outstanding> m_Orders;
  std::map<EntryName, fold::SlotItem> m_SentReleases;
  std::vector<CachedWeights> m_Cached;
  /// Sending time of the last inventory that showed our token as the highest.
  std::optional<Instant> m_TokenConfirmedAt;
  double m_RemoteLoadSeconds;
};

} // namespace sff::control
