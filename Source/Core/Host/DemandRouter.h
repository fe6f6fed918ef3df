#pragma once

#include "Core/Serving/DemandPressure.h"
#include "Core/Serving/EndpointSpeeds.h"
#include "Host/PeerRelay.h"
#include "Host/SwapService.h"

#include <map>
#include <set>
#include <span>

namespace sff::host {

/// Requests the models and adapters that this host's callers wait for from the
/// holders of the order leases, and reports this host's usage to them.
/// Thread safety: use from the host's io_context only.
class DemandRouter {
public:
  DemandRouter(HostState &State, OrderLeases &Leases, SwapService &Swaps,
               PeerRelay &Relay)
      : m_State(State), m_OrderLeases(Leases), m_Swaps(Swaps), m_Relay(Relay),
        m_Peers(State.m_Context.get_executor()) {}

  void start();
  /// Requests the model until \p Until unless a request for it is already in
  /// progress. The endpoint directory shows when it is loaded.
  void requestModel(const std::string &Service, const serving::ModelName &Name,
                    std::int64_t Rank, Instant Until);
  /// The earliest time at which the model can be loaded, according to the
  /// holders of the zones. Nothing when no holder has given an estimate.
  std::optional<Instant> expectedReadyAt(const std::string &Model) const;
  void onRequest(const serving::ModelName &Name);
  /// Called when an endpoint has responded that it lacks the model or adapter.
  void onModelMissing(const serving::ModelName &Name,
                      const EndpointId &Endpoint);
  /// Called when a request is sent to \p Endpoint.
  void onSent(const serving::ModelName &Name, const EndpointId &Endpoint);
  /// Called when an endpoint has had no room for a request.
  void onFull(const serving::ModelName &Name);
  /// Called when a request that was sent to \p Endpoint has got its complete
  /// answer.
  void onCompleted(const std::string &Route, const EndpointId &Endpoint,
                   Instant SentAt);
  /// Adds \p Change to the number of requests that wait for the model.
  void adjustWaiting(const serving::ModelName &Name, int Change);

private:
  /// A zone whose endpoints can load the model.
  struct ZoneCandidate {
    ZoneId m_Zone;
    double m_LoadSeconds = 0; ///< Expected load time at its best endpoint.
    std::size_t m_TieBreak = 0;
  };

  Task<void> obtainModel(std::string Service, serving::ModelName Name,
                         std::int64_t Rank, Instant Until);
  /// Zones that can load the model, the best one first.
  std::vector<ZoneCandidate> zonesFor(const std::string &Service,
                                      const serving::ModelName &Name) const;
  double loadSecondsAt(const serving::Endpoint &Item,
                       const serving::ModelName &Name,
                       const serving::ModelSpec &Model) const;
  Task<DemandResponse> sendDemand(ModelDemand Demand);
  /// Waits for a zone for at most \p Limit, or longer while it loads the model.
  Task<DemandResponse> sendDemandToZone(ModelDemand Demand, Duration Limit,
                                        Instant Until);
  /// Repeats the demand to one zone until the model is loaded or \p Until.
  Task<DemandResponse> waitForZone(ModelDemand Demand, Instant Until);
  /// Sends the demand to one zone after another, in the order of \p Zones.
  Task<DemandResponse> sendDemandToZones(ModelDemand Demand,
                                         std::span<const ZoneCandidate> Zones,
                                         Instant Until);
  void setExpectedReadyAt(const std::string &Model, Instant ReadyAt);
  Task<void> reportUsage();
  /// Waits until a report is due: at the end of the regular interval, or sooner
  /// while there is pressure. Returns whether it is sent sooner.
  Task<bool> waitForReport(Instant LastReportAt);
  UsageReport takeUsage(Instant LastReportAt);
  /// Sends a report. An early one is not sent to a zone whose holder is not
  /// known, since a query to the store costs a call.
  Task<void> sendUsage(ZoneId Zone, UsageReport Report, bool IsEarly);
  /// Demands for models that this host's callers use often and that have no
  /// replica in the host's zone.
  std::vector<ModelDemand> missingReplicas() const;
  Task<void> requestReplicas();

  HostState &m_State;
  OrderLeases &m_OrderLeases;
  SwapService &m_Swaps;
  PeerRelay &m_Relay; ///< Learns which hosts there are.
  http::Client m_Peers;
  std::set<serving::ModelName> m_Requested;
  std::map<serving::ModelName, std::int64_t> m_Waiting;
  /// Endpoints that reported the model as missing, kept until the next demand
  /// for it.
  std::map<serving::ModelName, std::set<EndpointId>> m_MissingAt;
  /// Expected load times of the models that are being requested.
  std::map<std::string, Instant, std::less<>> m_ReadyAt;
  /// Requests since the last usage report.
  std::map<std::string, double> m_Usage;
  serving::PressureSigns m_Pressure;
  AsyncCondition m_ReportDue; ///< An early report has become due.
  serving::WorkMeter m_Work;
  Instant m_LastPressureAt;
  std::map<ZoneId, std::int64_t> m_HostsByZone;
};

} // namespace sff::host
