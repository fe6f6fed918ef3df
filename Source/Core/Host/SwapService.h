#pragma once

#include "Core/Loading/LoadScheduler.h"
#include "Core/Serving/DemandQueue.h"
#include "Core/Serving/EngineLoad.h"
#include "Core/Serving/FleetSize.h"
#include "Core/Serving/SwapPlanner.h"
#include "Host/InventoryNotifier.h"
#include "Host/OrderRights.h"
#include "Host/PeerMessages.h"

#include <map>
#include <set>

namespace sff::host {

/// Gives orders to the endpoints of the zones whose right this host holds, so
/// that the models and adapters that hosts ask for are loaded.
/// Thread safety: use from the host's io_context only.
class SwapService {
public:
  SwapService(HostState &State, OrderRights &Rights,
              InventoryNotifier &Notifier);

  void start();
  /// Answers when the model is loaded, or after the time that the asking host
  /// waits.
  Task<DemandAnswer> handle(ModelDemand Demand);
  /// Takes note of one host's requests and returns how many hosts report.
  UsageAnswer onUsage(const UsageReport &Report);

private:
  /// Reports may be this old, so that one that is read sooner after an order
  /// may not show what it did.
  static constexpr milliseconds ReportLag{600};

  /// What this host knows of an endpoint that it gives orders to.
  struct Work {
    bool m_Busy = false;   ///< A coroutine gives it orders.
    std::string m_Loading; ///< The model of that coroutine.
    Instant m_ReadyAt;     ///< Expected end of that load.
    Instant m_RestUntil;   ///< It did not answer; leave it alone.
    /// What it holds and how many orders it has accepted: its report, kept in
    /// step with the orders of this host since.
    std::optional<EngineReport> m_Report;
    Instant m_LastOrderAt;
  };
  struct Target {
    EndpointId m_Id;
    http::Address m_Address;
    ZoneId m_Zone;
  };
  using Candidates = std::vector<serving::SwapCandidate>;
  /// A load of a model that is worth its cost within a bound.
  struct SwapRequest {
    serving::DemandKey m_Key;
    bool m_MayLoadRemote = false;
    bool m_Replica = false;
    /// Seconds of waiting that evictions for it may cause.
    double m_WorthSeconds = 0;
    /// Endpoints that may load it; all when empty.
    std::function<bool(const EndpointId &)> m_MayUse = {};
  };

  std::vector<const serving::Endpoint *>
  endpointsOf(const serving::DemandKey &Key) const;
  std::optional<EndpointId> findHolding(const serving::DemandKey &Key) const;
  /// Corrects what this host believes of endpoints that have refused requests
  /// of the asking host for the lack of the model.
  void believeLacked(const ModelDemand &Demand);
  /// Expected end of a load of the model, if one runs.
  std::optional<Instant> loadingUntil(const std::string &Model) const;
  /// What can be said of a demand now. \p Planned: it has been looked at since
  /// it came.
  std::optional<DemandAnswer> answerTo(const ModelDemand &Demand,
                                       const serving::DemandKey &Key,
                                       bool Planned) const;
  /// Starts what the waiting demands need, the most urgent first, as far as
  /// endpoints are free.
  void startPending();
  /// Calls startPending() soon, once for all causes of a short time.
  void schedulePending();
  Task<void> startPendingSoon();
  bool anyEndpointFree(const serving::DemandKey &Key) const;
  /// Counts the replicas of each model on endpoints that take work.
  void countReplicas();
  void startWork(const serving::PendingDemand &Demand,
                 const serving::EngineSpec &Engine);
  bool startAdapter(const serving::DemandKey &Key,
                    const serving::EngineSpec &Engine);
  bool startSwap(const SwapRequest &Request, const serving::EngineSpec &Engine,
                 const serving::ModelSpec &Model);
  /// Looks at the load from time to time, also where nothing is waited for.
  Task<void> watchLoad();
  /// Starts replicas of overloaded models in the zones of this holder.
  void relieveOverloads();
  void relieveService(const std::string &Service,
                      const serving::EngineSpec &Engine,
                      std::span<const ZoneId> Zones);
  /// Starts a replica of the model in the zone, if it is due there.
  void relieve(const serving::Overload &Item, const serving::EngineLoad &Load,
               const serving::DemandKey &Key,
               const serving::EngineSpec &Engine);
  std::vector<serving::EndpointPlacement>
  placementsOf(const std::string &Service) const;
  /// The zones take turns, so that not all of them add a replica at once.
  bool isTurnOf(const ZoneId &Zone, const std::string &Model) const;
  serving::SwapCandidate candidateOf(const serving::Inventory &Held,
                                     const EndpointId &Id,
                                     const serving::EngineSpec &Engine,
                                     const serving::ModelSpec &Model) const;
  /// Requests of the model may be running.
  bool isInUse(const std::string &Model) const;
  int otherReplicas(std::string_view Model) const;

