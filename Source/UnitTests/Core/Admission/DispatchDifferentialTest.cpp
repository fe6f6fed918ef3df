#include "Admission/DispatchSimulation.h"

#include <gtest/gtest.h>

#include <random>

namespace sff::admission {
namespace {

/// Callers of three priorities at between half and two and a half times the
/// capacity, with bursts, some with long prompts.
std::vector<SimulatedCaller> randomCallers(std::mt19937_64 &Random, int Slots) {
  std::uniform_real_distribution<double> Uniform(0, 1);
  const double PerSecond = (0.5 + 2 * Uniform(Random)) * Slots * 3;
  std::exponential_distribution<double> Gap(PerSecond);
  const double Burst = 3 * Uniform(Random);
  std::vector<SimulatedCaller> Result;
  for (double At = 0; At < 6; At += Gap(Random)) {
    SimulatedCaller Caller;
    Caller.m_Arrival = toMilliseconds(fromSeconds(At));
    const double Kind = Uniform(Random);
    const bool InBurst = At > 2 && At < 2 + Burst;
    if (Kind < (InBurst ? 0.5 : 0.25)) {
      Caller.m_Rank = 2;
      Caller.m_Target = milliseconds(4000);
      Caller.m_Patience = milliseconds(13000);
      Caller.m_Work = 400;
    } else if (Kind < 0.55) {
      Caller.m_Rank = 1;
      Caller.m_Target = milliseconds(600);
      Caller.m_Work = Uniform(Random) < 0.2 ? 1500 : 300;
    }
    Result.push_back(Caller);
  }
  return Result;
}

// Guards against an order of the queue that costs callers more than to serve
// them first come, first served.
TEST(DispatchDifferentialTest, CostsCallersNoMoreThanFirstCome) {
  double Sum = 0;
  double SumOfFirstCome = 0;
  for (std::uint64_t Seed = 1; Seed <= 1000; ++Seed) {
    std::mt19937_64 Random(Seed);
    const SimulatedService Service{.m_Endpoints =
                                       static_cast<int>(1 + Seed % 3),
                                   .m_Slots = Seed % 2 == 0 ? 6 : 8};
    const auto Callers =
        randomCallers(Random, Service.m_Endpoints * Service.m_Slots);
    const double Cost =
        totalCost(simulate(Service, Callers, SimulatedQueue::Dispatch));
    const double FirstCome =
        totalCost(simulate(Service, Callers, SimulatedQueue::FirstCome));
    EXPECT_LE(Cost, FirstCome) << "seed " << Seed;
    Sum += Cost;
    SumOfFirstCome += FirstCome;
  }
  RecordProperty("cost", std::to_string(Sum));
  RecordProperty("cost_of_first_come", std::to_string(SumOfFirstCome));
  // 0.17 was measured.
  EXPECT_LT(Sum, 0.2 * SumOfFirstCome);
}

} // namespace
} // namespace sff::admission
