#pragma once

#include "Core/Catalogue/EntrySpec.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace sff::bench {

using catalogue::TrafficClass;

struct DeploymentSpec {
  std::string m_Name;
  int m_Zones = 4;
  int m_Engines = 0;
  int m_ModelCount = 0;
  int m_AdapterCount = 0;
  int m_Routers = 0;
  double m_StoreLoadsPerSecond = 0;
  /// Loads that the weight store runs concurrently at full speed.
  double m_StoreParallelLoads = 4;
  /// Fraction of the entries that serve interactive requests.
  double m_InteractiveEntryShare = 0.6;
};

/// Throws std::invalid_argument for an unknown name.
const DeploymentSpec &findDeployment(const std::string &Name);

/// Requests that one engine runs concurrently for one replica.
constexpr int SlotsPerReplica = 16;
constexpr double AcceleratorBytes = 80e9;
constexpr double EngineBytes = 2 * AcceleratorBytes;

struct TraceEntry {
  EntryName m_Name;
  TrafficClass m_Class = TrafficClass::Batch;
  double m_Bytes = 0;
  int m_BaseIndex = -1; ///< Index of an adapter's base; -1 for a model.
  int m_ReplicaCount = 1;
  /// Engine of the first replica. Further replicas use the next engines.
  int m_PreferredEngine = 0;
};

struct TraceRequest {
  double m_ArrivalTime = 0;
  int m_Entry = 0;
  TrafficClass m_Class = TrafficClass::Batch;
  double m_ServiceSeconds = 1; ///< From dispatch to the end.
  /// From arrival to the deadline for the first token.
  double m_DeadlineSeconds = 30;
};

struct Trace {
  std::vector<TraceEntry> m_Entries;
  std::vector<TraceRequest> m_Requests; ///< Ordered by arrival time.
  double m_DurationSeconds = 0;
};

/// Mostly idle entries: idle periods, each followed by a burst of requests and
/// some minutes of use. Every three hours, about half of the entries become
/// active within 15 seconds.
Trace makeIdleTrace(const DeploymentSpec &Deployment, double Hours,
                    std::uint64_t Seed);

/// A few entries under load: half of the capacity for 5 minutes, \p Factor
/// times the capacity for 10 minutes, then half of the capacity for an hour.
/// \p InteractiveShare is the fraction of the service time that interactive
/// requests take.
Trace makeOverloadTrace(const DeploymentSpec &Deployment, double Factor,
                        double InteractiveShare, std::uint64_t Seed);
constexpr double OverloadStartSeconds = 300;
constexpr double OverloadEndSeconds = 900;

} // namespace sff::bench
