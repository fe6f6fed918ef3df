#include "Core/Routing/EndpointPicker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sff::routing {
namespace {

using Seconds = std::chrono::duration<double>;

/// Limit on the changes recorded while an endpoint sends no reports. Discarding
/// older ones only affects a report that is older than all recorded ones.
constexpr std::size_t MaxRecordedChanges = 1024;
/// Weight of the latest report in the moving average of other routers' load.
constexpr double ReportSmoothingFactor = 0.1;
/// Factor by which the service time statistics decay with each request.
constexpr double ServiceTimeDecay = 0.99;
/// Mean service time assumed until the first request has finished.
constexpr double DefaultServiceSeconds = 1;

/// Scores that differ by less than this many requests are considered equal.
constexpr double ScoreTieMargin = 0.25;
/// Rate at which the confidence in a report decays, per mean service time. It
/// decays faster than requests finish, because the other routers read the same
/// report and balance out the difference that it shows.
constexpr double ReportDecayRate = 3;

double score(const PickCandidate &Candidate, const ScoreWeights &Weights) {
  return Candidate.m_Load -
         Weights.m_LoadPerPrefixToken *
             static_cast<double>(Candidate.m_PrefixTokens) -
         (Candidate.m_HasCredit ? Weights.m_LoadPerCredit : 0);
}

} // namespace

void LoadEstimator::onReport(const EndpointId &Endpoint,
                             std::int64_t RunningRequests, Duration Lag,
                             Instant Now) {
  Entry &State = m_Entries[Endpoint];
  const Instant ReportMadeAt = Now - Lag;
  if (State.m_HasReport && ReportMadeAt < State.m_ReportMadeAt)
    return;
  while (!State.m_Changes.empty() &&
         State.m_Changes.front().first <= ReportMadeAt)
    State.m_Changes.pop_front();
  std::int64_t OwnAtReport = State.m_OwnRunning;
  for (const auto &[Time, Delta] : State.m_Changes)
    OwnAtReport -= Delta;
  State.m_OtherRouters = static_cast<double>(
      std::max<std::int64_t>(0, RunningRequests - OwnAtReport));
  State.m_OtherRoutersMean =
      State.m_HasReport
          ? State.m_OtherRoutersMean +
                weightOfReport(ReportMadeAt - State.m_ReportMadeAt) *
                    (State.m_OtherRouters - State.m_OtherRoutersMean)
          : State.m_OtherRouters;
  State.m_ReportMadeAt = ReportMadeAt;
  State.m_HasReport = true;
}

void LoadEstimator::onDispatched(const EndpointId &Endpoint, Instant Now) {
  addChange(m_Entries[Endpoint], Now, 1);
}

void LoadEstimator::onFinished(const EndpointId &Endpoint, Instant Now) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end() || Found->second.m_OwnRunning == 0)
    return;
  addChange(Found->second, Now, -1);
  m_OwnFinished = m_OwnFinished * ServiceTimeDecay + 1;
  m_OwnBusySeconds *= ServiceTimeDecay;
}

void LoadEstimator::onNotRun(const EndpointId &Endpoint, Instant Now) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found != m_Entries.end() && Found->second.m_OwnRunning > 0)
    addChange(Found->second, Now, -1);
}

void LoadEstimator::addChange(Entry &State, Instant Now, int Delta) {
  if (State.m_OwnRunning > 0)
    m_OwnBusySeconds += static_cast<double>(State.m_OwnRunning) *
                        Seconds(Now - State.m_OwnRunningSince).count();
  State.m_OwnRunningSince = Now;
  State.m_OwnRunning += Delta;
  State.m_Changes.emplace_back(Now, Delta);
  if (State.m_Changes.size() > MaxRecordedChanges)
    State.m_Changes.pop_front();
}

/// By Little's law, from the total running time and the number of this router's
/// finished requests.
double LoadEstimator::meanServiceSeconds() const {
  return m_OwnFinished < 1 || m_OwnBusySeconds <= 0
             ? DefaultServiceSeconds
             : m_OwnBusySeconds / m_OwnFinished;
}

double LoadEstimator::weightOfReport(Duration Elapsed) const {
  if (!m_MeanTimeConstant)
    return ReportSmoothingFactor;
  return std::max(
      ReportSmoothingFactor,
      1 - std::exp(-toSeconds(Elapsed) / toSeconds(*m_MeanTimeConstant)));
}

double LoadEstimator::otherRouters(const Entry &State, Instant Now) const {
  const double Age = Seconds(Now - State.m_ReportMadeAt).count();
  const double ReportConfidence =
      std::exp(-ReportDecayRate * std::max(0.0, Age) / meanServiceSeconds());
  return State.m_OtherRoutersMean +
         (State.m_OtherRouters - State.m_OtherRoutersMean) * ReportConfidence;
}

double LoadEstimator::otherRouters(const EndpointId &Endpoint,
                                   Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? 0 : otherRouters(Found->second, Now);
}

double LoadEstimator::estimate(const EndpointId &Endpoint, Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return 0;
  return static_cast<double>(Found->second.m_OwnRunning) +
         otherRouters(Found->second, Now);
}

std::optional<Duration> LoadEstimator::reportAge(const EndpointId &Endpoint,
                                                 Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end() || !Found->second.m_HasReport)
    return std::nullopt;
  return Now - Found->second.m_ReportMadeAt;
}

void LoadEstimator::forget(const EndpointId &Endpoint) {
  m_Entries.erase(Endpoint);
}

std::optional<std::size_t> pickEndpoint(std::span<const PickCandidate> List,
                                        const ScoreWeights &Weights,
                                        std::mt19937_64 &Random) {
  if (List.empty())
    return std::nullopt;
  if (List.size() == 1)
    return 0;
  // Start at a random candidate, so that equal scores are chosen equally often.
  const std::size_t Start = Random() % List.size();
  std::size_t Best = Start;
  std::size_t Second = (Start + 1) % List.size();
  if (score(List[Second], Weights) < score(List[Best], Weights))
    std::swap(Best, Second);
  for (std::size_t Step = 2; Step < List.size(); ++Step) {
    const std::size_t Index = (Start + Step) % List.size();
    const double Score = score(List[Index], Weights);
    if (Score < score(List[Best], Weights))
      Second = std::exchange(Best, Index);
    else if (Score < score(List[Second], Weights))
      Second = Index;
  }
  const double Gap = score(List[Second], Weights) - score(List[Best], Weights);
  return Gap < ScoreTieMargin && Random() % 2 == 0 ? Second : Best;
}

} // namespace sff::routing
