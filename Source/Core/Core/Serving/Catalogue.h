#pragma once

#include "Common/Time/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sff::serving {

/// What may be repeated on a route.
enum class RouteKind { Idempotent, NonIdempotent, Stream };

/// Part of a route's requests that one service gets.
struct ServiceShare {
  std::string m_Service;
  double m_Weight = 1;
};

struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix; ///< Begins and ends with a slash.
  RouteKind m_Kind = RouteKind::NonIdempotent;
  milliseconds m_Timeout{0};
  milliseconds m_TargetLatency{0};
  milliseconds m_GapTarget{0}; ///< Longest pause between events of a stream.
  std::int64_t m_Rank = 0;     ///< 0 is the most urgent.
  int m_MaxEndpoints = 1;      ///< Endpoints that one request may be sent to.
  bool m_MayResume = false;    ///< A stream may go on at another endpoint.
  std::vector<ServiceShare> m_Shares;

  /// A request may run more than once.
  bool isIdempotent() const {
    return m_Kind == RouteKind::Idempotent ||
           (m_Kind == RouteKind::Stream && m_MayResume);
  }
  /// Callers of a stream leave after this long without an event.
  milliseconds callerPatience() const;
  /// The service of a request. \p Point is uniform over all 64-bit values.
  /// Precondition: the route has a share.
  const std::string &serviceAt(std::uint64_t Point) const;
};

struct ModelSpec {
  std::string m_Name;
  double m_WeightMb = 0;
  double m_AdapterMb = 0;
  double m_RemoteLoadSeconds = 0; ///< From the weight store.
  double m_DiskLoadSeconds = 0;
  double m_MemoryLoadSeconds = 0; ///< From the endpoint's host memory.
};

/// What the endpoints of a service that runs models have in common.
struct EngineSpec {
  double m_CapacityMb = 0; ///< Weights and adapters together.
  int m_AdapterSlots = 0;
  int m_Slots = 0;                   ///< Requests that run at once.
  double m_RemoteLoadsPerSecond = 0; ///< Over all endpoints.
  std::map<std::string, ModelSpec, std::less<>> m_Models;

  const ModelSpec *find(std::string_view Model) const;
};

struct Service {
  std::string m_Name;
  std::optional<EngineSpec> m_Engine;
};

/// Bounds on what a caller may send or hold.
struct CallerLimits {
  std::uint32_t m_HeaderBytes = 16 * 1024;
  std::uint64_t m_BodyBytes = 4 * 1024 * 1024;
  milliseconds m_HeaderTimeout{3000};
  milliseconds m_IdleTimeout{15000};
};

/// One published configuration. Immutable once built.
/// Thread safety: const methods may be called from any thread.
struct Catalogue {
  std::int64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::map<std::string, Service, std::less<>> m_Services;
  CallerLimits m_Limits;

  /// The route of \p Host with the longest prefix that begins \p Path.
  /// \p Host may carry a port and is compared without regard to case.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const Service *findService(std::string_view Name) const;
  /// The engine of a service that runs models.
  const EngineSpec *findEngine(std::string_view ServiceName) const;
  /// A model of such a service.
  const ModelSpec *findModel(std::string_view ServiceName,
                             std::string_view Model) const;
  /// Builds the index of findRoute(). Call once, after the routes are set.
  void buildIndex();

private:
  std::map<std::string, std::vector<std::size_t>, std::less<>> m_ByHost;
};

/// "model/adapter" in its parts; the adapter is empty for the model itself.
struct ModelName {
  std::string m_Model;
  std::string m_Adapter;

  static ModelName parse(std::string_view Text);
  std::string str() const;
  friend auto operator<=>(const ModelName &, const ModelName &) = default;
};

} // namespace sff::serving
