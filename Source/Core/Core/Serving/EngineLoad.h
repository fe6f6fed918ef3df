#pragma once

#include "Common/Identity/Ids.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sff::serving {

/// Returns the requests per second that an endpoint with \p Slots slots serves
/// without significant queueing. Thread safety: reentrant.
double sustainableRate(int Slots);

/// The replicas that one of \p Zones zones adds of those that are missing. The
/// holders of the zones act at the same time and do not know of each other's
/// loads. Thread safety: reentrant.
int zoneShare(int Missing, std::size_t Zones);

/// An endpoint and the models that are loaded on it.
struct EndpointPlacement {
  EndpointId m_Endpoint;
  std::vector<std::string> m_Models;
  bool m_AcceptsRequests = true;
  bool m_Leaving = false; ///< Draining, or about to be replaced by a rollout.
};

/// A busy model whose replicas are all overloaded or all about to leave.
struct Overload {
  std::string m_Model;
  /// Utilization of the model's least loaded endpoint; infinite if none accepts
  /// requests.
  double m_Utilization = 0;
  bool m_AtRisk = false; ///< All endpoints of the model are leaving.
  /// Estimated waiting time, in seconds, that an additional replica saves.
  double m_SavedWaitSeconds = 0;
  bool m_IsUnderPressure = false; ///< Hosts find its endpoints full.
  int m_Replicas = 0;             ///< Endpoints that accept its requests.
  /// Replicas that its request rate needs beyond these, at least 1.
  int m_MissingReplicas = 1;
};

/// What hosts have observed, besides the request rates.
struct LoadObservations {
  /// Speed of an endpoint relative to the average. 1 for all when empty.
  std::function<double(const EndpointId &Endpoint)> m_Speed;
  /// Whether hosts find the endpoints of the model full. False for all when
  /// empty.
  std::function<bool(std::string_view Model)> m_IsUnderPressure;
};

/// Estimates the load of an engine's endpoints, assuming that the requests of
/// each model are spread over its replicas in proportion to their speeds. The
/// models of an endpoint share its batch, so a busy model slows down the others
/// there. Thread safety: none.
class EngineLoad {
public:
  using RateLookup = std::function<double(std::string_view Model)>;

  /// \p Capacity is the number of requests per second that an endpoint of
  /// average speed serves without significant queueing.
  EngineLoad(std::span<const EndpointPlacement> Placements,
             const RateLookup &Rate, double Capacity,
             const LoadObservations &Observations = {});

  /// Returns the fraction of the endpoint's capacity that its models need.
  /// Above 1, requests accumulate.
  double utilization(const EndpointId &Endpoint) const;
  /// Returns the overloaded models in descending order of the waiting time that
  /// a replica would save.
  std::vector<Overload> overloads() const;
  /// Returns true if a replica on \p Endpoint would significantly reduce the
  /// load of the model's replicas.
  bool reducesLoadOf(const EndpointId &Endpoint,
                     const Overload &Overloaded) const;

private:
  struct ReplicaSet {
    double m_Rate = 0;
    /// Number of endpoints that are not about to leave.
    int m_RemainingEndpoints = 0;
    std::vector<EndpointId> m_Endpoints; ///< Endpoints that accept requests.
    double m_Capacity = 0; ///< Requests per second of all these endpoints.
    bool m_IsUnderPressure = false;

    double ratePerReplica() const;
    /// Fraction of the capacity that the model's requests need.
    double utilization() const;
  };

  std::optional<Overload> findOverload(const std::string &Model,
                                       const ReplicaSet &Replicas) const;
  int missingReplicas(const ReplicaSet &Replicas) const;

  double m_Capacity;
  std::set<EndpointId> m_Leaving;
  std::map<std::string, ReplicaSet, std::less<>> m_Models;
  std::map<EndpointId, double> m_Utilization;
};

} // namespace sff::serving
