#pragma once

#include "Core/Routing/EndpointPicker.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Core/Serving/EndpointHealth.h"

#include <optional>
#include <random>
#include <set>
#include <span>

namespace sff::serving {

/// Per-request input for choosing an endpoint.
struct ChoiceContext {
  /// Endpoints that the request was already sent to.
  const std::set<EndpointId> *m_Tried = nullptr;
  /// Endpoint that served the session's previous request, if any.
  std::optional<EndpointId> m_AffinityEndpoint;
  /// Prompt tokens that are cached at the affine endpoint.
  std::int64_t m_AffinityTokens = 0;
};

/// Chooses an endpoint for each request by load, availability zone, health and
/// cached prompt prefixes. Thread safety: none.
class EndpointChooser {
public:
  EndpointChooser(ZoneId LocalZone, std::uint64_t Seed)
      : m_LocalZone(std::move(LocalZone)), m_Random(Seed) {}

  routing::LoadEstimator &loads() { return m_Loads; }
  EndpointHealth &health() { return m_Health; }

  /// Chooses one of \p Candidates that has not been tried. Suspended endpoints
  /// are used only if there is no other.
  std::optional<EndpointId> choose(std::span<const Endpoint *const> Candidates,
                                   const ChoiceContext &Context, Instant Now);
  void forget(const EndpointId &Id);

private:
  std::optional<EndpointId> pick(std::span<const Endpoint *const> Eligible,
                                 const ChoiceContext &Context, Instant Now);
  /// The load of the endpoint, with a penalty for another availability zone.
  double load(const Endpoint &Candidate, Instant Now) const;
  /// Load to add because the endpoint fails or is slow, in comparison with the
  /// others.
  double penalty(const Endpoint &Candidate, double LowestFailureRate,
                 Duration LowestLatency) const;

  ZoneId m_LocalZone;
  std::mt19937_64 m_Random;
  routing::LoadEstimator m_Loads;
  EndpointHealth m_Health;
  Instant m_NextTrialAt;
};

} // namespace sff::serving
