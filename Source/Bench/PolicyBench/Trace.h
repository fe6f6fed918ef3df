#pragma once

#include "Core/Catalogue/EntrySpec.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace sff::bench {

using catalogue::TrafficClass;

struct Deployment {
  std::string m_Name;
  int m_Zones = 4;
  int m_Engines = 0;
  int m_Models = 0;
  int m_Adapters = 0;
  int m_Routers = 0;
  double m_StoreRate = 0; ///< Loads per second of the weight store.
  double m_StoreParallel = 4;
  /// Share of the entries that serve interactive requests.
  double m_InteractiveEntries = 0.6;
};

/// Throws std::invalid_argument for an unknown name.
const Deployment &findDeployment(const std::string &Name);

/// Requests that one engine runs at once for one replica.
constexpr int SlotsPerReplica = 16;
constexpr double AcceleratorBytes = 80e9;
constexpr double EngineBytes = 2 * AcceleratorBytes;

struct Entry {
  EntryName m_Name;
  TrafficClass m_Class = TrafficClass::Batch;
  double m_Bytes = 0;
  int m_Base = -1; ///< Index of an adapter's base.
  int m_Replicas = 1;
  int m_Home = 0; ///< Engine of the first replica; others follow.
};

struct Request {
  double m_At = 0;
  int m_Entry = 0;
  TrafficClass m_Class = TrafficClass::Batch;
  double m_Service = 1;   ///< Seconds from dispatch to the end.
  double m_Patience = 30; ///< Seconds to the deadline for the first token.
};

struct Trace {
  std::vector<Entry> m_Entries;
  std::vector<Request> m_Requests; ///< Ordered by time.
  double m_Seconds = 0;
};

/// Mostly idle entries: quiet spells, then a burst of first requests and some
/// minutes of use. Every three hours a wave wakes half of the entries
/// within 15 seconds.
Trace makeIdleTrace(const Deployment &Where, double Hours, std::uint64_t Seed);

/// A few loaded entries: an even load, \p Factor times the capacity for ten
/// minutes from minute 5, then half of the capacity for an hour.
/// \p InteractiveShare is the share of interactive requests in the load.
Trace makeOverloadTrace(const Deployment &Where, double Factor,
                        double InteractiveShare, std::uint64_t Seed);
constexpr double OverloadFrom = 300;
constexpr double OverloadTo = 900;

} // namespace sff::bench
