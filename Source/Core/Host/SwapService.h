#pragma once

#include "Core/Loading/LoadScheduler.h"
#include "Core/Serving/DemandPressure.h"
#include "Core/Serving/DemandQueue.h"
#include "Core/Serving/EndpointSpeeds.h"
#include "Core/Serving/EngineLoad.h"
#include "Core/Serving/FleetSize.h"
#include "Core/Serving/SwapPlanner.h"
#include "Host/InventoryNotifier.h"
#include "Host/OrderLeases.h"
#include "Host/PeerMessages.h"

#include <map>
#include <set>

namespace sff::host {

/// Sends orders to the endpoints of the zones whose order lease this host
/// holds, so that they load the models and adapters that hosts demand.
/// Thread safety: use from the host's io_context only.
class SwapService {
public:
  SwapService(HostState &State, OrderLeases &Leases,
              InventoryNotifier &Notifier);

  void start();
  /// Responds when the model is loaded, or after the time that the sender
  /// waits. Responds earlier when the demand cannot be met or asks for an
  /// estimate that is known.
  Task<DemandResponse> handleDemand(ModelDemand Demand);
  /// Records the usage of one host. Returns the number of reporting hosts and
  /// the merged crash counts.
  UsageResponse onUsage(UsageReport Report);

private:
  /// Maximum age of an endpoint's report. A report read sooner than this after
  /// an order may not show its effect.
  static constexpr milliseconds ReportLag{600};

  /// What this host knows of an endpoint that it sends orders to.
  struct ManagedEndpoint {
    bool m_Busy = false;   ///< A coroutine sends it orders.
    std::string m_Loading; ///< The model that the coroutine loads.
    Instant m_ReadyAt;     ///< Expected end of that load.
    /// No orders before this, after a failed operation.
    Instant m_BackoffUntil;
    /// The endpoint's latest report with its inventory and the number of
    /// accepted orders, updated with the orders of this host since.
    std::optional<EngineReport> m_Report;
    Instant m_LastOrderAt;
  };
  struct Target {
    EndpointId m_Id;
    http::Address m_Address;
    ZoneId m_Zone;
  };
  using Candidates = std::vector<serving::SwapCandidate>;
  /// A load of a model with a limit on the cost of its evictions.
  struct SwapRequest {
    serving::DemandKey m_Key;
    bool m_MayLoadRemote = false;
    bool m_Replica = false;
    /// Longest waiting time, in seconds, that its evictions may cause.
    double m_MaxEvictionCostSeconds = 0;
    /// Whether the endpoint may load it; all may when empty.
    std::function<bool(const EndpointId &)> m_IsEligible = {};
    /// Cost of the work that the endpoint has already, in seconds; none when
    /// empty.
    std::function<double(const EndpointId &)> m_WorkSeconds = {};
  };

  /// Replicas of the models that have too few.
  struct ReplicaCounts {
    int m_Wanted = 0;
    int m_Held = 0;
  };

  /// Removes models and adapters that the configuration does not have. Callers
  /// choose names, and other hosts may pass on whatever they were sent.
  void removeUnknownNames(std::map<std::string, double> &ByName) const;
  std::vector<const serving::Endpoint *>
  endpointsOf(const serving::DemandKey &Key) const;
  std::optional<EndpointId> findHolding(const serving::DemandKey &Key) const;
  /// Corrects the inventories of endpoints that have refused requests of the
  /// sender because they lack the model.
  void applyMissingModels(const ModelDemand &Demand);
  /// Expected end of a running load of the model, if there is one.
  std::optional<Instant> loadingUntil(const std::string &Model) const;
  /// The response to a demand, if it is already known. \p Planned:
  /// startPending() has had time to process the demand.
  std::optional<DemandResponse> currentResponse(const ModelDemand &Demand,
                                                const serving::DemandKey &Key,
                                                bool Planned) const;
  /// Starts loads for the queued demands, the most urgent first, on endpoints
  /// that are free.
  void startPending();
  /// Schedules a call of startPending(), which covers all events within
  /// PlanningDelay.
  void schedulePending();
  Task<void> startPendingDelayed();
  bool anyEndpointFree(const serving::DemandKey &Key) const;
  /// Counts the replicas of each model on endpoints that accept requests.
  void countReplicas();
  void startLoad(const serving::PendingDemand &Demand,
                 const serving::EngineSpec &Engine);
  bool startAdapter(const serving::DemandKey &Key,
                    const serving::EngineSpec &Engine);
  bool startSwap(const SwapRequest &Request, const serving::EngineSpec &Engine,
                 const serving::ModelSpec &Model);
  /// Schedules startPending() periodically, so that overloads are noticed even
  /// when no demand is queued.
  Task<void> watchLoad();
  /// Starts replicas of overloaded models in the zones whose lease this host
  /// holds.
  void replicateOverloadedModels();
  void replicateOverloadedModelsOf(const std::string &Service,
                                   const serving::EngineSpec &Engine,
                                   std::span<const ZoneId> Zones,
                                   ReplicaCounts &Counts);
  /// Starts a replica of the model in the zone if it is the zone's turn or the
  /// model is saturated. Starts the zone's share of all replicas that are
  /// missing if hosts find its endpoints full.
  void tryReplicate(const serving::Overload &Overloaded,
                    const serving::EngineLoad &Load,
                    const serving::DemandKey &Key,
                    const serving::EngineSpec &Engine);
  std::vector<serving::EndpointPlacement>
  placementsOf(const std::string &Service) const;
  /// Whether it is the zone's turn to add a replica of the model. The zones
  /// take turns, so that they do not all add one at once.
  bool isTurnOf(const ZoneId &Zone, const std::string &Model) const;
  serving::SwapCandidate candidateOf(const serving::Inventory &Held,
                                     const EndpointId &Id,
                                     const serving::EngineSpec &Engine,
                                     const serving::ModelSpec &Model) const;
  /// Starts one replica. Returns whether an endpoint can load it.
  bool startReplica(const serving::Overload &Overloaded,
                    const serving::EngineLoad &Load,
                    const serving::DemandKey &Key,
                    const serving::EngineSpec &Engine);
  /// Number of endpoints that load the model by orders of this host.
  int loadsOf(const std::string &Model) const;
  /// Whether the model must not be evicted now.
  bool isProtected(std::string_view Model) const;
  /// Requests per second of the model, of the last seconds.
  double recentRate(std::string_view Model) const;
  /// Whether requests of the model may be running.
  bool isInUse(const std::string &Model) const;
  int otherReplicas(std::string_view Model) const;

