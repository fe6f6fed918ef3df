#include "Core/Loading/LoadScheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace sff::loading {
namespace {

constexpr Instant Start{std::chrono::hours(1)};

LoadDemand genDemand() {
  LoadDemand Demand;
  Demand.m_Endpoint = EndpointId("e" + std::to_string(*rc::gen::inRange(0, 4)));
  Demand.m_Entry = EntryName("m" + std::to_string(*rc::gen::inRange(0, 8)));
  Demand.m_Waiting = *rc::gen::inRange(0, 6);
  Demand.m_Class = *rc::gen::element(catalogue::TrafficClass::Interactive,
                                     catalogue::TrafficClass::Batch);
  Demand.m_Deadline = Start + milliseconds(*rc::gen::inRange(-3000, 60000));
  Demand.m_LoadSeconds = *rc::gen::inRange(0, 20) * 0.5;
  return Demand;
}

/// Loss per second of loading: the weighted number of waiting requests,
/// multiplied by up to five as their slack is used up.
double referenceValue(const LoadDemand &Demand, Instant Now) {
  const double Load = std::max(Demand.m_LoadSeconds, 0.05);
  const double Left =
      std::chrono::duration<double>(Demand.m_Deadline - Now).count();
  if (Left < Load)
    return 0;
  const bool Batch = Demand.m_Class == catalogue::TrafficClass::Batch;
  const double Loss = static_cast<double>(Demand.m_Waiting) * (Batch ? 1 : 3);
  return Loss * (1 + 4 * std::exp((Load - Left) / (2 * Load))) / Load;
}

// Guards against an order that depends on how the demands arrived. After
// shuffled, repeated and late updates and removals, only the latest demand of
// each replica counts, and each position matches the reference.
RC_GTEST_PROP(LoadingProperties, OrderDependsOnlyOnTheLatestDemands, ()) {
  LoadScheduler Scheduler;
  std::vector<LoadDemand> Reference;
  const auto Erase = [&](const LoadDemand &Demand) {
    std::erase_if(Reference, [&](const auto &Other) {
      return Other.m_Endpoint == Demand.m_Endpoint &&
             Other.m_Entry == Demand.m_Entry;
    });
  };
  const int Steps = *rc::gen::inRange(0, 40);
  for (int Step = 0; Step < Steps; ++Step) {
    const LoadDemand Demand = genDemand();
    Erase(Demand);
    if (*rc::gen::inRange(0, 4) == 0) {
      Scheduler.remove(Demand.m_Endpoint, Demand.m_Entry);
      Scheduler.remove(Demand.m_Endpoint, Demand.m_Entry);
      continue;
    }
    Scheduler.update(Demand);
    Scheduler.update(Demand);
    Reference.push_back(Demand);
  }
  const Instant Now = Start + milliseconds(*rc::gen::inRange(0, 30000));
  const auto Order = Scheduler.ordered(Now);
  RC_ASSERT(Order.size() == Reference.size());
  for (const LoadDemand &Chosen : Order) {
    double Best = 0;
    for (const LoadDemand &Demand : Reference)
      Best = std::max(Best, referenceValue(Demand, Now));
    RC_ASSERT(std::abs(referenceValue(Chosen, Now) - Best) <= 1e-9 * Best);
    Erase(Chosen);
  }
}

// Guards against an order that depends on endpoint names: the same demands at
// other endpoints must be loaded in the same order.
RC_GTEST_PROP(LoadingProperties, OrderDoesNotDependOnPlacement, ()) {
  auto Demands =
      *rc::gen::container<std::vector<LoadDemand>>(rc::gen::exec(genDemand));
  int Count = 0;
  for (LoadDemand &Demand : Demands)
    Demand.m_Entry = EntryName("m" + std::to_string(++Count));
  std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
  const auto MakeOrder = [&](std::vector<LoadDemand> List,
                             bool ChangeEndpoints) {
    LoadScheduler Scheduler;
    std::shuffle(List.begin(), List.end(), Random);
    for (LoadDemand &Demand : List) {
      if (ChangeEndpoints)
        Demand.m_Endpoint = EndpointId(std::to_string(Random() % 5));
      Scheduler.update(Demand);
    }
    std::vector<EntryName> Names;
    for (const LoadDemand &Demand : Scheduler.ordered(Start))
      Names.push_back(Demand.m_Entry);
    return Names;
  };
  RC_ASSERT(MakeOrder(Demands, false) == MakeOrder(Demands, true));
}

// Guards against permits that exceed the rate or the parallel limit, regardless
// of when and how often controllers ask.
RC_GTEST_PROP(LoadingProperties, PermitsRespectTheLimitsInEveryWindow, ()) {
  const double Rate = *rc::gen::element(2.5, 10.0);
  LoadPermits Permits(Rate, 4, 0);
  std::vector<double> Starts;
  double Now = 0;
  const int Steps = *rc::gen::inRange(0, 100);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += *rc::gen::inRange(0, 5) * 0.091;
    const auto Window =
        std::count_if(Starts.begin(), Starts.end(), [&](double Time) {
          return Now - Time < 4 / Rate - 1e-6;
        });
    const auto Wait =
        Permits.tryAcquire(Start + milliseconds(std::llround(Now * 1000)));
    RC_ASSERT((Wait.count() == 0) == (Window < 4));
    if (Wait.count() == 0)
      Starts.push_back(Now);
  }
}

} // namespace
} // namespace sff::loading
