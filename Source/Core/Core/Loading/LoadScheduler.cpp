#include "Core/Loading/LoadScheduler.h"

#include <algorithm>
#include <cmath>

namespace sff::loading {
namespace {

using Seconds = std::chrono::duration<double>;

/// Lower bound that keeps the value finite for very short loads.
constexpr double MinLoadSeconds = 0.05;
/// Weight of an interactive caller's wait, relative to a batch caller's.
constexpr double InteractiveFactor = 3;
/// Relative increase of a request's loss when its slack is used up.
constexpr double UrgencyFactor = 4;
/// Slack below which a request becomes urgent, in load durations.
constexpr double UrgencyLoadMultiple = 2;

double loadSeconds(const LoadDemand &Demand) {
  return std::max(Demand.m_LoadSeconds, MinLoadSeconds);
}

auto tieBreakKey(const LoadDemand &Demand) {
  return std::tie(Demand.m_Deadline, Demand.m_Location, Demand.m_Entry,
                  Demand.m_Endpoint);
}

milliseconds ceilMilliseconds(Seconds Value) {
  return std::chrono::ceil<milliseconds>(Value);
}

} // namespace

void LoadScheduler::update(const LoadDemand &Demand) {
  m_Demands[{Demand.m_Endpoint, Demand.m_Entry}] = Demand;
}

void LoadScheduler::remove(const EndpointId &Endpoint, const EntryName &Entry) {
  m_Demands.erase({Endpoint, Entry});
}

std::optional<LoadDemand> LoadScheduler::next(Instant Now) const {
  auto List = ordered(Now);
  if (List.empty())
    return std::nullopt;
  return std::move(List.front());
}

std::vector<LoadDemand> LoadScheduler::ordered(Instant Now) const {
  std::vector<std::pair<double, const LoadDemand *>> Ranked;
  Ranked.reserve(m_Demands.size());
  for (const auto &[Key, Demand] : m_Demands)
    Ranked.emplace_back(value(Demand, Now), &Demand);
  std::sort(Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
    if (A.first != B.first)
      return A.first > B.first;
    return tieBreakKey(*A.second) < tieBreakKey(*B.second);
  });
  std::vector<LoadDemand> List;
  List.reserve(Ranked.size());
  for (const auto &[Value, Demand] : Ranked)
    List.push_back(*Demand);
  return List;
}

double LoadScheduler::value(const LoadDemand &Demand, Instant Now) {
  const double Load = loadSeconds(Demand);
  const double Slack = Seconds(Demand.m_Deadline - Now).count() - Load;
  if (Slack < 0)
    return 0;
  const double Weight = Demand.m_Class == catalogue::TrafficClass::Interactive
                            ? InteractiveFactor
                            : 1;
  const double Urgency =
      1 + UrgencyFactor * std::exp(-Slack / (UrgencyLoadMultiple * Load));
  return Weight * static_cast<double>(Demand.m_Waiting) * Urgency / Load;
}

LoadPermits::LoadPermits(double Rate, double Parallel, double ReservedShare)
    : m_Rate(Rate), m_Parallel(Parallel), m_ReservedShare(ReservedShare) {}

milliseconds LoadPermits::tryAcquire(Instant Now) {
  const double SharedRate = m_Rate * (1 - m_ReservedShare);
  if (SharedRate <= 0)
    return milliseconds::max();
  const double Parallel =
      std::max(1.0, std::floor(m_Parallel * (1 - m_ReservedShare)));
  const Seconds Window(Parallel / SharedRate);
  while (!m_RecentStarts.empty() && Now - m_RecentStarts.front() >= Window)
    m_RecentStarts.pop_front();
  if (static_cast<double>(m_RecentStarts.size()) >= Parallel)
    return ceilMilliseconds(Window - (Now - m_RecentStarts.front()));
  m_RecentStarts.push_back(Now);
  return milliseconds(0);
}

milliseconds LoadPermits::tryReserved(std::size_t Controllers, Instant Now) {
  const double RatePerController =
      m_Rate * m_ReservedShare /
      static_cast<double>(std::max<std::size_t>(Controllers, 1));
  if (RatePerController <= 0)
    return milliseconds::max();
  const Seconds Interval(1 / RatePerController);
  if (m_LastReservedGrant && Now - *m_LastReservedGrant < Interval)
    return ceilMilliseconds(Interval - (Now - *m_LastReservedGrant));
  m_LastReservedGrant = Now;
  return milliseconds(0);
}

} // namespace sff::loading
