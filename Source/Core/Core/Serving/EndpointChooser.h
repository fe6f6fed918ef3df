#pragma once

#include "Core/Routing/EndpointPicker.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Core/Serving/EndpointHealth.h"

#include <map>
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

  /// Applies the number of requests that run or wait at the endpoint, which it
  /// reports now.
  void onReport(const EndpointId &Id, std::int64_t Requests, Instant Now);
  /// Records that the endpoint rejected a request because it is full. It counts
  /// as full until it reports its load, or for about the service time of a
  /// request. \p Requests is the load that the rejection names, if any.
  void onRejected(const Endpoint &Rejecting,
                  std::optional<std::int64_t> Requests, Instant Now);
  /// The estimated number of requests that run or wait at the endpoint.
  double estimatedLoad(const EndpointId &Id, Instant Now) const;

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

  /// An endpoint that has rejected a request for want of room.
  struct FullState {
    double m_Load = 0;
    Instant m_Until;
  };

  ZoneId m_LocalZone;
  std::mt19937_64 m_Random;
  routing::LoadEstimator m_Loads;
  EndpointHealth m_Health;
  std::map<EndpointId, FullState> m_Full;
  Instant m_NextTrialAt;
};

} // namespace sff::serving