  Task<void> runSwap(Target Where, std::string Model,
                     serving::EngineSpec Engine, bool Remote);
  /// Takes the right to load from the weight store now: one at a time for
  /// each zone, and fewer while the store is slow.
  bool takeRemoteLoad(const serving::EngineSpec &Engine,
                      const serving::ModelSpec &Model);
  void onRemoteLoad(Duration Taken, Duration Expected);
  /// Shortest time until the model can be there from the weight store.
  Duration remoteLoadBound(const serving::ModelSpec &Model) const;
  Task<bool> swap(Target Where, std::string Model, serving::EngineSpec Engine);
  Task<void> runAdapter(Target Where, serving::ModelName Name,
                        serving::EngineSpec Engine);
  Task<bool> loadAdapter(Target Where, serving::ModelName Name,
                         serving::EngineSpec Engine);
  Task<bool> evictAdapter(Target Where, EngineReport Report);
  /// Reads the endpoint's report unless it is known.
  Task<bool> ensureReport(Target Where);
  /// The endpoint has accepted as many orders as this host knows of; its
  /// latest one may not show yet.
  Task<bool> countsAgree(Target Where);
  /// Sends an order and counts it when it is accepted.
  Task<OrderStatus> order(Target Where, OrderKind Kind,
                          serving::ModelName Name);
  Task<OrderStatus> send(Target Where, OrderKind Kind, serving::ModelName Name);
  /// Repeats a load order until the endpoint says that it holds the model or
  /// adapter, first after \p Expected.
  Task<bool> awaitHeld(Target Where, serving::ModelName Name,
                       Duration Expected);
  /// Sends an order, and again while the one before it is carried out.
  Task<OrderStatus> orderWhenFree(Target Where, OrderKind Kind,
                                  serving::ModelName Name, Duration Limit);
  void publish(const EndpointId &Id, const serving::ModelName &Name, bool Held);
  /// Keeps the known report in step with the orders of this host.
  void noteInReport(const EndpointId &Id, const serving::ModelName &Name,
                    bool Held);
  /// Takes the replicas at the start for the demand of the time before, until
  /// hosts have reported theirs.
  void assumeEarlierDemand();
  void finish(const EndpointId &Id, bool Done);

  HostState &m_State;
  OrderRights &m_Rights;
  InventoryNotifier &m_Notifier;
  Signal m_Progress;
  std::map<EndpointId, Work> m_Work;
  serving::DemandQueue m_Queue;
  std::map<std::string, Instant, std::less<>> m_LoadedAt;
  std::map<std::string, int, std::less<>> m_Replicas;
  bool m_PendingScheduled = false;
  serving::DemandRates m_Demand; ///< Of all hosts that report.
  /// The same over a short time, to notice a jump in the demand.
  serving::DemandRates m_RecentDemand;
  serving::FleetSize m_Fleet; ///< The hosts that report usage.
  Instant m_RelievedAt;
  bool m_DemandAssumed = false;
  bool m_RemoteLoadRuns = false;
  Instant m_RemoteReadyAt;  ///< Expected end of that load.
  Instant m_NextRemoteLoad; ///< No load from the weight store before this.
  std::optional<loading::LoadPermits> m_Permits;
};

} // namespace sff::host
