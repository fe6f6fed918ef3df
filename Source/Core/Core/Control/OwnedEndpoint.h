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

/// Durations that determine the decisions about one endpoint.
struct EndpointTimes {
  milliseconds m_LoanTimeToLive{3000};
  /// Demand that no router has repeated for this long is dropped.
  milliseconds m_DemandTimeToLive{3000};
  // Expected load time by location of the weights. The remote value is an
  // initial estimate that is adjusted by measured loads.
  double m_MemoryLoadSeconds = 0.2;
  double m_DiskLoadSeconds = 1.0;
  double m_RemoteLoadSeconds = 3.0;
};

/// Conditions that determine whether this controller may act on its endpoints.
struct Authority {
  bool m_LeaseHeld = false; ///< This controller's lease has not expired.
  bool m_Stopping = false;  ///< This controller is shutting down.
};

/// Input of one planning round.
struct PlanInput {
  const fold::ClusterState &m_State;
  const loading::EvictionPolicy &m_Eviction;
  Authority m_Authority;
  IncarnationId m_Self;
  /// Controllers that are known to have terminated.
  std::span<const IncarnationId> m_TerminatedControllers;
  Instant m_Now;
};

/// Stage of the control over an endpoint, from takeover to normal operation.
enum class Stage {
  Fencing,           ///< The endpoint has not confirmed the new token yet.
  AwaitingInventory, ///< The token is confirmed; no inventory was read yet.
  Ready,
  Silent, ///< The endpoint does not respond.
};

enum class ReplicaState { Cold, Loading, Ready, Unloading };

/// An order to send, with the data that the sender needs.
struct PlannedOrder {
  OrderRequest m_Request;
  /// True when the weights are read from the weight store. Its load rate is
  /// limited, so the sender needs a permit first.
  bool m_NeedsPermit = false;
  double m_Value = 0; ///< See loading::LoadScheduler::value().
};

enum class OrderResult {
  Done,
  Busy,    ///< An unload was refused because requests are running.
  Refused, ///< The token is stale: another controller owns the endpoint.
  Failed,  ///< The endpoint responded that the order had no effect.
  Unknown, ///< No response; the same order has to be sent again.
};

/// State of one endpoint that this controller owns. Decides on takeover, on
/// loading and unloading replicas, and on lending memory credits.
/// Thread safety: none.
class OwnedEndpoint {
public:
  /// \p EnforcesFencing tells whether the endpoint rejects orders with a stale
  /// fencing token.
  OwnedEndpoint(messages::EndpointInfo Info, Offset Token, bool EnforcesFencing,
                EndpointTimes Times);

  const messages::EndpointInfo &info() const { return m_Info; }
  /// Updates the endpoint's data from the host list, for example its state
  /// when it is leaving.
  void updateInfo(const messages::EndpointInfo &Info) { m_Info = Info; }
  Offset token() const { return m_Token; }
  Stage stage() const { return m_Stage; }
  bool enforcesFencing() const { return m_EnforcesFencing; }

  /// Called when the endpoint has confirmed the token.
  void onTokenRejected(Instant Now);
  /// Processes an inventory that was requested at \p SentAt.
  void onInventory(const Inventory &Report, Instant SentAt);
  /// Called when a control call got no response.
  void onUnreachable();

  /// Answers a request for credits, or returns nothing when the request has to
  /// wait for a load or for free memory. Records the demand unless the request
  /// is refused at once.
  std::optional<messages::BorrowCreditsReply>
  tryBorrow(const messages::BorrowCredits &Request,
            const fold::ClusterState &State, const Authority &Rights,
            Instant Now);
  /// Expected time until the entry can serve requests, reported to routers that
  /// wait for it.
  milliseconds estimateReady(const fold::ClusterState &State,
                             const EntryName &Entry, Instant Now) const;

  /// Chooses the orders to send now and reserves the memory for their effects.
  std::vector<PlannedOrder> planOrders(const PlanInput &Input);
  /// Slots that can be released now: they must be given up, and no replica is
  /// loaded for them. Includes slots whose release was sent and has not been
  /// applied yet.
  std::vector<fold::SlotItem> releasableSlots(const PlanInput &Input) const;
  /// Called when the release of a slot was sent to the log. The record may be
  /// appended at any later time, so the slot is not used again until a new
  /// grant.
  void onReleaseSent(const fold::SlotItem &Item);
  /// Called when the permit for a load was denied. The entry is not loaded
  /// before \p RetryAt.
  void onPermitDenied(const std::string &OrderId, Instant RetryAt);
  void onOrderResult(const std::string &OrderId, OrderResult Result,
                     Instant Now);

  /// Takes over the outstanding orders of \p Previous, an earlier ownership of
  /// this endpoint by the same incarnation, because they may still take effect.
  void adoptOrders(const OwnedEndpoint &Previous);
  /// Outstanding orders, with the current token.
  std::vector<OrderRequest> outstandingOrders() const;
  /// True when orders may be sent now. Callers check this again right before
  /// sending.
  bool maySendOrders(const Authority &Rights) const;

