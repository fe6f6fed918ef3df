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
  /// Credits are lent or an adapter is loaded on this base, so it must not be
  /// unloaded.
  bool m_Busy = false;
  /// Share of an accelerator that the replica occupies while idle.
  double m_AcceleratorShare = 1;
};

struct EvictionWeights {
  /// Cost of one second that a caller waits for a cold start, in idle
  /// accelerator seconds. This is the only weight that a deployment sets.
  double m_ColdStartWeight = 20;
  /// Weight of an interactive caller's wait, relative to a batch caller's.
  double m_InteractiveFactor = 3;
};

/// Number of ranges into which idle times are divided.
constexpr std::size_t GapBucketCount = 40;

/// Decides how long an idle replica stays loaded: as long as the expected cost
/// of its next cold start exceeds the accelerator time that it wastes while
/// idle. Learns the distribution of the gaps between requests for each entry.
/// Thread safety: none.
class EvictionPolicy {
public:
  explicit EvictionPolicy(EvictionWeights Weights) : m_Weights(Weights) {}

  void onRequest(const EntryName &Entry, Instant Now);

  /// Returns the value of keeping the replica for the next second, in idle
  /// accelerator seconds. If it is not positive, the replica should be unloaded
  /// now.
  double retentionValue(const LoadedReplica &Replica, Instant Now) const;

  /// Returns the idle replicas that should be unloaded now, because their
  /// retention value is not positive.
  std::vector<EntryName> chooseIdle(std::span<const LoadedReplica> Loaded,
                                    Instant Now) const;
  /// Returns the cheapest idle replicas whose unloading frees \p Bytes, or
  /// nothing if all idle replicas together are not enough.
  std::vector<EntryName> chooseVictims(std::span<const LoadedReplica> Loaded,
                                       std::int64_t Bytes, Instant Now) const;

private:
  /// For each range of idle time, counts the idle periods that reached it and
  /// those that ended in it. Counts decay only when a newer gap reaches the
  /// same range, so the short gaps of a burst do not displace the long gap
  /// before it.
  struct GapStatistics {
    std::array<double, GapBucketCount> m_ReachedCount{};
    std::array<double, GapBucketCount> m_EndedCount{};
    /// Callers that arrived together at the end of the periods in m_EndedCount.
    std::array<double, GapBucketCount> m_CallerCount{};
    /// Adds a period that ended in \p LastBucket, after multiplying the earlier
    /// counts by \p Decay.
    void add(std::size_t LastBucket, double Decay);
    void addCaller(std::size_t Bucket) { m_CallerCount[Bucket] += 1; }
    /// Returns the probability that an idle period that reached the range ends
    /// in it.
    double hazard(std::size_t Bucket, double Prior) const;
    /// Returns the expected number of callers that wait for the cold start
    /// after such a period.
    double callers(std::size_t Bucket, double Prior) const;
  };
  struct History {
    Instant m_LastRequest;
    /// First request of the latest group of callers that share a cold start.
    Instant m_GroupStart;
    std::size_t m_GroupGapBucket = 0;
    GapStatistics m_Gaps;
  };
  /// Returns the cold-start cost avoided per second of idle time if the replica
  /// is kept for the optimal period.
  double avoidedCostRate(const LoadedReplica &Replica, Instant Now) const;
  /// Returns the expected number of callers that find the replica loaded, per
  /// second of idle time, if it is kept from \p Idle seconds of idle time until
  /// the optimal later time.
  double maxCallersPerIdleSecond(const GapStatistics &Gaps, double Idle) const;

  EvictionWeights m_Weights;
  std::map<EntryName, History> m_Histories;
  /// Pooled over all entries; the prior of each entry.
  GapStatistics m_AllGaps;
};

} // namespace sff::loading
