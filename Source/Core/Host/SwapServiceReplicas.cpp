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
  for (const auto &[Name, Service] : Catalogue->m_Services)
    if (Service.m_Engine)
      replicateOverloadedModelsOf(Name, *Service.m_Engine, Zones);
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
                                              std::span<const ZoneId> Zones) {
  const auto Placements = placementsOf(Service);
  const serving::EngineLoad Load(
      Placements,
      [this](std::string_view Model) {
        return m_RecentDemand.rate(Model, now());
      },
      serving::sustainableRate(Engine.m_Slots));
  const auto Overloads = Load.overloads();
  for (const ZoneId &Zone : Zones)
    for (const serving::Overload &Item : Overloads)
      tryReplicate(Item, Load, {Zone, Service, {Item.m_Model, {}}}, Engine);
}

void SwapService::tryReplicate(const serving::Overload &Item,
                               const serving::EngineLoad &Load,
                               const serving::DemandKey &Key,
                               const serving::EngineSpec &Engine) {
  const serving::ModelSpec *Model = Engine.find(Item.m_Model);
  const bool Saturated = Item.m_Utilization > SaturatedUtilization;
  const bool ZoneMayReplicate = Saturated || isTurnOf(Key.m_Zone, Item.m_Model);
  if (!Model || !ZoneMayReplicate || loadingUntil(Item.m_Model))
    return;
  SwapRequest Request;
  Request.m_Key = Key;
  Request.m_MayLoadRemote = Saturated || Item.m_AtRisk;
  Request.m_Replica = true;
  Request.m_MaxEvictionCostSeconds = Item.m_SavedWaitSeconds;
  Request.m_IsEligible = [&Load, &Item](const EndpointId &Id) {
    return Load.reducesLoadOf(Id, Item);
  };
  if (startSwap(Request, Engine, *Model))
    log::entry(LogCategory, "model.overloaded", Item.m_Model,
               {{"utilization", Item.m_Utilization},
                {"at_risk", Item.m_AtRisk},
                {"relief_s", Item.m_SavedWaitSeconds},
                {"zone", Key.m_Zone}});
}

} // namespace sff::host