  ReplicaState stateOf(const EntryName &Entry) const;
  bool hasOutstandingOrders() const { return !m_OutstandingOrders.empty(); }
  /// False once the order has ended, its permit was denied, or the endpoint has
  /// restarted since the order was planned. Such an order must not be sent
  /// again.
  bool isOutstanding(const std::string &OrderId) const {
    return m_OutstandingOrders.contains(OrderId);
  }

  memory::CreditLedger &ledger() { return *m_Ledger; }
  messages::EndpointStatus status() const;

private:
  /// Sets the memory headroom that is kept free for delayed orders of lapsed
  /// owners. It is lowered, and slots may be released, only after an inventory
  /// that was requested after the lapsed owner was known to have terminated:
  /// a delayed order of that owner may have taken effect since the inventory
  /// before.
  void updateHeadroom(const PlanInput &Input);
  bool mayReleaseSlots(const PlanInput &Input) const;

  struct Replica {
    ReplicaState m_State = ReplicaState::Cold;
    std::string m_Version;
    EntryName m_Base;
    std::int64_t m_Bytes = 0;
    /// Time before which no order is sent again after a denied permit or an
    /// order without effect.
    Instant m_EarliestNextOrder;
    Instant m_LastOrderEndedAt;
  };
  struct Demand {
    std::int64_t m_Waiting = 0;
    catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
    Instant m_Deadline;
    Instant m_LastSeen;
  };
  struct OutstandingOrder {
    PlannedOrder m_Order;
    Instant m_SentAt;
  };

  /// True when a release of the entry's slot was sent and may still take
  /// effect: the record names the slot's current offset.
  bool isReleasePending(const fold::ClusterState &State,
                        const EntryName &Entry) const;
  /// Longest time to live of a loan granted now; zero when no loan may be
  /// granted.
  milliseconds loanTimeToLive(const Authority &Rights, Instant Now) const;
  /// Returns a refusal, or nothing when the request may be considered.
  std::optional<messages::BorrowCreditsReply>
  checkBorrow(const messages::BorrowCredits &Request,
              const fold::ClusterState &State, const Authority &Rights) const;
  void recordDemand(const messages::BorrowCredits &Request, Instant Now);
  bool isUsable(const Replica &Item, const catalogue::EntrySpec &Spec) const;
  bool isIdle(const EntryName &Entry) const;
  loading::WeightLocation weightLocation(const EntryName &Entry,
                                         const std::string &Version) const;
  double loadSeconds(loading::WeightLocation Location) const;
  /// All loaded replicas; those that are in use or in demand are marked.
  std::vector<loading::LoadedReplica> evictionCandidates() const;

  placement::PlanContext planContext(const PlanInput &Input) const;
  std::vector<EntryName> loadedEntries() const;
  void planUnwantedUnloads(const PlanInput &Input,
                           std::vector<PlannedOrder> &Out);
  void planLoads(const PlanInput &Input, std::vector<PlannedOrder> &Out);
  void planIdleUnloads(const PlanInput &Input, std::vector<PlannedOrder> &Out);
  /// Demands for entries that are not loaded, in the order of the scheduler.
  std::vector<loading::LoadDemand>
  prioritizedDemands(const fold::ClusterState &State, Instant Now);
  void addUnload(const EntryName &Entry, Instant Now,
                 std::vector<PlannedOrder> &Out);
  bool addLoad(const EntryName &Entry, const catalogue::EntrySpec &Spec,
               const loading::LoadDemand &Demand, Instant Now,
               std::vector<PlannedOrder> &Out);
  std::size_t maxParallelOrders() const;
  /// False when an order for the entry is outstanding or has ended since the
  /// inventory was requested, so that the inventory may predate the change.
  bool isInventoryCurrent(const EntryName &Entry, Instant SentAt) const;
  /// Adjusts the replicas and the ledger to what the endpoint reports.
  void reconcile(const Inventory &Report, Instant SentAt);
  void onRestart();

  messages::EndpointInfo m_Info;
  Offset m_Token;
  bool m_EnforcesFencing;
  EndpointTimes m_Times;
  Stage m_Stage = Stage::Fencing;
  std::string m_Incarnation;
  std::optional<memory::CreditLedger> m_Ledger;
  std::map<EntryName, Replica> m_Replicas;
  std::map<EntryName, Demand> m_Demands;
  std::map<std::string, OutstandingOrder> m_OutstandingOrders;
  std::map<EntryName, fold::SlotItem> m_SentReleases;
  std::vector<CachedWeights> m_CachedWeights;
  std::int64_t m_Headroom = 0;
  /// When the required headroom first fell below the current one.
  std::optional<Instant> m_LowerHeadroomSince;
  /// When the last inventory that was processed was requested.
  std::optional<Instant> m_LastInventoryAt;
  /// When the last inventory that showed our token as the highest was
  /// requested.
  std::optional<Instant> m_TokenConfirmedAt;
  double m_RemoteLoadSeconds;
};

} // namespace sff::control
