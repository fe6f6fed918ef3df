#include "Core/Serving/EndpointChooser.h"

#include <algorithm>
#include <vector>

namespace sff::serving {

namespace {

/// Load that a request to another availability zone is worth, as a part of
/// the endpoint's slots: bytes between zones are dear and the path is longer.
constexpr double OtherZonePart = 0.3;
/// Failures beyond this distance from the best endpoint count against one.
constexpr double FailureTolerance = 0.15;
/// Load, in slots, that an endpoint which fails all requests stands for.
constexpr double FailurePart = 4;
/// Latency beyond this multiple of the best endpoint's counts against one.
constexpr double LatencyTolerance = 2;
/// Load, in slots, of each further multiple, and the most that counts.
constexpr double LatencyPart = 0.2;
constexpr double MostLatencyPart = 1;

bool wasTried(const Endpoint &Candidate, const ChoiceContext &Context) {
  return Context.m_Tried && Context.m_Tried->contains(Candidate.id());
}

} // namespace

double EndpointChooser::cost(const Endpoint &Candidate, double LowestFailures,
                             Duration LowestLatency, Instant Now) const {
  const double Slots = std::max(1, Candidate.m_Registered.m_Slots);
  double Load = std::max(0.0, m_Loads.estimate(Candidate.id(), Now));
  if (Candidate.m_Registered.m_Zone != m_OwnZone)
    Load += OtherZonePart * Slots;
  const double Failures = m_Health.failureShare(Candidate.id());
  Load += FailurePart * Slots *
          std::max(0.0, Failures - LowestFailures - FailureTolerance);
  if (LowestLatency > Duration::zero()) {
    const double Multiple =
        toSeconds(m_Health.latency(Candidate.id())) / toSeconds(LowestLatency);
    Load += Slots * std::clamp(LatencyPart * (Multiple - LatencyTolerance), 0.0,
                               MostLatencyPart);
  }
  return Load;
}

std::optional<EndpointId>
EndpointChooser::pick(std::span<const Endpoint *const> Usable,
                      const ChoiceContext &Context, Instant Now) {
  if (Usable.empty())
    return std::nullopt;
  double LowestFailures = 1;
  Duration LowestLatency{0};
  for (const Endpoint *Item : Usable) {
    LowestFailures =
        std::min(LowestFailures, m_Health.failureShare(Item->id()));
    const Duration Latency = m_Health.latency(Item->id());
    if (Latency > Duration::zero() &&
        (LowestLatency == Duration::zero() || Latency < LowestLatency))
      LowestLatency = Latency;
  }
  std::vector<routing::PickCandidate> List;
  List.reserve(Usable.size());
  for (const Endpoint *Item : Usable) {
    routing::PickCandidate Candidate;
    Candidate.m_Endpoint = Item->id();
    Candidate.m_Load = cost(*Item, LowestFailures, LowestLatency, Now);
    if (Context.m_Affine == Item->id())
      Candidate.m_PrefixTokens = Context.m_AffineTokens;
    List.push_back(std::move(Candidate));
  }
  const auto Chosen =
      routing::pickEndpoint(List, routing::PickWeights{}, m_Random);
  if (!Chosen)
    return std::nullopt;
  return List[*Chosen].m_Endpoint;
}

std::optional<EndpointId>
EndpointChooser::choose(std::span<const Endpoint *const> Candidates,
                        const ChoiceContext &Context, Instant Now) {
  std::vector<const Endpoint *> Untried;
  std::vector<const Endpoint *> Usable;
  for (const Endpoint *Item : Candidates) {
    if (wasTried(*Item, Context))
      continue;
    Untried.push_back(Item);
    if (!m_Health.isSuspended(Item->id(), Now))
      Usable.push_back(Item);
  }
  return pick(Usable.empty() ? Untried : Usable, Context, Now);
}

void EndpointChooser::forget(const EndpointId &Id) {
  m_Loads.forget(Id);
  m_Health.forget(Id);
}

} // namespace sff::serving
