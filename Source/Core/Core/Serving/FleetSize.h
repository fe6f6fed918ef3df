#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <set>

namespace sff::serving {

/// Counts the hosts that report to a holder. A holder that has begun a short
/// time ago has heard of few, and a count that is too low would let each host
/// take too much of what all share. Thread safety: none.
class FleetSize {
public:
  /// Taken for the number of hosts until all have had time to report.
  static constexpr std::size_t Assumed = 32;
  /// Hosts that have not reported for this long no longer count.
  static constexpr milliseconds Period{15000};

  void onReport(const HostId &Host, Instant Now);
  std::size_t count(Instant Now) const;
  std::set<HostId> hosts() const;

private:
  std::map<HostId, Instant> m_Heard;
  std::optional<Instant> m_Begun;
};

} // namespace sff::serving
