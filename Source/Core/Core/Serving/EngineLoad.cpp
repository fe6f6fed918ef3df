#include "Core/Serving/EngineLoad.h"

#include <algorithm>
#include <limits>

namespace sff::serving {

namespace {

/// Requests are short, and a full batch makes each of them slower.
constexpr double RatePerSlot = 0.5;
/// Beyond this part of its capacity an endpoint answers noticeably later.
constexpr double BusyUtilization = 0.7;
/// A replica on an endpoint with more than this part of the load of the
/// present ones would only move the overload.
constexpr double ReliefPart = 0.5;
/// Requests of this time are taken to profit from a replica.
constexpr double HorizonSeconds = 10;
/// Waiting that each of them is spared.
constexpr double SparedSeconds = 1.5;
/// The same where the model would otherwise be loaded from the weight store
/// while its callers wait or are refused.
constexpr double LostSeconds = 5;
/// Requests per second from which a model gets a replica before its endpoints
/// leave.
constexpr double BusyRate = 1;

} // namespace

double comfortableRate(int Slots) { return RatePerSlot * Slots; }

EngineLoad::EngineLoad(std::span<const EndpointPlacement> Placements,
                       const RateOf &Rate, double Capacity)
    : m_Capacity(std::max(Capacity, 1e-6)) {
  for (const EndpointPlacement &Placement : Placements) {
    m_Utilization[Placement.m_Endpoint] = 0;
    if (Placement.m_Leaving)
      m_Leaving.insert(Placement.m_Endpoint);
    for (const std::string &Model : Placement.m_Models) {
      Spread &Where = m_Models[Model];
      Where.m_Staying += Placement.m_Leaving ? 0 : 1;
      if (Placement.m_TakesWork)
        Where.m_Endpoints.push_back(Placement.m_Endpoint);
    }
  }
  for (auto &[Model, Where] : m_Models) {
    Where.m_Rate = Rate(Model);
    for (const EndpointId &Endpoint : Where.m_Endpoints)
      m_Utilization[Endpoint] += Where.rateEach() / m_Capacity;
  }
}

double EngineLoad::Spread::rateEach() const {
  return m_Rate /
         static_cast<double>(std::max<std::size_t>(1, m_Endpoints.size()));
}

double EngineLoad::utilization(const EndpointId &Endpoint) const {
  const auto Found = m_Utilization.find(Endpoint);
  return Found == m_Utilization.end() ? 0 : Found->second;
}

std::optional<Overload> EngineLoad::overloadOf(const std::string &Model,
                                               const Spread &Where) const {
  double Least = std::numeric_limits<double>::infinity();
  for (const EndpointId &Endpoint : Where.m_Endpoints)
    Least = std::min(Least, utilization(Endpoint));
  if (Where.m_Staying == 0 && Where.m_Rate >= BusyRate)
    return Overload{Model, Least, true,
                    Where.m_Rate * HorizonSeconds * LostSeconds};
  if (Where.m_Endpoints.empty() || Least <= BusyUtilization)
    return std::nullopt;
  // A replica takes away at most the model's own requests.
  const double Excess =
      std::min((Least - BusyUtilization) * m_Capacity, Where.rateEach());
  return Overload{Model, Least, false, Excess * HorizonSeconds * SparedSeconds};
}

std::vector<Overload> EngineLoad::overloads() const {
  std::vector<Overload> Result;
  for (const auto &[Model, Where] : m_Models)
    if (auto Found = overloadOf(Model, Where))
      Result.push_back(std::move(*Found));
  std::ranges::stable_sort(Result, std::greater<>(),
                           &Overload::m_ReliefSeconds);
  return Result;
}

bool EngineLoad::relieves(const EndpointId &Endpoint,
                          const Overload &Item) const {
  if (m_Leaving.contains(Endpoint))
    return false;
  if (Item.m_AtRisk)
    return utilization(Endpoint) < 1;
  return utilization(Endpoint) < ReliefPart * Item.m_Utilization;
}

} // namespace sff::serving
