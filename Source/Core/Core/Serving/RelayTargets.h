#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>

namespace sff::serving {

/// Chooses among the other hosts the one that gets a request which this host
/// cannot send to an endpoint itself. The less loaded of two random hosts is
/// taken, so that many hosts do not choose the same one.
/// Thread safety: none.
class RelayTargets {
public:
  /// A host that nobody has named for this long is dropped.
  static constexpr milliseconds MaxAge{30000};
  /// A host that declined or did not answer is not chosen for this long.
  static constexpr milliseconds PauseAfterFailure{1000};

  explicit RelayTargets(std::uint64_t Seed) : m_Random(Seed) {}

  /// Records hosts that are known to run.
  void onNamed(std::span<const HostId> Hosts, Instant Now);
  /// Returns a host that is not in \p Tried, or nothing if there is none.
  std::optional<HostId> choose(const std::set<HostId> &Tried, Instant Now);
  void onFailed(const HostId &Host, Instant Now);
  void onSent(const HostId &Host) { ++m_Targets[Host].m_Running; }
  void onFinished(const HostId &Host);
  std::size_t size() const { return m_Targets.size(); }

private:
  struct Target {
    Instant m_NamedAt;
    Instant m_PausedUntil;
    int m_Running = 0; ///< Requests of this host that run there.
  };

  std::map<HostId, Target> m_Targets;
  std::mt19937_64 m_Random;
};

} // namespace sff::serving
