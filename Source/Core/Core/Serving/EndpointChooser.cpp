#include "Core/Serving/EndpointChooser.h"

#include <algorithm>
#include <vector>

namespace sff::serving {

namespace {

/// Load penalty for an endpoint in another availability zone, as a fraction of
/// its slots. Traffic between zones is expensive and has a higher latency.
constexpr double CrossZonePenalty = 0.3;
/// Failure rates are penalized only above the lowest rate plus this tolerance.
constexpr double FailureTolerance = 0.15;
/// Load penalty of an endpoint that fails all requests, as a multiple of its
/// slots.
constexpr double FailurePenalty = 4;
/// Latencies are penalized only above this multiple of the lowest latency.
constexpr double LatencyToleranceFactor = 2;
/// Added to all latencies before they are compared. Differences of a few
/// milliseconds come from the scheduling of processes, not from load.
constexpr milliseconds LatencyOffset{10};
/// Load penalty for each further multiple, and its upper bound, as a fraction
/// of the endpoint's slots.
constexpr double LatencyPenalty = 0.2;
constexpr double MaxLatencyPenalty = 1;
/// Interval between two trials of endpoints that are avoided. Bounds what
/// trials of many slow endpoints cost the callers of a host with few requests.
constexpr milliseconds TrialInterval{10000};

/// Requests that wait at a full endpoint, as a multiple of its slots. Endpoints
/// do not register the length of their queue; those known so far hold three
/// requests for each slot, plain ones four.
constexpr double QueuePerSlot = 3;
/// Bounds of the time for which a rejection counts.
constexpr milliseconds MinFullTime{100};
constexpr milliseconds MaxFullTime{1000};

bool wasTried(const Endpoint &Candidate, const ChoiceContext &Context) {
  return Context.m_Tried && Context.m_Tried->contains(Candidate.id());
}

} // namespace

void EndpointChooser::onReport(const EndpointId &Id, std::int64_t Requests,
                               Instant Now) {
  m_Loads.onReport(Id, Requests, Duration::zero(), Now);
  m_Full.erase(Id);
}

void EndpointChooser::onRejected(const Endpoint &Rejecting,
                                 std::optional<std::int64_t> Requests,
                                 Instant Now) {
  const int Slots = std::max(1, Rejecting.m_Registration.m_Slots);
  FullState Full;
  Full.m_Load = Requests && *Requests >= Slots ? static_cast<double>(*Requests)
                                               : Slots * (1 + QueuePerSlot);
  const Duration ServiceTime = std::clamp<Duration>(
      fromSeconds(m_Loads.meanServiceSeconds()), MinFullTime, MaxFullTime);
  // Hosts that were rejected at the same time do not return at the same time.
  std::uniform_real_distribution<double> Fraction(0.5, 1);
  Full.m_Until = Now + std::chrono::duration_cast<Duration>(ServiceTime *
                                                            Fraction(m_Random));
  m_Full.insert_or_assign(Rejecting.id(), Full);
}

double EndpointChooser::estimatedLoad(const EndpointId &Id, Instant Now) const {
  const double Load = std::max(0.0, m_Loads.estimate(Id, Now));
  const auto Full = m_Full.find(Id);
  return Full != m_Full.end() && Now < Full->second.m_Until
             ? std::max(Load, Full->second.m_Load)
             : Load;
}

double EndpointChooser::load(const Endpoint &Candidate, Instant Now) const {
  const double Slots = std::max(1, Candidate.m_Registration.m_Slots);
  double Load = estimatedLoad(Candidate.id(), Now);
  if (Candidate.m_Registration.m_Zone != m_LocalZone)
    Load += CrossZonePenalty * Slots;
  return Load;
}

double EndpointChooser::penalty(const Endpoint &Candidate,
                                double LowestFailureRate,
                                Duration LowestLatency) const {
  const double Slots = std::max(1, Candidate.m_Registration.m_Slots);
  const double FailureRate = m_Health.failureRate(Candidate.id());
  double Load =
      FailurePenalty * Slots *
      std::max(0.0, FailureRate - LowestFailureRate - FailureTolerance);
  if (LowestLatency > Duration::zero()) {
    const double LatencyRatio =
        toSeconds(m_Health.latency(Candidate.id()) + LatencyOffset) /
        toSeconds(LowestLatency + LatencyOffset);
    Load += Slots *
            std::clamp(LatencyPenalty * (LatencyRatio - LatencyToleranceFactor),
                       0.0, MaxLatencyPenalty);
  }
  return Load;
}

std::optional<EndpointId>
EndpointChooser::pick(std::span<const Endpoint *const> Eligible,
                      const ChoiceContext &Context, Instant Now) {
  if (Eligible.empty())
    return std::nullopt;
  double LowestFailureRate = 1;
  Duration LowestLatency{0};
  for (const Endpoint *Item : Eligible) {
    LowestFailureRate =
        std::min(LowestFailureRate, m_Health.failureRate(Item->id()));
    const Duration Latency = m_Health.latency(Item->id());
    if (Latency > Duration::zero() &&
        (LowestLatency == Duration::zero() || Latency < LowestLatency))
      LowestLatency = Latency;
  }
  std::vector<routing::PickCandidate> List;
  List.reserve(Eligible.size());
  std::set<EndpointId> Trials;
  for (const Endpoint *Item : Eligible) {
    routing::PickCandidate Candidate;
    Candidate.m_Endpoint = Item->id();
    Candidate.m_Load = load(*Item, Now);
    const double Penalty = penalty(*Item, LowestFailureRate, LowestLatency);
    // An endpoint that is never chosen would never get another chance.
    const bool IsTrial =
        Penalty > 0 &&
        (m_Health.isUnconfirmed(Item->id(), Now) ||
         (Now >= m_NextTrialAt && m_Health.isOutdated(Item->id(), Now)));
    if (IsTrial)
      Trials.insert(Item->id());
    else
      Candidate.m_Load += Penalty;
    if (Context.m_AffinityEndpoint == Item->id())
      Candidate.m_PrefixTokens = Context.m_AffinityTokens;
    List.push_back(std::move(Candidate));
  }
  const auto Chosen =
      routing::pickEndpoint(List, routing::ScoreWeights{}, m_Random);
  if (!Chosen)
    return std::nullopt;
  const EndpointId &Id = List[*Chosen].m_Endpoint;
  if (Trials.contains(Id)) {
    // The check of a first answer happens once for each endpoint and needs no
    // limit.
    if (!m_Health.isUnconfirmed(Id, Now))
      m_NextTrialAt = Now + TrialInterval;
    m_Health.onTrial(Id, Now);
  }
  return Id;
}

std::optional<EndpointId>
EndpointChooser::choose(std::span<const Endpoint *const> Candidates,
                        const ChoiceContext &Context, Instant Now) {
  std::vector<const Endpoint *> Untried;
  std::vector<const Endpoint *> Eligible;
  for (const Endpoint *Item : Candidates) {
    if (wasTried(*Item, Context))
      continue;
    Untried.push_back(Item);
    if (!m_Health.isSuspended(Item->id(), Now))
      Eligible.push_back(Item);
  }
  return pick(Eligible.empty() ? Untried : Eligible, Context, Now);
}

void EndpointChooser::forget(const EndpointId &Id) {
  m_Loads.forget(Id);
  m_Health.forget(Id);
  m_Full.erase(Id);
}

} // namespace sff::serving
