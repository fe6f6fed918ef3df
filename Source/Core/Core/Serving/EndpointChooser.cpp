#include "Core/Serving/EndpointChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace sff::serving {

namespace {

/// Time that an endpoint in another availability zone counts as further away.
/// Traffic between zones is expensive and has a higher latency. Times are
/// relative to that of a request at an endpoint without load.
constexpr double CrossZoneTime = 0.3;
/// A full batch doubles the time of each request in it.
constexpr double BatchTime = 1;
/// Time to read a prompt token that is not cached, multiplied by the slots.
constexpr double TimePerToken = 0.002;
/// Most time that a cached prefix saves. A longer wait than that of one request
/// is not worth it: other requests evict the prefix meanwhile.
constexpr double MaxPrefixTime = 1;
/// Prompt tokens that take as long to read as all else up to the first byte.
constexpr double TokensOfLeastWork = 500;
/// Endpoints whose times differ by less than that of this many requests count
/// as equal.
constexpr double TieRequests = 0.25;
/// Fraction of the mean service time within which the requests that other hosts
/// send do not appear in the reports yet.
constexpr double ReportDelay = 0.25;
/// Weighting of reports of the load by age.
constexpr milliseconds LoadMeanTimeConstant{2000};
constexpr double LoadFadeSeconds = 5;
/// Failure rates are penalized only above the lowest rate plus this tolerance.
constexpr double FailureTolerance = 0.15;
/// Time that an endpoint which fails all requests counts as slower.
constexpr double FailurePenalty = 4;
/// Latencies are penalized only above this multiple of the lowest latency.
constexpr double LatencyToleranceFactor = 2;
/// Added to all latencies before they are compared. Differences of a few
/// milliseconds come from the scheduling of processes, not from load.
constexpr milliseconds LatencyOffset{10};
/// Time for each further multiple, and its upper bound.
constexpr double LatencyPenalty = 0.2;
constexpr double MaxLatencyPenalty = 1;
/// Interval between two trials of endpoints that are avoided. Bounds what
/// trials of many slow endpoints cost the callers of a host with few requests.
constexpr milliseconds TrialInterval{10000};

/// Requests that wait at a full endpoint, as a multiple of its slots. Endpoints
/// do not register the length of their queue; those known so far hold three
/// requests for each slot, plain ones four.
constexpr double QueuePerSlot = 3;
/// Bounds of the service time by which the load of a full endpoint falls.
constexpr double MinServiceSeconds = 0.02;
constexpr double MaxServiceSeconds = 1;
/// Rejections in succession each double the time, up to this many doublings.
constexpr int MaxRejectionDoublings = 2;

double slotsOf(const Endpoint &Target) {
  return std::max(1, Target.m_Registration.m_Slots);
}

bool wasTried(const Endpoint &Candidate, const ChoiceContext &Context) {
  return Context.m_Tried && Context.m_Tried->contains(Candidate.id());
}

/// Leaves out endpoints of other zones that are no better than all local ones:
/// spreading requests over similar times is no reason to cross zones. Sets
/// times that count as equal to the least time.
void prepareTimes(std::span<routing::TimedCandidate> Times,
                  const std::vector<bool> &AreLocal) {
  constexpr double Infinity = std::numeric_limits<double>::infinity();
  double LeastTime = Infinity;
  double LeastLocalTime = Infinity;
  for (std::size_t Index = 0; Index < Times.size(); ++Index) {
    LeastTime = std::min(LeastTime, Times[Index].m_Time);
    if (AreLocal[Index])
      LeastLocalTime = std::min(LeastLocalTime, Times[Index].m_Time);
  }
  for (std::size_t Index = 0; Index < Times.size(); ++Index) {
    routing::TimedCandidate &Target = Times[Index];
    if (!AreLocal[Index] && LeastLocalTime < Infinity &&
        Target.m_Time >= LeastLocalTime)
      Target.m_Time = Infinity;
    else if (Target.m_Time - LeastTime < TieRequests * Target.m_TimePerRequest)
      Target.m_Time = LeastTime;
  }
}

} // namespace

