#pragma once

#include "Host/SwapService.h"

#include <map>
#include <set>
#include <span>

namespace sff::host {

/// Asks the holders of the order rights for models and adapters that requests
/// of this host wait for, and tells them what this host's callers use.
/// Thread safety: use from the host's io_context only.
class DemandRouter {
public:
  DemandRouter(HostState &State, OrderRights &Rights, SwapService &Swaps)
      : m_State(State), m_Rights(Rights), m_Swaps(Swaps),
        m_Peers(State.m_Context.get_executor()) {}

  void start();
  /// Makes sure that someone is asked for the model until \p Until; the
  /// directory shows when it is there.
  void ensure(const std::string &Service, const serving::ModelName &Name,
              std::int64_t Rank, Instant Until);
  /// The earliest time at which the model can be there, as far as the holders
  /// of the zones know.
  std::optional<Instant> readyAt(const std::string &Model) const;
  void onRequest(const serving::ModelName &Name);
  /// An endpoint has answered that it lacks the model or adapter.
  void onLacked(const serving::ModelName &Name, const EndpointId &Endpoint);
  /// A request begins or stops to wait for the model.
  void onWaiting(const serving::ModelName &Name, int Change);

private:
  /// A zone whose endpoints may load the model, the best one first.
  struct ZoneChoice {
    ZoneId m_Zone;
    double m_Seconds = 0; ///< Expected time to load there.
    std::size_t m_Hash = 0;
  };

  Task<void> obtain(std::string Service, serving::ModelName Name,
                    std::int64_t Rank, Instant Until);
  std::vector<ZoneChoice> zonesFor(const std::string &Service,
                                   const serving::ModelName &Name) const;
  double secondsAt(const serving::Endpoint &Item,
                   const serving::ModelName &Name,
                   const serving::ModelSpec &Model) const;
  Task<DemandAnswer> ask(ModelDemand Demand);
  /// Asks a zone for at most \p Limit, and longer while it loads the model.
  Task<DemandAnswer> askZone(ModelDemand Demand, Duration Limit, Instant Until);
  /// Asks one zone again until the model is there or \p Until.
  Task<DemandAnswer> stayWith(ModelDemand Demand, Instant Until);
  /// Asks the zones one after the other, the best first.
  Task<DemandAnswer> askZones(ModelDemand Demand,
                              std::span<const ZoneChoice> Zones, Instant Until);
  void expect(const std::string &Model, Instant ReadyAt);
  Task<void> reportUsage();
  Task<void> sendUsage(ZoneId Zone, UsageReport Report);
  /// Models that are busy here and have no replica in the host's zone.
  std::vector<ModelDemand> missingReplicas() const;
  Task<void> wishReplicas();

  HostState &m_State;
  OrderRights &m_Rights;
  SwapService &m_Swaps;
  http::Client m_Peers;
  std::set<serving::ModelName> m_Asked;
  std::map<serving::ModelName, std::int64_t> m_Waiting;
  /// What endpoints have said that they lack, until a holder has been told.
  std::map<serving::ModelName, std::set<EndpointId>> m_Lacked;
  /// When models are expected to be there, for those that are asked for.
  std::map<std::string, Instant, std::less<>> m_ReadyAt;
  std::map<std::string, double> m_Usage; ///< Since the last report.
  std::map<ZoneId, std::int64_t> m_HostsByZone;
};

} // namespace sff::host
