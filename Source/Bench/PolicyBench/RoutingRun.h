#pragma once

#include <cstdint>

namespace sff::bench {

enum class RoutingMode {
  LoadAndPrefix,
  LoadOnly,
  RoundRobin,
  LeastReportedLoad
};

struct RoutingOptions {
  RoutingMode m_Mode = RoutingMode::LoadAndPrefix;
  int m_Engines = 9;
  int m_Routers = 7;
  double m_LoadFraction = 0.8; ///< Fraction of the capacity without cache hits.
  bool m_SlowEngine = false;   ///< One engine takes twice as long.
  double m_ReportLagSeconds = 1.0; ///< Reports are made every second.
  double m_EventDelaySeconds = 2.0;
  /// Fraction of cache event batches that are lost.
  double m_EventLossRate = 0.03;
};

struct RoutingMetrics {
  /// Seconds from the routing decision to the first token.
  double m_WaitP50 = 0;
  double m_WaitP99 = 0;
  double m_HitRate = 0; ///< Fraction of the prompt blocks that were cached.
  /// Largest excess of an engine's load over the mean, in requests.
  double m_MaxImbalance = 0;
};

/// Simulates several routers that distribute the requests of one model over its
/// replicas by stale load reports and cache events. The replicas cache prompt
/// prefixes in limited memory.
RoutingMetrics runRouting(const RoutingOptions &Options, std::uint64_t Seed);

} // namespace sff::bench
