#include "Core/Serving/DemandQueue.h"

#include <algorithm>
#include <map>

namespace sff::serving {

namespace {

/// An adapter is loaded in a small part of the time of a model, so the
/// requests that wait for it are served at little cost to the others.
constexpr double AdapterFactor = 10;

double urgencyOf(const WaitingDemand &Demand, Instant Now) {
  double Weight = 1.0 / (1.0 + static_cast<double>(Demand.m_Rank));
  if (!Demand.m_Key.m_Name.m_Adapter.empty())
    Weight *= AdapterFactor;
  return Weight * static_cast<double>(Demand.m_Requests) *
         (1 + toSeconds(Now - Demand.m_Since));
}

} // namespace

DemandQueue::Entry DemandQueue::add(WaitingDemand Demand) {
  return m_Waiting.insert(m_Waiting.end(), std::move(Demand));
}

std::vector<PendingDemand> DemandQueue::ordered(Instant Now) const {
  std::map<DemandKey, PendingDemand> Sums;
  for (const WaitingDemand &Demand : m_Waiting) {
    PendingDemand &Sum = Sums[Demand.m_Key];
    Sum.m_Key = Demand.m_Key;
    Sum.m_Urgency += urgencyOf(Demand, Now);
    Sum.m_MayLoadRemote |= Demand.m_MayLoadRemote;
    Sum.m_Replica &= Demand.m_Replica;
  }
  std::vector<PendingDemand> Result;
  Result.reserve(Sums.size());
  for (auto &[Key, Sum] : Sums)
    Result.push_back(std::move(Sum));
  std::ranges::stable_sort(Result, std::greater<>(), &PendingDemand::m_Urgency);
  return Result;
}

} // namespace sff::serving
