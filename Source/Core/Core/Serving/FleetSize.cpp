#include "Core/Serving/FleetSize.h"

#include <algorithm>
#include <iterator>

namespace sff::serving {

void FleetSize::onReport(const HostId &Host, Instant Now) {
  if (!m_FirstReportAt)
    m_FirstReportAt = Now;
  m_LastReports[Host] = Now;
  std::erase_if(m_LastReports, [Now](const auto &Report) {
    return Now - Report.second > ReportTimeout;
  });
}

std::size_t FleetSize::count(Instant Now) const {
  const bool AllHadTimeToReport =
      m_FirstReportAt && Now - *m_FirstReportAt >= ReportTimeout;
  return AllHadTimeToReport ? m_LastReports.size()
                            : std::max(m_LastReports.size(), AssumedHostCount);
}

std::vector<HostId> FleetSize::sample(std::size_t Count,
                                      std::mt19937_64 &Random) const {
  const std::set<HostId> All = hosts();
  std::vector<HostId> Result;
  std::ranges::sample(All, std::back_inserter(Result),
                      static_cast<std::ptrdiff_t>(Count), Random);
  return Result;
}

std::set<HostId> FleetSize::hosts() const {
  std::set<HostId> Result;
  for (const auto &[Host, ReportedAt] : m_LastReports)
    Result.insert(Host);
  return Result;
}

} // namespace sff::serving
