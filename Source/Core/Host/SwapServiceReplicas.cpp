#include "Host/SwapService.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr auto LogCategory = log::Category::Loading;

/// Shorter than the interval of usage reports, which is a second or more.
constexpr milliseconds OverloadCheckInterval{500};
/// Minimum interval between overload checks. The load changes little within
/// this time, however often endpoints become free.
constexpr milliseconds MinOverloadCheckInterval{100};
/// How long each zone's turn to add a replica of a model lasts.
constexpr milliseconds ZoneTurnDuration{2000};
/// Above this utilization requests queue up. Zones then do not wait for their
/// turn, and may load from the weight store, which is better used for this
/// model than for a rarely used one.
constexpr double SaturatedUtilization = 1;
/// Waiting time, in seconds, that stands for the work of an endpoint that is
/// fully utilized, when the endpoint of a replica is chosen.
constexpr double FullEndpointCostSeconds = 5;

} // namespace

Task<void> SwapService::watchLoad() {
  while (true) {
    co_await sleepFor(OverloadCheckInterval);
    schedulePending();
  }
}

void SwapService::replicateOverloadedModels() {
  const auto Catalogue = m_State.m_Catalogue;
  if (!Catalogue || now() - m_OverloadsCheckedAt < MinOverloadCheckInterval)
    return;
  m_OverloadsCheckedAt = now();
  std::vector<ZoneId> Zones;
  for (const std::string &Zone : m_State.m_Settings.get(ZonesSetting))
    if (m_OrderLeases.tokenForOrder(ZoneId(Zone)))
      Zones.emplace_back(Zone);
  if (Zones.empty())
    return;
  ReplicaCounts Counts;
  for (const auto &[Name, Service] : Catalogue->m_Services)
    if (Service.m_Engine)
      replicateOverloadedModelsOf(Name, *Service.m_Engine, Zones, Counts);
  m_State.m_Metrics.setOverloadedReplicas(Counts.m_Wanted, Counts.m_Held);
}

std::vector<serving::EndpointPlacement>
SwapService::placementsOf(const std::string &Service) const {
  std::vector<serving::EndpointPlacement> Result;
  for (const auto &[Id, Item] : m_State.m_Endpoints.all()) {
    if (Item.m_Registration.m_Service != Service)
      continue;
    serving::EndpointPlacement Placement;
    Placement.m_Endpoint = Id;
    Placement.m_AcceptsRequests = Item.acceptsRequests();
    Placement.m_Leaving = m_State.m_Endpoints.isLeaving(Item, now());
    for (const serving::ResidentModel &Model : Item.inventory().m_Models)
      Placement.m_Models.push_back(Model.m_Name);
    Result.push_back(std::move(Placement));
  }
  return Result;
}

bool SwapService::isTurnOf(const ZoneId &Zone, const std::string &Model) const {
  const auto Zones =
      static_cast<std::int64_t>(m_State.m_Settings.get(ZonesSetting).size());
  const auto Offset = static_cast<std::int64_t>(
      std::hash<std::string>()(Zone.str() + Model) % 1000);
  return (now().time_since_epoch() / ZoneTurnDuration + Offset) % Zones == 0;
}

void SwapService::replicateOverloadedModelsOf(const std::string &Service,
                                              const serving::EngineSpec &Engine,
                                              std::span<const ZoneId> Zones,
                                              ReplicaCounts &Counts) {
  const auto Placements = placementsOf(Service);
  const serving::EngineLoad Load(
      Placements, [this](std::string_view Model) { return recentRate(Model); },
      serving::sustainableRate(Engine.m_Slots),
      {[this](const EndpointId &Id) { return m_Speeds.speed(Id, now()); },
       [this](std::string_view Model) {
         return m_Pressure.isUnderPressure(Model, now());
       }});
  const auto Overloads = Load.overloads();
  for (const serving::Overload &Overloaded : Overloads) {
    Counts.m_Held += Overloaded.m_Replicas;
    Counts.m_Wanted += Overloaded.m_Replicas + Overloaded.m_MissingReplicas;
  }
  for (const ZoneId &Zone : Zones)
    for (const serving::Overload &Overloaded : Overloads)
      tryReplicate(Overloaded, Load, {Zone, Service, {Overloaded.m_Model, {}}},
                   Engine);
}

void SwapService::tryReplicate(const serving::Overload &Overloaded,
                               const serving::EngineLoad &Load,
                               const serving::DemandKey &Key,
                               const serving::EngineSpec &Engine) {
  const std::string &Model = Overloaded.m_Model;
  const bool Saturated = Overloaded.m_Utilization > SaturatedUtilization;
  if (!Saturated && !isTurnOf(Key.m_Zone, Model))
    return;
  int Missing = 1;
  if (Overloaded.m_IsUnderPressure)
    Missing = serving::zoneShare(Overloaded.m_MissingReplicas,
                                 m_State.m_Settings.get(ZonesSetting).size());
  while (loadsOf(Model) < Missing &&
         startReplica(Overloaded, Load, Key, Engine))
    ;
}

bool SwapService::startReplica(const serving::Overload &Overloaded,
                               const serving::EngineLoad &Load,
                               const serving::DemandKey &Key,
                               const serving::EngineSpec &Engine) {
  const serving::ModelSpec *Model = Engine.find(Overloaded.m_Model);
  if (!Model)
    return false;
  SwapRequest Request;
  Request.m_Key = Key;
  Request.m_MayLoadRemote =
      Overloaded.m_Utilization > SaturatedUtilization || Overloaded.m_AtRisk;
  Request.m_Replica = true;
  Request.m_MaxEvictionCostSeconds = Overloaded.m_SavedWaitSeconds;
  Request.m_IsEligible = [&Load, &Overloaded](const EndpointId &Id) {
    return Load.reducesLoadOf(Id, Overloaded);
  };
  if (Overloaded.m_IsUnderPressure)
    Request.m_WorkSeconds = [&Load](const EndpointId &Id) {
      return FullEndpointCostSeconds * Load.utilization(Id);
    };
  if (!startSwap(Request, Engine, *Model))
    return false;
  log::entry(LogCategory, "model.overloaded", Overloaded.m_Model,
             {{"utilization", Overloaded.m_Utilization},
              {"at_risk", Overloaded.m_AtRisk},
              {"under_pressure", Overloaded.m_IsUnderPressure},
              {"replicas", Overloaded.m_Replicas},
              {"missing", Overloaded.m_MissingReplicas},
              {"requests_per_s", recentRate(Overloaded.m_Model)},
              {"relief_s", Overloaded.m_SavedWaitSeconds},
              {"zone", Key.m_Zone}});
  return true;
}

int SwapService::loadsOf(const std::string &Model) const {
  return static_cast<int>(
      std::ranges::count_if(m_ManagedEndpoints, [&Model](const auto &Entry) {
        return Entry.second.m_Busy && Entry.second.m_Loading == Model;
      }));
}

double SwapService::recentRate(std::string_view Model) const {
  return std::max(m_RecentDemand.rate(Model, now()),
                  m_Pressure.rate(Model, now()));
}

} // namespace sff::host
