#pragma once

#include "Core/Routing/EndpointPicker.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Core/Serving/EndpointHealth.h"

#include <optional>
#include <random>
#include <set>
#include <span>

namespace sff::serving {

/// What the choice of an endpoint depends on besides the endpoints.
struct ChoiceContext {
  /// Endpoints that have already had this request.
  const std::set<EndpointId> *m_Tried = nullptr;
  /// Endpoint that served the same session before, if any.
  std::optional<EndpointId> m_Affine;
  /// Prompt tokens that the affine endpoint need not read again.
  std::int64_t m_AffineTokens = 0;
};

/// Chooses the endpoint of each request by load, availability zone, health
/// and cached prompts. Thread safety: none.
class EndpointChooser {
public:
  EndpointChooser(ZoneId Own, std::uint64_t Seed)
      : m_OwnZone(std::move(Own)), m_Random(Seed) {}

  routing::LoadView &loads() { return m_Loads; }
  EndpointHealth &health() { return m_Health; }

  /// Chooses among \p Candidates, without those already tried. Suspended
  /// endpoints are used only when there is no other.
  std::optional<EndpointId> choose(std::span<const Endpoint *const> Candidates,
                                   const ChoiceContext &Context, Instant Now);
  void forget(const EndpointId &Id);

private:
  std::optional<EndpointId> pick(std::span<const Endpoint *const> Usable,
                                 const ChoiceContext &Context, Instant Now);
  double cost(const Endpoint &Candidate, double LowestFailures,
              Duration LowestLatency, Instant Now) const;

  ZoneId m_OwnZone;
  std::mt19937_64 m_Random;
  routing::LoadView m_Loads;
  EndpointHealth m_Health;
};

} // namespace sff::serving
