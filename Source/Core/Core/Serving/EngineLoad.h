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

/// Requests per second that an endpoint with so many slots serves without much
/// waiting. Thread safety: reentrant.
double comfortableRate(int Slots);

/// An endpoint and the models that it holds.
struct EndpointPlacement {
  EndpointId m_Endpoint;
  std::vector<std::string> m_Models;
  bool m_TakesWork = true;
  bool m_Leaving = false; ///< It drains, or a release is about to replace it.
};

/// A busy model whose replicas all have more requests than they serve without
/// much waiting, or are all about to leave.
struct Overload {
  std::string m_Model;
  /// Of its least loaded endpoint; infinite when none takes work.
  double m_Utilization = 0;
  bool m_AtRisk = false; ///< All its endpoints are leaving.
  /// Seconds of waiting that a further replica is expected to save.
  double m_ReliefSeconds = 0;
};

/// How the requests of an engine's models spread over its endpoints, each
/// model's evenly over its replicas. The models of an endpoint share its
/// batch, so a busy model slows the others there. Thread safety: none.
class EngineLoad {
public:
  using RateOf = std::function<double(std::string_view Model)>;

  /// \p Capacity: requests per second that an endpoint serves without much
  /// waiting.
  EngineLoad(std::span<const EndpointPlacement> Placements, const RateOf &Rate,
             double Capacity);

  /// Part of the endpoint's capacity that its models need; above 1 requests
  /// pile up.
  double utilization(const EndpointId &Endpoint) const;
  /// The overloaded models, first the one that a replica helps most.
  std::vector<Overload> overloads() const;
  /// The endpoint would take a good part of the load off the model's replicas.
  bool relieves(const EndpointId &Endpoint, const Overload &Item) const;

private:
  struct Spread {
    double m_Rate = 0;
    int m_Staying = 0; ///< Endpoints that are not about to leave.
    std::vector<EndpointId> m_Endpoints; ///< Those that take work.

    double rateEach() const;
  };

  std::optional<Overload> overloadOf(const std::string &Model,
                                     const Spread &Where) const;

  double m_Capacity;
  std::set<EndpointId> m_Leaving;
  std::map<std::string, Spread, std::less<>> m_Models;
  std::map<EndpointId, double> m_Utilization;
};

} // namespace sff::serving
