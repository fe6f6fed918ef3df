#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Catalogue/EntrySpec.h"

#include <array>
#include <map>
#include <span>
#include <vector>

namespace sff::loading {

/// A loaded replica that may be unloaded.
struct LoadedReplica {
  EntryName m_Entry;
  std::int64_t m_Bytes = 0;
  /// Expected time to load it again, in seconds.
  double m_ReloadSeconds = 0;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  /// Credits are lent, or an adapter is loaded on this base: it stays.
  bool m_Busy = false;
  /// Share of an accelerator that it occupies while idle.
  double m_Share = 1;
};

struct EvictionWeights {
  /// Price of one second of a caller's cold-start wait, in idle accelerator
  /// seconds. The one setting that a deployment chooses.
  double m_ColdStartWeight = 20;
  /// An interactive caller's wait counts this many times a batch caller's.
  double m_InteractiveFactor = 3;
};

/// Number of ranges into which idle periods are divided.
constexpr std::size_t GapBuckets = 40;

/// Decides how long an idle replica stays loaded: while the expected cost of
/// its next cold start exceeds the accelerator time that it idles away.
/// Learns the gaps between requests of each entry. Thread safety: none.
class EvictionPolicy {
public:
  explicit EvictionPolicy(EvictionWeights Weights) : m_Weights(Weights) {}

  void onRequest(const EntryName &Entry, Instant Now);

  /// Value of keeping the replica for the next second, in idle accelerator
  /// seconds; not positive means that it should be unloaded now.
  double keepValue(const LoadedReplica &Replica, Instant Now) const;

  /// Idle replicas to unload now, because keeping them is not worth it.
  std::vector<EntryName> chooseIdle(std::span<const LoadedReplica> Loaded,
                                    Instant Now) const;
  /// Cheapest idle replicas whose unloading frees \p Bytes; empty when the
  /// idle replicas do not suffice.
  std::vector<EntryName> chooseVictims(std::span<const LoadedReplica> Loaded,
                                       std::int64_t Bytes, Instant Now) const;

private:
  /// For each range of idle time, how many idle periods reached it and how
  /// many ended in it. Old evidence fades only when newer evidence of the same
  /// range arrives, so the short gaps of a burst do not displace the long gap
  /// before it.
  struct GapStatistics {
    std::array<double, GapBuckets> m_Reached{};
    std::array<double, GapBuckets> m_Ended{};
    /// Callers that came together at the ends of the periods counted above.
    std::array<double, GapBuckets> m_Callers{};
    /// Adds a period that ended in \p Last; the share \p Kept of the earlier
    /// evidence stays.
    void add(std::size_t Last, double Kept);
    void addCaller(std::size_t Bucket) { m_Callers[Bucket] += 1; }
    /// Chance that an idle period that reached the range ends in it.
    double hazard(std::size_t Bucket, double Prior) const;
    /// Callers that one cold start keeps waiting after such a period.
    double callers(std::size_t Bucket, double Prior) const;
  };
  struct History {
    Instant m_LastRequest;
    Instant m_WokenAt; ///< First request after the latest longer gap.
    std::size_t m_WokenBucket = 0;
    GapStatistics m_Gaps;
  };
  /// Cold-start cost that keeping the replica avoids, for each second that it
  /// idles, over the best period to keep it.
  double savedRate(const LoadedReplica &Replica, Instant Now) const;
  /// Callers that find the replica loaded for each second that it idles, when
  /// it is kept from \p Idle seconds of idle time to the best later time.
  double callersPerSecond(const GapStatistics &Gaps, double Idle) const;

  EvictionWeights m_Weights;
  std::map<EntryName, History> m_Histories;
  GapStatistics m_AllGaps; ///< Of all entries; the prior of each.
};

} // namespace sff::loading
