#include "Core/Serving/DemandPressure.h"

#include <algorithm>
#include <cstdint>

namespace sff::serving {

namespace {

/// Signs that come within this time of the first one go into the same report.
constexpr milliseconds CollectTime{100};
/// Time from the first request after a quiet time to its report.
constexpr milliseconds BeginCollectTime{250};
/// The holders have forgotten the short-term demand after this time without a
/// request.
constexpr milliseconds QuietTime{10000};
/// Interval of early reports for each host where that is above the minimum, so
/// that a holder gets at most 200 of them in a second.
constexpr milliseconds MinIntervalPerHost{5};
constexpr milliseconds SignWindow{1000};
/// A single send to a full endpoint may follow an outdated load estimate.
constexpr double MinSignsPerSecond = 1.5;
/// The rate of a host is outdated after a few of the early reports that it
/// sends while it sees pressure.
constexpr milliseconds MaxRateAge{2000};
/// Replicas that were added under pressure are kept over the gaps between the
/// peaks of the demand.
constexpr milliseconds KeepTime{5000};

} // namespace

bool PressureSigns::onSign(std::string_view Model, Instant Now) {
  auto Found = m_Signs.find(Model);
  if (Found == m_Signs.end())
    Found = m_Signs.emplace(std::string(Model), 0).first;
  ++Found->second;
  if (m_FirstSignAt)
    return false;
  m_FirstSignAt = Now;
  return true;
}

bool PressureSigns::onRequest(Instant Now) {
  const bool IsFirst = !m_LastRequestAt || Now - *m_LastRequestAt > QuietTime;
  m_LastRequestAt = Now;
  if (IsFirst)
    m_DemandBegunAt = Now;
  return IsFirst;
}

std::optional<Instant> PressureSigns::reportDue(std::size_t Hosts) const {
  std::optional<Instant> Due;
  if (m_FirstSignAt)
    Due = *m_FirstSignAt + CollectTime;
  if (m_DemandBegunAt)
    Due = std::min(Due.value_or(Instant::max()),
                   *m_DemandBegunAt + BeginCollectTime);
  if (!Due || !m_LastReportAt)
    return Due;
  const milliseconds Interval = std::max(
      MinInterval, MinIntervalPerHost * static_cast<std::int64_t>(Hosts));
  return std::max(*Due, *m_LastReportAt + Interval);
}

std::map<std::string, double> PressureSigns::take(Instant Now) {
  std::map<std::string, double> Result(m_Signs.begin(), m_Signs.end());
  m_Signs.clear();
  m_FirstSignAt.reset();
  m_DemandBegunAt.reset();
  m_LastReportAt = Now;
  return Result;
}

DemandPressure::DemandPressure() : m_SignRates(SignWindow) {}

void DemandPressure::onReport(const PressureReport &Report, Instant Now) {
  for (const auto &[Model, Signs] : Report.m_Signs) {
    m_SignRates.add(Model, Signs, Now);
    if (isUnderPressure(Model, Now))
      m_LastPressureAt[Model] = Now;
    const auto Requests = Report.m_Requests.find(Model);
    auto &Rates = m_HostRates[Model];
    std::erase_if(Rates, [Now](const auto &Entry) {
      return Now - Entry.second.m_ReportedAt > MaxRateAge;
    });
    if (Requests != Report.m_Requests.end() &&
        Report.m_Interval > Duration::zero())
      Rates[Report.m_Host] = {Requests->second / toSeconds(Report.m_Interval),
                              Now};
  }
}

bool DemandPressure::isUnderPressure(std::string_view Model,
                                     Instant Now) const {
  return m_SignRates.rate(Model, Now) >= MinSignsPerSecond;
}

bool DemandPressure::mustKeepReplicas(std::string_view Model,
                                      Instant Now) const {
  const auto Found = m_LastPressureAt.find(Model);
  return Found != m_LastPressureAt.end() && Now - Found->second < KeepTime;
}

double DemandPressure::rate(std::string_view Model, Instant Now) const {
  const auto Found = m_HostRates.find(Model);
  if (Found == m_HostRates.end())
    return 0;
  double Sum = 0;
  for (const auto &[Host, Rate] : Found->second)
    if (Now - Rate.m_ReportedAt <= MaxRateAge)
      Sum += Rate.m_PerSecond;
  return Sum;
}

void DemandKnowledge::onDemand(Instant Now) {
  if (!m_LastDemandAt || Now - *m_LastDemandAt > QuietTime) {
    m_BegunAt = Now;
    m_Reporting.clear();
  }
  m_LastDemandAt = Now;
}

void DemandKnowledge::onReport(const HostId &Host, Instant Now) {
  onDemand(Now);
  m_Reporting.insert(Host);
}

bool DemandKnowledge::isKnown(std::size_t Hosts, Instant Now) const {
  if (!m_BegunAt)
    return false;
  return Now - *m_BegunAt >= MaxUnknownTime || 2 * m_Reporting.size() > Hosts;
}

} // namespace sff::serving
