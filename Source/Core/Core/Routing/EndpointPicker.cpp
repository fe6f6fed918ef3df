#include "Core/Routing/EndpointPicker.h"

#include <algorithm>

namespace sff::routing {
namespace {

/// Changes kept while an endpoint sends no reports; older ones are folded
/// into the reported number.
constexpr std::size_t MaxChanges = 1024;

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
  if (MadeAt < Known.m_ReportMadeAt)
    return;
  Known.m_Reported = RunningRequests;
  Known.m_ReportMadeAt = MadeAt;
  std::erase_if(Known.m_Changes,
                [&](const auto &Change) { return Change.first <= MadeAt; });
}

void LoadView::onDispatched(const EndpointId &Endpoint, Instant Now) {
  Entry &Known = m_Entries[Endpoint];
  ++Known.m_OwnRunning;
  addChange(Known, Now, 1);
}

void LoadView::onFinished(const EndpointId &Endpoint, Instant Now) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end() || Found->second.m_OwnRunning == 0)
    return;
  --Found->second.m_OwnRunning;
  addChange(Found->second, Now, -1);
}

void LoadView::addChange(Entry &Known, Instant Now, int Delta) {
  Known.m_Changes.emplace_back(Now, Delta);
  if (Known.m_Changes.size() <= MaxChanges)
    return;
  const auto End = Known.m_Changes.begin() + MaxChanges / 2;
  for (auto Change = Known.m_Changes.begin(); Change != End; ++Change)
    Known.m_Reported += Change->second;
  Known.m_Changes.erase(Known.m_Changes.begin(), End);
}

double LoadView::estimate(const EndpointId &Endpoint, Instant Now) const {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return 0;
  const Entry &Known = Found->second;
  std::int64_t Running = Known.m_Reported;
  for (const auto &[Time, Delta] : Known.m_Changes)
    Running += Time <= Now ? Delta : 0;
  return static_cast<double>(std::max(Running, Known.m_OwnRunning));
}

void LoadView::forget(const EndpointId &Endpoint) { m_Entries.erase(Endpoint); }

std::optional<std::size_t> pickEndpoint(std::span<const PickCandidate> List,
                                        const PickWeights &Weights,
                                        std::mt19937_64 &Random) {
  if (List.empty())
    return std::nullopt;
  if (List.size() == 1)
    return 0;
  const std::size_t First = Random() % List.size();
  const std::size_t Step = 1 + Random() % (List.size() - 1);
  const std::size_t Second = (First + Step) % List.size();
  return score(List[Second], Weights) < score(List[First], Weights) ? Second
                                                                    : First;
}

} // namespace sff::routing
