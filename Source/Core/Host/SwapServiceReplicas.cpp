#include "Host/SwapService.h"

#include <algorithm>

namespace sff::host {

namespace {

constexpr auto Part = log::Category::Loading;

/// Requests are reported every second or more.
constexpr milliseconds ReliefPeriod{500};
/// Load changes little within this time, however often endpoints become free.
constexpr milliseconds LeastReliefPause{100};
/// Each zone may add a replica of a model for this long, then the next one.
constexpr milliseconds TurnTime{2000};
/// Beyond this utilization requests pile up: no zone waits for its turn, and
/// the weight store is better used for this than for a model that is rare.
constexpr double GraveUtilization = 1;

} // namespace

Task<void> SwapService::watchLoad() {
  while (true) {
    co_await sleepFor(ReliefPeriod);
    schedulePending();
  }
}

void SwapService::relieveOverloads() {
  const auto Catalogue = m_State.m_Catalogue;
  if (!Catalogue || now() - m_RelievedAt < LeastReliefPause)
    return;
  m_RelievedAt = now();
  std::vector<ZoneId> Zones;
  for (const std::string &Zone : m_State.m_Settings.get(ZonesSetting))
    if (m_Rights.mayOrder(ZoneId(Zone)))
      Zones.emplace_back(Zone);
  if (Zones.empty())
    return;
  for (const auto &[Name, Service] : Catalogue->m_Services)
    if (Service.m_Engine)
      relieveService(Name, *Service.m_Engine, Zones);
}

std::vector<serving::EndpointPlacement>
SwapService::placementsOf(const std::string &Service) const {
  std::vector<serving::EndpointPlacement> Result;
  for (const auto &[Id, Item] : m_State.m_Endpoints.all()) {
    if (Item.m_Registered.m_Service != Service)
      continue;
    serving::EndpointPlacement Placement;
    Placement.m_Endpoint = Id;
    Placement.m_TakesWork = Item.takesWork();
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
  return (now().time_since_epoch() / TurnTime + Offset) % Zones == 0;
}

void SwapService::relieveService(const std::string &Service,
                                 const serving::EngineSpec &Engine,
                                 std::span<const ZoneId> Zones) {
  const auto Placements = placementsOf(Service);
  const serving::EngineLoad Load(
      Placements,
      [this](std::string_view Model) {
        return m_RecentDemand.rate(Model, now());
      },
      serving::comfortableRate(Engine.m_Slots));
  const auto Overloads = Load.overloads();
  for (const ZoneId &Zone : Zones)
    for (const serving::Overload &Item : Overloads)
      relieve(Item, Load, {Zone, Service, {Item.m_Model, {}}}, Engine);
}

void SwapService::relieve(const serving::Overload &Item,
                          const serving::EngineLoad &Load,
                          const serving::DemandKey &Key,
                          const serving::EngineSpec &Engine) {
  const serving::ModelSpec *Model = Engine.find(Item.m_Model);
  const bool Overfull = Item.m_Utilization > GraveUtilization;
  const bool Due = Overfull || isTurnOf(Key.m_Zone, Item.m_Model);
  if (!Model || !Due || loadingUntil(Item.m_Model))
    return;
  SwapRequest Request;
  Request.m_Key = Key;
  Request.m_MayLoadRemote = Overfull || Item.m_AtRisk;
  Request.m_Replica = true;
  Request.m_WorthSeconds = Item.m_ReliefSeconds;
  Request.m_MayUse = [&Load, &Item](const EndpointId &Id) {
    return Load.relieves(Id, Item);
  };
  if (startSwap(Request, Engine, *Model))
    log::entry(Part, "model.overloaded", Item.m_Model,
               {{"utilization", Item.m_Utilization},
                {"at_risk", Item.m_AtRisk},
                {"relief_s", Item.m_ReliefSeconds},
                {"zone", Key.m_Zone}});
}

} // namespace sff::host
