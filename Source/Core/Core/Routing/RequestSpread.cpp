#include "Core/Routing/RequestSpread.h"

#include <algorithm>
#include <numeric>

namespace sff::routing {

std::vector<double> spreadRequests(std::span<const TimedCandidate> List,
                                   double Requests) {
  std::vector<std::size_t> Order(List.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::sort(Order, {},
                    [List](std::size_t Index) { return List[Index].m_Time; });
  // Requests that the candidates so far take for each unit of time, and the
  // common time to which they rise.
  double Rate = 0;
  double WeightedTime = 0;
  double CommonTime = 0;
  for (std::size_t Position = 0; Position < Order.size(); ++Position) {
    const TimedCandidate &Candidate = List[Order[Position]];
    if (Position > 0 && Candidate.m_Time >= CommonTime)
      break;
    Rate += 1 / Candidate.m_TimePerRequest;
    WeightedTime += Candidate.m_Time / Candidate.m_TimePerRequest;
    CommonTime = (Requests + WeightedTime) / Rate;
  }
  std::vector<double> Result;
  Result.reserve(List.size());
  for (const TimedCandidate &Candidate : List)
    Result.push_back(std::max(0.0, CommonTime - Candidate.m_Time) /
                     Candidate.m_TimePerRequest);
  return Result;
}

std::optional<std::size_t> pickInProportion(std::span<const double> Weights,
                                            std::mt19937_64 &Random) {
  if (Weights.empty())
    return std::nullopt;
  const double Sum = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  double Point = std::uniform_real_distribution<double>(0, 1)(Random) * Sum;
  std::size_t Last = 0;
  for (std::size_t Index = 0; Index < Weights.size(); ++Index) {
    if (Weights[Index] <= 0)
      continue;
    Last = Index;
    Point -= Weights[Index];
    if (Point < 0)
      break;
  }
  return Last;
}

} // namespace sff::routing