  Task<void> runSwap(Target Destination, std::string Model,
                     serving::EngineSpec Engine, bool Remote);
  /// Acquires permission to load from the weight store now. Allows one load at
  /// a time, within a rate shared by all zones, and none for a while after a
  /// slow load.
  bool tryAcquireRemoteLoad(const serving::EngineSpec &Engine,
                            const serving::ModelSpec &Model);
  void onRemoteLoad(Duration Taken, Duration Expected);
  /// Lower bound of the time until the model can be loaded from the weight
  /// store.
  Duration minRemoteLoadTime(const serving::ModelSpec &Model) const;
  Task<bool> swap(Target Destination, std::string Model,
                  serving::EngineSpec Engine);
  Task<void> runAdapter(Target Destination, serving::ModelName Name,
                        serving::EngineSpec Engine);
  Task<bool> loadAdapter(Target Destination, serving::ModelName Name,
                         serving::EngineSpec Engine);
  Task<bool> evictAdapter(Target Destination, EngineReport Report);
  /// Reads the endpoint's report. Returns nothing if it cannot be read.
  Task<std::optional<EngineReport>> fetchReport(Target Destination);
  /// Reads the endpoint's report unless it is already known. False when it
  /// cannot be read or an order is being executed.
  Task<bool> ensureReport(Target Destination);
  /// Whether the endpoint's report shows as many accepted orders as this host
  /// knows of. The latest order may be missing from the report.
  Task<bool> orderCountsMatch(Target Destination);
  /// Sends an order and, if it is accepted, increments the expected order
  /// count.
  Task<OrderStatus> sendCountedOrder(Target Destination, OrderKind Kind,
                                     serving::ModelName Name);
  Task<OrderStatus> send(Target Destination, OrderKind Kind,
                         serving::ModelName Name);
  /// Repeats a load order until the endpoint responds that it holds the model
  /// or adapter. The first repeat is sent after \p Expected.
  Task<bool> waitUntilHeld(Target Destination, serving::ModelName Name,
                           Duration Expected);
  /// Sends an order and repeats it while the endpoint responds with a conflict,
  /// for example because it executes the previous one.
  Task<OrderStatus> orderAndRetryConflicts(Target Destination, OrderKind Kind,
                                           serving::ModelName Name,
                                           Duration Limit);
  void publish(const EndpointId &Id, const serving::ModelName &Name, bool Held);
  /// Applies the effect of this host's order to the stored report.
  void updateReport(const EndpointId &Id, const serving::ModelName &Name,
                    bool Held);
  /// Estimates the demand from the replicas that exist at the start, until
  /// hosts have reported theirs.
  void seedDemandFromReplicas();
  void finishOperation(const EndpointId &Id, bool Done);

  HostState &m_State;
  OrderLeases &m_OrderLeases;
  InventoryNotifier &m_Notifier;
  AsyncCondition m_OperationFinished;
  std::map<EndpointId, ManagedEndpoint> m_ManagedEndpoints;
  serving::DemandQueue m_Queue;
  std::map<std::string, Instant, std::less<>> m_LoadedAt;
  std::map<std::string, int, std::less<>> m_Replicas;
  bool m_PendingScheduled = false;
  serving::DemandRates m_Demand; ///< Request rates over all hosts that report.
  /// Like m_Demand over a short window, to detect sudden increases.
  serving::DemandRates m_RecentDemand;
  serving::DemandPressure m_Pressure;
  serving::DemandKnowledge m_Knowledge;
  serving::EndpointSpeeds m_Speeds;
  serving::FleetSize m_Fleet; ///< The hosts that report usage to this holder.
  std::mt19937_64 m_Random{std::random_device{}()};
  Instant m_OverloadsCheckedAt;
  bool m_DemandSeeded = false;
  bool m_RemoteLoadRunning = false;
  /// Expected end of the running load from the weight store.
  Instant m_RemoteReadyAt;
  Instant m_NextRemoteLoadAt; ///< No load from the weight store before this.
  std::optional<loading::LoadPermits> m_Permits;
};

} // namespace sff::host
