#pragma once

#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <string>

namespace sff::serving {

/// Detects rolling replacements of a service's endpoints: some endpoints leave
/// while others are added. Thread safety: none.
class RolloutDetector {
public:
  void onAdded(const std::string &Service, Instant Now);
  /// Call when an endpoint starts draining or is removed without having
  /// drained.
  void onLeaving(const std::string &Service, Instant Now);
  /// Returns true if a rollout of the service is in progress and an endpoint
  /// that was added at \p AddedAt is one of the old endpoints.
  bool isBeingReplaced(const std::string &Service, Instant AddedAt,
                       Instant Now) const;

private:
  struct Rollout {
    /// First of the additions that belong to the same rollout.
    std::optional<Instant> m_FirstAdded;
    std::optional<Instant> m_LastAdded;
    std::optional<Instant> m_LastLeaving;
  };

  std::map<std::string, Rollout> m_Rollouts;
};

} // namespace sff::serving
