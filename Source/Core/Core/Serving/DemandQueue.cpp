#include "Core/Serving/DemandQueue.h"

#include <algorithm>
#include <map>

namespace sff::serving {

namespace {

/// Loading an adapter takes a small fraction of the time of loading a model, so
/// serving its waiting requests first delays the others only slightly.
constexpr double AdapterUrgencyFactor = 10;

double urgencyOf(const HostDemand &Demand, Instant Now) {
  double Weight = 1.0 / (1.0 + static_cast<double>(Demand.m_Priority));
  if (!Demand.m_Key.m_Name.m_Adapter.empty())
    Weight *= AdapterUrgencyFactor;
  return Weight * static_cast<double>(Demand.m_Requests) *
         (1 + toSeconds(Now - Demand.m_Since));
}

} // namespace

DemandQueue::Handle DemandQueue::add(HostDemand Demand) {
  return m_Demands.insert(m_Demands.end(), std::move(Demand));
}

std::vector<PendingDemand> DemandQueue::ordered(Instant Now) const {
  std::map<DemandKey, PendingDemand> TotalByKey;
  for (const HostDemand &Demand : m_Demands) {
    PendingDemand &Total = TotalByKey[Demand.m_Key];
    Total.m_Key = Demand.m_Key;
    Total.m_Urgency += urgencyOf(Demand, Now);
    Total.m_MayLoadRemote |= Demand.m_MayLoadRemote;
    Total.m_Replica &= Demand.m_Replica;
  }
  std::vector<PendingDemand> Result;
  Result.reserve(TotalByKey.size());
  for (auto &[Key, Total] : TotalByKey)
    Result.push_back(std::move(Total));
  std::ranges::stable_sort(Result, std::greater<>(), &PendingDemand::m_Urgency);
  return Result;
}

} // namespace sff::serving
