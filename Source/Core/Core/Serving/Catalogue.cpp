#include "Core/Serving/Catalogue.h"

#include <algorithm>
#include <charconv>

namespace sff::serving {

namespace {

std::string normalizedHost(std::string_view Host) {
  std::string Result(Host.substr(0, Host.find(':')));
  for (char &Char : Result)
    if (Char >= 'A' && Char <= 'Z')
      Char = static_cast<char>(Char - 'A' + 'a');
  return Result;
}

} // namespace

milliseconds Route::callerTimeout() const {
  constexpr milliseconds MinTimeout{2000};
  constexpr int TargetLatencyMultiple = 4;
  constexpr int GapTargetMultiple = 8;
  return std::max({MinTimeout, TargetLatencyMultiple * m_TargetLatency,
                   GapTargetMultiple * m_EventGapTarget});
}

const std::string &Route::serviceAt(std::uint64_t Point) const {
  double Total = 0;
  for (const ServiceShare &Share : m_ServiceShares)
    Total += Share.m_Weight;
  // Divide by 2^64 to map Point to [0, 1).
  double Remaining =
      static_cast<double>(Point) / 18446744073709551616.0 * Total;
  for (const ServiceShare &Share : m_ServiceShares) {
    if (Remaining < Share.m_Weight)
      return Share.m_Service;
    Remaining -= Share.m_Weight;
  }
  return m_ServiceShares.back().m_Service;
}

bool ModelSpec::hasAdapter(std::string_view Adapter) const {
  if (!m_AdapterCount)
    return true;
  if (!Adapter.starts_with(m_AdapterPrefix))
    return false;
  const std::string_view Digits = Adapter.substr(m_AdapterPrefix.size());
  std::int64_t Number = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Number);
  // Other spellings of a number are other names.
  return Error == std::errc() && End == Digits.data() + Digits.size() &&
         Digits.front() != '0' && Number >= 1 && Number <= *m_AdapterCount;
}

bool EngineSpec::knows(const ModelName &Name) const {
  const ModelSpec *Model = find(Name.m_Model);
  return Model && (Name.m_Adapter.empty() || Model->hasAdapter(Name.m_Adapter));
}

const ModelSpec *EngineSpec::find(std::string_view Model) const {
  const auto Found = m_Models.find(Model);
  return Found == m_Models.end() ? nullptr : &Found->second;
}

void Catalogue::buildIndex() {
  m_ByHost.clear();
  for (std::size_t Index = 0; Index < m_Routes.size(); ++Index)
    m_ByHost[normalizedHost(m_Routes[Index].m_Host)].push_back(Index);
  // Sort by descending prefix length, so that the first match is the longest.
  for (auto &[Host, List] : m_ByHost)
    std::stable_sort(List.begin(), List.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return m_Routes[Left].m_PathPrefix.size() >
                              m_Routes[Right].m_PathPrefix.size();
                     });
  buildRanks();
}

void Catalogue::buildRanks() {
  m_Priorities.clear();
  for (const Route &Candidate : m_Routes) {
    const std::int64_t RoutePriority = Candidate.m_Priority;
    m_Priorities.emplace_back(RoutePriority, RoutePriority);
    for (const tenants::Tenant &Owner : m_Tenants.all())
      m_Priorities.emplace_back(Owner.m_Priority.value_or(RoutePriority),
                                RoutePriority);
  }
  std::ranges::sort(m_Priorities);
  m_Priorities.erase(std::unique(m_Priorities.begin(), m_Priorities.end()),
                     m_Priorities.end());
}

std::int64_t Catalogue::priorityRank(std::optional<std::int64_t> TenantPriority,
                                     std::int64_t RoutePriority) const {
  if (m_Tenants.empty())
    return std::clamp<std::int64_t>(RoutePriority, 0, HighestRank);
  const PriorityPair Priority(TenantPriority.value_or(RoutePriority),
                              RoutePriority);
  const auto Rank =
      std::ranges::lower_bound(m_Priorities, Priority) - m_Priorities.begin();
  return std::min<std::int64_t>(Rank, HighestRank);
}

const Route *Catalogue::findRoute(std::string_view Host,
                                  std::string_view Path) const {
  const auto Found = m_ByHost.find(normalizedHost(Host));
  if (Found == m_ByHost.end())
    return nullptr;
  for (std::size_t Index : Found->second)
    if (Path.starts_with(m_Routes[Index].m_PathPrefix))
      return &m_Routes[Index];
  return nullptr;
}

const Service *Catalogue::findService(std::string_view Name) const {
  const auto Found = m_Services.find(Name);
  return Found == m_Services.end() ? nullptr : &Found->second;
}

const EngineSpec *Catalogue::findEngine(std::string_view ServiceName) const {
  const Service *Found = findService(ServiceName);
  return Found && Found->m_Engine ? &*Found->m_Engine : nullptr;
}

const ModelSpec *Catalogue::findModel(std::string_view ServiceName,
                                      std::string_view Model) const {
  const EngineSpec *Engine = findEngine(ServiceName);
  return Engine ? Engine->find(Model) : nullptr;
}

bool Catalogue::knows(const ModelName &Name) const {
  return std::ranges::any_of(m_Services, [&Name](const auto &Item) {
    const auto &Engine = Item.second.m_Engine;
    return Engine && Engine->knows(Name);
  });
}

ModelName ModelName::parse(std::string_view Text) {
  const auto Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return {std::string(Text), {}};
  return {std::string(Text.substr(0, Slash)),
          std::string(Text.substr(Slash + 1))};
}

std::string ModelName::str() const {
  return m_Adapter.empty() ? m_Model : m_Model + "/" + m_Adapter;
}

} // namespace sff::serving
