#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace sff::serving {

/// Counts the hosts that report to a holder. A new holder has received few
/// reports so far, and an undercount would let each host use too much of the
/// shared limits. Thread safety: none.
class FleetSize {
public:
  /// Minimum count until all hosts have had time to report.
  static constexpr std::size_t AssumedHostCount = 32;
  /// Hosts that have not reported for this long are dropped.
  static constexpr milliseconds ReportTimeout{15000};

  void onReport(const HostId &Host, Instant Now);
  std::size_t count(Instant Now) const;
  std::set<HostId> hosts() const;
  /// Returns up to \p Count random hosts.
  std::vector<HostId> sample(std::size_t Count, std::mt19937_64 &Random) const;

private:
  std::map<HostId, Instant> m_LastReports;
  std::optional<Instant> m_FirstReportAt;
};

} // namespace sff::serving
