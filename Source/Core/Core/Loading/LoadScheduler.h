#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Catalogue/EntrySpec.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace sff::loading {

/// Where the weights are nearest to the endpoint.
enum class WeightLocation { Memory, Disk, Remote };

/// Callers that wait for an entry to be loaded at an endpoint.
struct LoadDemand {
  EndpointId m_Endpoint;
  EntryName m_Entry;
  std::int64_t m_Waiting = 0;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  Instant m_Deadline; ///< Most urgent deadline of the waiting requests.
  WeightLocation m_Location = WeightLocation::Remote;
  double m_LoadSeconds = 0;  ///< Expected time of the load itself.
  bool m_BaseLoaded = false; ///< An adapter whose base is loaded.
};

/// Orders loads by what the waiting requests lose for each second of the load
/// that is spent on them. Thread safety: none.
class LoadScheduler {
public:
  /// Adds or updates the demand for an entry at an endpoint.
  void update(const LoadDemand &Demand);
  void remove(const EndpointId &Endpoint, const EntryName &Entry);

  /// The demand to load next, or nothing. Demands whose requests would all
  /// miss their deadline come last.
  std::optional<LoadDemand> next(Instant Now) const;
  /// All demands, the most valuable first.
  std::vector<LoadDemand> ordered(Instant Now) const;

  /// Loss per second of the waiting requests, divided by the load's duration.
  static double value(const LoadDemand &Demand, Instant Now);

private:
  std::map<std::pair<EndpointId, EntryName>, LoadDemand> m_Demands;
};

/// Permits of the weight store's rate at the lender, and the reserved share
/// of each other controller. A load at full speed lasts Parallel / Rate
/// seconds, so the lender starts at most Parallel loads in any such window:
/// this keeps both the rate and the limit on parallel loads without news of
/// the loads' ends. Thread safety: none.
class LoadPermits {
public:
  /// \p Rate loads per second in all, \p Parallel at full speed. The lender
  /// keeps back \p ReservedShare of the rate for controllers that cannot
  /// reach it. Precondition: 0 <= ReservedShare <= 1.
  LoadPermits(double Rate, double Parallel, double ReservedShare);

  /// Takes a permit as the lender. Returns the time to wait, zero if granted;
  /// milliseconds::max() when the share is empty.
  milliseconds tryLend(Instant Now);
  /// Takes a permit from this controller's reserved share, which is divided
  /// among \p Controllers. Returns as tryLend().
  milliseconds tryReserved(std::size_t Controllers, Instant Now);

private:
  double m_Rate;
  double m_Parallel;
  double m_ReservedShare;
  std::deque<Instant> m_Lent; ///< Starts in the latest window.
  std::optional<Instant> m_ReservedUsed;
};

} // namespace sff::loading