EndpointChooser::EndpointChooser(ZoneId LocalZone, std::uint64_t Seed)
    : m_LocalZone(std::move(LocalZone)), m_Random(Seed),
      m_Loads(LoadMeanTimeConstant) {}

void EndpointChooser::onReport(const EndpointId &Id, std::int64_t Requests,
                               Instant Now) {
  m_Loads.onReport(Id, Requests, Duration::zero(), Now);
  m_Full.erase(Id);
}

void EndpointChooser::onRejected(const Endpoint &Rejecting,
                                 std::optional<std::int64_t> Requests,
                                 Instant Now) {
  const double Slots = slotsOf(Rejecting);
  FullState &Full = m_Full[Rejecting.id()];
  Full.m_Load = Requests && static_cast<double>(*Requests) >= Slots
                    ? static_cast<double>(*Requests)
                    : Slots * (1 + QueuePerSlot);
  Full.m_Since = Now;
  const double ServiceSeconds = std::clamp(
      m_Loads.meanServiceSeconds(), MinServiceSeconds, MaxServiceSeconds);
  // Hosts that were rejected at the same time do not return at the same time.
  std::uniform_real_distribution<double> Fraction(0.5, 1);
  Full.m_EndsPerSecond =
      Fraction(m_Random) * Slots / ((1 + BatchTime) * ServiceSeconds) /
      (1 << std::min(Full.m_Rejections, MaxRejectionDoublings));
  ++Full.m_Rejections;
}

double EndpointChooser::fullLoad(const EndpointId &Id, Instant Now) const {
  const auto Found = m_Full.find(Id);
  if (Found == m_Full.end())
    return 0;
  const FullState &Full = Found->second;
  return std::max(0.0, Full.m_Load - Full.m_EndsPerSecond *
                                         toSeconds(Now - Full.m_Since));
}

double EndpointChooser::estimatedLoad(const EndpointId &Id, Instant Now) const {
  return std::max(m_Loads.estimate(Id, Now), fullLoad(Id, Now));
}

double EndpointChooser::penalty(const Endpoint &Target,
                                double LowestFailureRate,
                                Duration LowestLatency) const {
  const double FailureRate = m_Health.failureRate(Target.id());
  double Time = FailurePenalty * std::max(0.0, FailureRate - LowestFailureRate -
                                                   FailureTolerance);
  // Where endpoints report how long work takes, the speed covers the latency.
  if (LowestLatency > Duration::zero() && !m_Speeds.hasReports(Target.id())) {
    const double LatencyRatio =
        toSeconds(m_Health.latency(Target.id()) + LatencyOffset) /
        toSeconds(LowestLatency + LatencyOffset);
    Time += std::clamp(LatencyPenalty * (LatencyRatio - LatencyToleranceFactor),
                       0.0, MaxLatencyPenalty);
  }
  return Time;
}

void EndpointChooser::estimateLoads(std::span<Candidate> List,
                                    Instant Now) const {
  const auto Freshness = [&](const Candidate &Target) {
    const auto Age = m_Loads.reportAge(Target.m_Endpoint->id(), Now);
    return Age ? std::exp(-std::max(0.0, toSeconds(*Age)) / LoadFadeSeconds)
               : 0.0;
  };
  // Of the endpoints of the local zone, and of the others: a busy zone says
  // nothing of zones from which no reports come.
  struct Average {
    double m_Weights = 0;
    double m_Sum = 0;
    double value() const { return m_Weights > 0 ? m_Sum / m_Weights : 0; }
  };
  Average OfLocal;
  Average OfOthers;
  const auto IsLocal = [this](const Candidate &Target) {
    return Target.m_Endpoint->m_Registration.m_Zone == m_LocalZone;
  };
  for (Candidate &Target : List) {
    Target.m_Slots = slotsOf(*Target.m_Endpoint);
    Target.m_OtherHosts = m_Loads.otherRouters(Target.m_Endpoint->id(), Now);
    const double Weight = Freshness(Target);
    Average &Utilization = IsLocal(Target) ? OfLocal : OfOthers;
    Utilization.m_Weights += Weight;
    Utilization.m_Sum += Weight * Target.m_OtherHosts / Target.m_Slots;
  }
  const Average OfAll{OfLocal.m_Weights + OfOthers.m_Weights,
                      OfLocal.m_Sum + OfOthers.m_Sum};
  for (Candidate &Target : List) {
    const EndpointId &Id = Target.m_Endpoint->id();
    const double Own = m_Loads.estimate(Id, Now) - Target.m_OtherHosts;
    const double OfZone = (IsLocal(Target) ? OfLocal : OfOthers).value();
    const double Usual = std::min(OfZone, OfAll.value()) * Target.m_Slots;
    Target.m_OtherHosts =
        Usual + (Target.m_OtherHosts - Usual) * Freshness(Target);
    Target.m_Load = std::max(Own + Target.m_OtherHosts, fullLoad(Id, Now));
  }
}

