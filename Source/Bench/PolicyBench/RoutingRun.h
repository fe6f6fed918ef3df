#pragma once

#include <cstdint>

namespace sff::bench {

enum class Routing { Policy, PolicyNoPrefix, RoundRobin, TrustReports };

struct RoutingOptions {
  Routing m_Routing = Routing::Policy;
  int m_Engines = 9;
  int m_Routers = 7;
  double m_Load = 0.8;       ///< Of the capacity without cache hits.
  bool m_SlowEngine = false; ///< One engine takes twice as long.
  double m_ReportLag = 1.0;  ///< Seconds; reports are made every second.
  double m_EventDelay = 2.0; ///< Seconds.
  double m_EventLoss = 0.03; ///< Share of the batches of cache events.
};

struct RoutingFigures {
  double m_WaitP50 = 0; ///< Seconds from the pick to the first token.
  double m_WaitP99 = 0;
  double m_HitShare = 0;  ///< Of the prompt blocks.
  double m_Imbalance = 0; ///< Largest excess over the mean, in requests.
};

/// Many routers with stale views send the requests of one model to its
/// replicas, which cache prompt prefixes in limited memory.
RoutingFigures runRouting(const RoutingOptions &Options, std::uint64_t Seed);

} // namespace sff::bench
