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

/// The location of the weights that is closest to the endpoint.
enum class WeightLocation { Memory, Disk, Remote };

/// The callers that wait for an entry to be loaded at an endpoint.
struct LoadDemand {
  EndpointId m_Endpoint;
  EntryName m_Entry;
  std::int64_t m_Waiting = 0;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  Instant m_Deadline; ///< Earliest deadline of the waiting requests.
  WeightLocation m_Location = WeightLocation::Remote;
  double m_LoadSeconds = 0;  ///< Expected duration of the load itself.
  bool m_BaseLoaded = false; ///< The entry is an adapter whose base is loaded.
};

/// Orders loads by the loss of the waiting requests that each second of loading
/// avoids. Thread safety: none.
class LoadScheduler {
public:
  /// Adds or updates the demand for an entry at an endpoint.
  void update(const LoadDemand &Demand);
  void remove(const EndpointId &Endpoint, const EntryName &Entry);

  /// Returns the demand to load next, or nothing. Demands whose requests would
  /// all miss their deadline come last.
  std::optional<LoadDemand> next(Instant Now) const;
  /// Returns all demands in descending order of value.
  std::vector<LoadDemand> ordered(Instant Now) const;

  /// Returns the loss per second of the waiting requests, divided by the
  /// duration of the load.
  static double value(const LoadDemand &Demand, Instant Now);

private:
  std::map<std::pair<EndpointId, EntryName>, LoadDemand> m_Demands;
};

/// Limits the rate of loads from the weight store. One controller, the lender,
/// grants permits to all; each other controller has a reserved share for times
/// when the lender is unreachable. A load at full speed takes Parallel / Rate
/// seconds, so the lender starts at most Parallel loads in any such window.
/// This keeps both the rate and the limit on parallel loads without tracking
/// when loads end. Thread safety: none.
class LoadPermits {
public:
  /// The weight store sustains \p Rate loads per second and runs up to
  /// \p Parallel loads at full speed. The lender does not grant
  /// \p ReservedShare of the rate, which is reserved for controllers that
  /// cannot reach it. Precondition: 0 <= ReservedShare <= 1.
  LoadPermits(double Rate, double Parallel, double ReservedShare);

  /// Takes a permit as the lender. Returns zero if it was granted, otherwise
  /// the time to wait, or milliseconds::max() if the lender's share is zero.
  milliseconds tryAcquire(Instant Now);
  /// Takes a permit from this controller's part of the reserved share, which is
  /// divided among \p Controllers. Returns the same as tryAcquire().
  milliseconds tryReserved(std::size_t Controllers, Instant Now);

private:
  double m_Rate;
  double m_Parallel;
  double m_ReservedShare;
  std::deque<Instant> m_RecentStarts; ///< Load starts in the current window.
  std::optional<Instant> m_LastReservedGrant;
};

} // namespace sff::loading
