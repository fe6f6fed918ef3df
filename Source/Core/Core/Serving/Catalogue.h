#pragma once

#include "Common/Time/Instant.h"
#include "Core/Tenants/Tenant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sff::serving {

/// Whether requests of a route may be repeated.
enum class RouteKind { Idempotent, NonIdempotent, Stream };

/// The share of a route's requests that is sent to one service.
struct ServiceShare {
  std::string m_Service;
  double m_Weight = 1;
};

struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix; ///< Starts and ends with a slash.
  RouteKind m_Kind = RouteKind::NonIdempotent;
  milliseconds m_Timeout{0};
  milliseconds m_TargetLatency{0};
  /// Target maximum gap between the events of a stream.
  milliseconds m_EventGapTarget{0};
  std::int64_t m_Priority = 0; ///< Priority; 0 is the highest.
  /// Maximum number of endpoints that a request may be sent to.
  int m_MaxEndpointsPerRequest = 1;
  bool m_Resumable = false; ///< A stream may be resumed at another endpoint.
  bool m_Anonymous = false; ///< Callers need no key.
  std::vector<ServiceShare> m_ServiceShares;

  /// Returns true if a request may be executed more than once.
  bool isIdempotent() const {
    return m_Kind == RouteKind::Idempotent ||
           (m_Kind == RouteKind::Stream && m_Resumable);
  }
  /// Time without an event after which the caller of a stream disconnects.
  milliseconds callerTimeout() const;
  /// Selects the service of a request by weight. \p Point is uniformly
  /// distributed over all 64-bit values. Precondition: the route has at least
  /// one share.
  const std::string &serviceAt(std::uint64_t Point) const;
};

struct ModelSpec {
  std::string m_Name;
  double m_WeightMb = 0;
  double m_AdapterMb = 0;
  /// The adapters are named by this prefix and the numbers from 1 on.
  std::string m_AdapterPrefix;
  /// Number of adapters; if the configuration does not say it, the model may
  /// have an adapter of any name.
  std::optional<std::int64_t> m_AdapterCount;
  double m_RemoteLoadSeconds = 0; ///< Load time from the weight store.
  double m_DiskLoadSeconds = 0;
  /// Load time from the endpoint's host memory.
  double m_MemoryLoadSeconds = 0;

  /// Returns whether \p Adapter can be one of this model.
  bool hasAdapter(std::string_view Adapter) const;
};

/// A parsed "model/adapter" name. The adapter is empty for the model itself.
struct ModelName {
  std::string m_Model;
  std::string m_Adapter;

  static ModelName parse(std::string_view Text);
  std::string str() const;
  friend auto operator<=>(const ModelName &, const ModelName &) = default;
};

/// Settings shared by all endpoints of a service that runs models.
struct EngineSpec {
  double m_CapacityMb = 0; ///< Memory for weights and adapters.
  int m_AdapterSlots = 0;
  int m_Slots = 0;                   ///< Maximum number of concurrent requests.
  double m_RemoteLoadsPerSecond = 0; ///< Limit over all endpoints.
  std::map<std::string, ModelSpec, std::less<>> m_Models;

  const ModelSpec *find(std::string_view Model) const;
  /// Returns whether the configuration has the model and, if \p Name has one,
  /// the adapter. Callers choose names, so that only names for which this holds
  /// may be kept longer than a request.
  bool knows(const ModelName &Name) const;
};

struct Service {
  std::string m_Name;
  /// Path of the health check of its endpoints; empty if there is none.
  std::string m_HealthPath;
  std::optional<EngineSpec> m_Engine;
};

/// Limits on the size and duration of a caller's requests and connections.
struct CallerLimits {
  std::uint32_t m_MaxHeaderBytes = 16 * 1024;
  std::uint64_t m_MaxBodyBytes = 4 * 1024 * 1024;
  milliseconds m_HeaderTimeout{3000};
  milliseconds m_IdleTimeout{15000};
};

/// One published version of the configuration. Immutable after buildIndex().
/// Thread safety: const methods may be called from any thread.
struct Catalogue {
  std::int64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::map<std::string, Service, std::less<>> m_Services;
  CallerLimits m_Limits;
  tenants::TenantIndex m_Tenants; ///< Empty if callers need no keys.

  /// Returns the route of \p Host with the longest prefix that matches \p Path,
  /// or nullptr. \p Host may include a port and is case-insensitive.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const Service *findService(std::string_view Name) const;
  /// Returns the engine of a service that runs models, or nullptr.
  const EngineSpec *findEngine(std::string_view ServiceName) const;
  /// Returns a model of such a service, or nullptr.
  const ModelSpec *findModel(std::string_view ServiceName,
                             std::string_view Model) const;
  /// Returns whether a service has the model and, if named, the adapter.
  bool knows(const ModelName &Name) const;
  /// The priority of a request by that of its tenant, if it has one, and that
  /// of its route: 0 is the highest, HighestRank the lowest. The tenant's
  /// priority comes first. Without tenants it is the priority of the route.
  std::int64_t priorityRank(std::optional<std::int64_t> TenantPriority,
                            std::int64_t RoutePriority) const;
  /// Builds the indexes of findRoute() and priorityRank(). Call once, after
  /// routes and tenants are set.
  void buildIndex();

  static constexpr std::int64_t HighestRank = 9;

private:
  /// Priorities of a tenant and a route. A tenant without a priority counts
  /// with that of the route.
  using PriorityPair = std::pair<std::int64_t, std::int64_t>;

  void buildRanks();

  std::map<std::string, std::vector<std::size_t>, std::less<>> m_ByHost;
  /// All priorities that requests can have, the highest first.
  std::vector<PriorityPair> m_Priorities;
};

} // namespace sff::serving
