#include "Core/Routing/EndpointPicker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sff::routing {
namespace {

using Seconds = std::chrono::duration<double>;

/// Changes kept while an endpoint sends no reports. Dropping older ones only
/// matters for a report that is older than all of them.
constexpr std::size_t MaxChanges = 1024;
/// Weight of the latest report in the mean load of other routers.
constexpr double ReportWeight = 0.1;
/// Share of the evidence on service times that stays after each request.
constexpr double ServiceEvidenceKept = 0.99;
/// Assumed until a request has ended.
constexpr double DefaultServiceSeconds = 1;

/// Two scores that differ by less, in requests, count as equal.
constexpr double SmallestGap = 0.25;
/// How much faster than its requests end a report loses its worth: the other
/// routers read the same report and level out the difference that it shows.
constexpr double BeliefDecay = 3;

double score(const PickCandidate &Candidate, const PickWeights &Weights) {
  return Candidate.m_Load -
         Weights.m_LoadPerPrefixToken *
             static_cast<double>(Candidate.m_PrefixTokens) -
         (Candidate.m_HasCredit ? Weights.m_LoadPerCredit : 0);
}

} // namespace

void LoadView::onReport(const EndpointId &Endpoint,
                        std::int64_t RunningRequests, Duration Lag,
                        Instant Now) {
  Entry &Known = m_Entries[Endpoint];
  const Instant MadeAt = Now - Lag;
  if (Known.m_HasReport && MadeAt < Known.m_ReportMadeAt)
    return;
  while (!Known.m_Changes.empty() && Known.m_Changes.front().first <= MadeAt)
    Known.m_Changes.pop_front();
  std::int64_t OwnThen = Known.m_OwnRunning;
  for (const auto &[Time, Delta] : Known.m_Changes)
    OwnThen -= Delta;
  Known.m_Others =
      static_cast<double>(std::max<std::int64_t>(0, RunningRequests - OwnThen));
  Known.m_OthersMean =
      Known.m_HasReport
          ? Known.m_OthersMean +
                ReportWeight * (Known.m_Others - Known.m_OthersMean)
          : Known.m_Others;
  Known.m_ReportMadeAt = MadeAt;
  Known.m_HasReport = true;
}

void LoadView::onDispatched(const EndpointId &Endpoint, Instant Now) {
  addChange(m_Entries[Endpoint], Now, 1);
}

void LoadView::onFinished(const EndpointId &Endpoint, Instant Now) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end() || Found->second.m_OwnRunning == 0)
    return;
  addChange(Found->second, Now, -1);
  m_OwnFinished = m_OwnFinished * ServiceEvidenceKept + 1;
  m_OwnBusySeconds *= ServiceEvidenceKept;
}

void LoadView::addChange(Entry &Known, Instant Now, int Delta) {
  if (Known.m_OwnRunning > 0)
    m_OwnBusySeconds += static_cast<double>(Known.m_OwnRunning) *
                        Seconds(Now - Known.m_OwnSince).count();
  Known.m_OwnSince = Now;
  Known.m_OwnRunning += Delta;
  Known.m_Changes.emplace_back(Now, Delta);
  if (Known.m_Changes.size() > MaxChanges)
    Known.m_Changes.pop_front();
}

/// By Little's law, from the time that own requests ran and their ends.
double LoadView::meanServiceSeconds() const {
  return m_OwnFinished < 1 || m_OwnBusySeconds <= 0
             ? DefaultServiceSeconds
             : m_OwnBusySeconds / m_OwnFinished;
}

double LoadView::estimate(const EndpointId &Endpoint, Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return 0;
  const Entry &Known = Found->second;
  const double Age = Seconds(Now - Known.m_ReportMadeAt).count();
  const double Belief =
      std::exp(-BeliefDecay * std::max(0.0, Age) / meanServiceSeconds());
  return static_cast<double>(Known.m_OwnRunning) + Known.m_OthersMean +
         (Known.m_Others - Known.m_OthersMean) * Belief;
}

void LoadView::forget(const EndpointId &Endpoint) { m_Entries.erase(Endpoint); }

std::optional<std::size_t> pickEndpoint(std::span<const PickCandidate> List,
                                        const PickWeights &Weights,
                                        std::mt19937_64 &Random) {
  if (List.empty())
    return std::nullopt;
  if (List.size() == 1)
    return 0;
  // Candidates start at a random place, so that equal scores are chosen
  // equally often.
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
  return Gap < SmallestGap && Random() % 2 == 0 ? Second : Best;
}

} // namespace sff::routing
