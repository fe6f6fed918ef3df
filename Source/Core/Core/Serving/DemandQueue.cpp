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
  if (!Demand.m_Name.m_Adapter.empty())
    Weight *= AdapterFactor;
  return Weight * static_cast<double>(Demand.m_Requests) *
         (1 + toSeconds(Now - Demand.m_Since));
}

} // namespace

DemandQueue::Entry DemandQueue::add(WaitingDemand Demand) {
  return m_Waiting.insert(m_Waiting.end(), std::move(Demand));
}

std::vector<ModelUrgency> DemandQueue::ordered(Instant Now) const {
  std::map<ModelName, double> Sums;
  for (const WaitingDemand &Demand : m_Waiting)
    Sums[Demand.m_Name] += urgencyOf(Demand, Now);
  std::vector<ModelUrgency> Result;
  Result.reserve(Sums.size());
  for (const auto &[Name, Urgency] : Sums)
    Result.push_back({Name, Urgency});
  std::ranges::stable_sort(Result, std::greater<>(), &ModelUrgency::m_Urgency);
  return Result;
}

double DemandQueue::urgency(const ModelName &Name, Instant Now) const {
  double Sum = 0;
  for (const WaitingDemand &Demand : m_Waiting)
    if (Demand.m_Name == Name)
      Sum += urgencyOf(Demand, Now);
  return Sum;
}

} // namespace sff::serving