void EndpointChooser::estimateTime(Candidate &Target,
                                   const ChoiceContext &Context, double Penalty,
                                   Instant Now) const {
  const double Queued = std::max(0.0, Target.m_Load - Target.m_Slots);
  const double InBatch = Target.m_Load - Queued;
  // A slot becomes free each time a request of a full batch ends.
  Target.m_LoadFactor =
      1 + (BatchTime * InBatch + (1 + BatchTime) * Queued) / Target.m_Slots;
  const double PrefixTime = std::min(
      MaxPrefixTime, TimePerToken / Target.m_Slots *
                         static_cast<double>(Context.m_AffinityTokens));
  const double OwnPromptTime =
      TimePerToken / Target.m_Slots *
      static_cast<double>(std::max<std::int64_t>(
          0, Context.m_PromptTokens - Context.m_AffinityTokens));
  const bool IsCached = Context.m_AffinityEndpoint == Target.m_Endpoint->id();
  const double PromptTime = OwnPromptTime + (IsCached ? 0 : PrefixTime);
  Target.m_Slowness = m_Speeds.slowness(Target.m_Endpoint->id(), Now);
  Target.m_Timed.m_Time =
      Target.m_Slowness * (Target.m_LoadFactor + PromptTime) + Penalty;
  if (Target.m_Endpoint->m_Registration.m_Zone != m_LocalZone)
    Target.m_Timed.m_Time += CrossZoneTime;
  Target.m_Timed.m_TimePerRequest = Target.m_Slowness *
                                    (Queued > 0 ? 1 + BatchTime : BatchTime) /
                                    Target.m_Slots;
}

void EndpointChooser::addPenalties(std::span<Candidate> List,
                                   const ChoiceContext &Context,
                                   Instant Now) const {
  double LowestFailureRate = 1;
  Duration LowestLatency{0};
  for (const Candidate &Target : List) {
    const EndpointId &Id = Target.m_Endpoint->id();
    LowestFailureRate = std::min(LowestFailureRate, m_Health.failureRate(Id));
    const Duration Latency = m_Health.latency(Id);
    if (Latency > Duration::zero() &&
        (LowestLatency == Duration::zero() || Latency < LowestLatency))
      LowestLatency = Latency;
  }
  for (Candidate &Target : List) {
    const EndpointId &Id = Target.m_Endpoint->id();
    const double Penalty =
        penalty(*Target.m_Endpoint, LowestFailureRate, LowestLatency);
    // An endpoint that is never chosen would never get another chance.
    Target.m_IsTrial =
        Penalty > 0 && (m_Health.isUnconfirmed(Id, Now) ||
                        (Now >= m_NextTrialAt && m_Health.isOutdated(Id, Now)));
    estimateTime(Target, Context, Target.m_IsTrial ? 0 : Penalty, Now);
  }
}

