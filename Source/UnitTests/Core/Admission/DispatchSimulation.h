#pragma once

#include "Core/Admission/DispatchQueue.h"

#include <array>
#include <vector>

namespace sff::admission {

/// A caller of the simulation.
struct SimulatedCaller {
  milliseconds m_Arrival{0};
  std::int64_t m_Rank = 0;
  milliseconds m_Target{400};
  milliseconds m_Patience{4000}; ///< Until its deadline.
  /// How long it waits for the beginning of one answer.
  milliseconds m_AnswerPatience{1000000};
  double m_Work = 200; ///< Milliseconds of a slot.
  milliseconds m_LeavesAfter{1000000};
  std::vector<EndpointId> m_Candidates = {}; ///< All if empty.
};

/// What became of a caller.
struct CallerResult {
  bool m_IsServed = false;
  bool m_IsOnTime = false;
  bool m_IsRejected = false;
  bool m_HasReturned = false;
  milliseconds m_Wait{0};
  double m_Cost = 0; ///< 0 if served on time; the priority's weight if lost.
};

enum class SimulatedQueue { Dispatch, FirstCome };

struct SimulatedService {
  int m_Endpoints = 1;
  int m_Slots = 16;
  /// From this time on, only half of the endpoints are there.
  milliseconds m_HalvedAt{1000000};
};

EndpointId endpointName(int Number);
std::vector<CallerResult> simulate(const SimulatedService &Service,
                                   std::vector<SimulatedCaller> Callers,
                                   SimulatedQueue Kind);
double totalCost(const std::vector<CallerResult> &Results);

} // namespace sff::admission
