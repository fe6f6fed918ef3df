#include "Core/Serving/EngineLoad.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// Beyond this part of its capacity an endpoint answers noticeably later.
constexpr double BusyUtilization = 0.7;
/// A replica on an endpoint with more than this part of the load of the
/// present ones would only move the overload.
constexpr double ReliefPart = 0.5;
/// Requests of this time are taken to profit from a replica.
constexpr double HorizonSeconds = 10;
/// Waiting that each of them is spared.
constexpr double SparedSeconds = 1.5;

} // namespace

EngineLoad::EngineLoad(std::span<const EndpointPlacement> Placements,
                       const RateOf &Rate, double Capacity)
    : m_Capacity(std::max(Capacity, 1e-6)) {
  for (const EndpointPlacement &Placement : Placements) {
    m_Utilization[Placement.m_Endpoint] = 0;
    for (const std::string &Model : Placement.m_Models)
      m_Models[Model].m_Endpoints.push_back(Placement.m_Endpoint);
  }
  for (auto &[Model, Where] : m_Models) {
    Where.m_RateEach =
        Rate(Model) / static_cast<double>(Where.m_Endpoints.size());
    for (const EndpointId &Endpoint : Where.m_Endpoints)
      m_Utilization[Endpoint] += Where.m_RateEach / m_Capacity;
  }
}

double EngineLoad::utilization(const EndpointId &Endpoint) const {
  const auto Found = m_Utilization.find(Endpoint);
  return Found == m_Utilization.end() ? 0 : Found->second;
}

std::vector<Overload> EngineLoad::overloads() const {
  std::vector<Overload> Result;
  for (const auto &[Model, Where] : m_Models) {
    double Least = utilization(Where.m_Endpoints.front());
    for (const EndpointId &Endpoint : Where.m_Endpoints)
      Least = std::min(Least, utilization(Endpoint));
    if (Least <= BusyUtilization)
      continue;
    // A replica takes away at most the model's own requests.
    const double Excess =
        std::min((Least - BusyUtilization) * m_Capacity, Where.m_RateEach);
    Result.push_back({Model, Least, Excess * HorizonSeconds * SparedSeconds});
  }
  std::ranges::stable_sort(Result, std::greater<>(),
                           &Overload::m_ReliefSeconds);
  return Result;
}

bool EngineLoad::relieves(const EndpointId &Endpoint,
                          const Overload &Item) const {
  return utilization(Endpoint) < ReliefPart * Item.m_Utilization;
}

} // namespace sff::serving