std::optional<EndpointId>
EndpointChooser::pick(std::span<const Endpoint *const> Eligible,
                      const ChoiceContext &Context, Instant Now) {
  if (Eligible.empty())
    return std::nullopt;
  std::vector<Candidate> List(Eligible.size());
  for (std::size_t Index = 0; Index < List.size(); ++Index)
    List[Index].m_Endpoint = Eligible[Index];
  estimateLoads(List, Now);
  addPenalties(List, Context, Now);
  std::vector<routing::TimedCandidate> Times;
  Times.reserve(List.size());
  std::vector<bool> AreLocal;
  AreLocal.reserve(List.size());
  double Requests = TieRequests;
  for (const Candidate &Target : List) {
    Times.push_back(Target.m_Timed);
    AreLocal.push_back(Target.m_Endpoint->m_Registration.m_Zone == m_LocalZone);
    Requests += ReportDelay * Target.m_OtherHosts;
  }
  prepareTimes(Times, AreLocal);
  const auto Chosen = routing::pickInProportion(
      routing::spreadRequests(Times, Requests), m_Random);
  if (!Chosen)
    return std::nullopt;
  const EndpointId &Id = List[*Chosen].m_Endpoint->id();
  if (List[*Chosen].m_IsTrial) {
    // The check of a first answer happens once for each endpoint and needs no
    // limit.
    if (!m_Health.isUnconfirmed(Id, Now))
      m_NextTrialAt = Now + TrialInterval;
    m_Health.onTrial(Id, Now);
  }
  recordChoice(List, *Chosen, Context, Now);
  return Id;
}

void EndpointChooser::recordChoice(std::span<const Candidate> List,
                                   std::size_t Chosen,
                                   const ChoiceContext &Context, Instant Now) {
  const Candidate &Best = List[Chosen];
  const double ServiceSeconds = m_Loads.meanServiceSeconds();
  Choice Made;
  Made.m_Endpoint = Best.m_Endpoint->id();
  Made.m_Load = Best.m_Load;
  Made.m_Slowness = Best.m_Slowness;
  Made.m_SlownessAge = m_Speeds.reportAge(Made.m_Endpoint, Now);
  Made.m_ExpectedTime = fromSeconds(Best.m_Timed.m_Time * ServiceSeconds);
  const bool IsCached = Context.m_AffinityEndpoint == Made.m_Endpoint;
  const std::int64_t UncachedTokens =
      std::max(Context.m_PromptTokens, Context.m_AffinityTokens) -
      (IsCached ? Context.m_AffinityTokens : 0);
  Made.m_Work = {std::string(Context.m_Kind),
                 1 + static_cast<double>(UncachedTokens) / TokensOfLeastWork,
                 Best.m_LoadFactor};
  Made.m_ExpectedFirstByte =
      m_Speeds.expectedFirstByte(Made.m_Endpoint, Made.m_Work, Now);
  const Candidate *RunnerUp = nullptr;
  for (const Candidate &Target : List)
    if (&Target != &Best &&
        (!RunnerUp || Target.m_Timed.m_Time < RunnerUp->m_Timed.m_Time))
      RunnerUp = &Target;
  if (RunnerUp) {
    Made.m_RunnerUp = RunnerUp->m_Endpoint->id();
    Made.m_RunnerUpTime =
        fromSeconds(RunnerUp->m_Timed.m_Time * ServiceSeconds);
  }
  m_LastChoice = std::move(Made);
}

std::optional<EndpointId>
EndpointChooser::choose(std::span<const Endpoint *const> Candidates,
                        const ChoiceContext &Context, Instant Now) {
  std::vector<const Endpoint *> Untried;
  std::vector<const Endpoint *> Eligible;
  for (const Endpoint *Target : Candidates) {
    if (wasTried(*Target, Context))
      continue;
    Untried.push_back(Target);
    if (!m_Health.isSuspended(Target->id(), Now))
      Eligible.push_back(Target);
  }
  return pick(Eligible.empty() ? Untried : Eligible, Context, Now);
}

void EndpointChooser::forget(const EndpointId &Id) {
  m_Loads.forget(Id);
  m_Health.forget(Id);
  m_Full.erase(Id);
  m_Speeds.forget(Id);
}

} // namespace sff::serving
