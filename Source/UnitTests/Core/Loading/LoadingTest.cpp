#include "Core/Loading/EvictionPolicy.h"
#include "Core/Loading/LoadScheduler.h"

#include <gtest/gtest.h>

namespace sff::loading {
namespace {

using catalogue::TrafficClass;
using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};

LoadedReplica makeReplica(const char *Entry, std::int64_t Bytes = 1) {
  LoadedReplica Replica;
  Replica.m_Entry = EntryName(Entry);
  Replica.m_Bytes = Bytes;
  Replica.m_ReloadSeconds = 5;
  return Replica;
}

// Guards against a policy that allows the same idle time for every entry.
TEST(EvictionPolicyTest, FrequentlyUsedEntryIsKeptLonger) {
  EvictionPolicy Policy({20, 3});
  for (int Round = 0; Round < 20; ++Round)
    Policy.onRequest(EntryName("often"), Start + Round * seconds(30));
  for (int Round = 0; Round < 20; ++Round)
    Policy.onRequest(EntryName("rare"), Start + Round * seconds(36000));
  const Instant Last = Start + 19 * seconds(36000);
  Policy.onRequest(EntryName("often"), Last);
  EXPECT_GT(Policy.retentionValue(makeReplica("often"), Last + seconds(20)), 0);
  EXPECT_LE(Policy.retentionValue(makeReplica("rare"), Last + seconds(20)), 0);
}

// Guards against a burst whose short gaps displace the recorded long gap before
// it, so that the replica stays idle for hours after every burst.
TEST(EvictionPolicyTest, BurstDoesNotHideLongIdlePeriods) {
  EvictionPolicy Policy({20, 3});
  Instant Now = Start;
  for (int Burst = 0; Burst < 10; ++Burst, Now += seconds(20000))
    for (int Request = 0; Request < 200; ++Request, Now += seconds(1))
      Policy.onRequest(EntryName("m"), Now);
  const Instant Last = Now - seconds(20001);
  EXPECT_GT(Policy.retentionValue(makeReplica("m"), Last), 0);
  EXPECT_LE(Policy.retentionValue(makeReplica("m"), Last + seconds(300)), 0);
}

// Guards against unloading a replica with running requests, and against
// choosing too few or too many victims.
TEST(EvictionPolicyTest, VictimsAreIdleAndFreeEnoughMemory) {
  EvictionPolicy Policy({20, 3});
  Policy.onRequest(EntryName("a"), Start);
  Policy.onRequest(EntryName("b"), Start);
  auto Busy = makeReplica("c", 100);
  Busy.m_Busy = true;
  const std::vector<LoadedReplica> Loaded{makeReplica("a", 10),
                                          makeReplica("b", 20), Busy};
  EXPECT_TRUE(Policy.chooseVictims(Loaded, 31, Start).empty());
  EXPECT_EQ(Policy.chooseVictims(Loaded, 30, Start).size(), 2u);
  EXPECT_EQ(Policy.chooseVictims(Loaded, 15, Start),
            std::vector<EntryName>{EntryName("b")});
  for (const auto &Entry : Policy.chooseIdle(Loaded, Start + seconds(900000)))
    EXPECT_NE(Entry, EntryName("c"));
}

LoadDemand makeDemand(const char *Entry, std::int64_t Waiting,
                      double LoadSeconds, seconds Deadline) {
  LoadDemand Demand;
  Demand.m_Endpoint = EndpointId("e");
  Demand.m_Entry = EntryName(Entry);
  Demand.m_Waiting = Waiting;
  Demand.m_LoadSeconds = LoadSeconds;
  Demand.m_Deadline = Start + Deadline;
  return Demand;
}

// Guards against loading in order of arrival.
TEST(LoadSchedulerTest, HighestValuePerLoadSecondIsLoadedFirst) {
  LoadScheduler Scheduler;
  EXPECT_FALSE(Scheduler.next(Start));
  auto Interactive = makeDemand("interactive", 2, 4, seconds(60));
  Interactive.m_Class = TrafficClass::Interactive;
  Scheduler.update(makeDemand("missed", 50, 10, seconds(5)));
  Scheduler.update(makeDemand("long", 2, 8, seconds(60)));
  Scheduler.update(makeDemand("short", 2, 4, seconds(60)));
  Scheduler.update(Interactive);
  std::vector<std::string> Order;
  for (const auto &Demand : Scheduler.ordered(Start))
    Order.push_back(Demand.m_Entry.str());
  EXPECT_EQ(Order, (std::vector<std::string>{"interactive", "short", "long",
                                             "missed"}));
  Scheduler.remove(EndpointId("e"), EntryName("interactive"));
  EXPECT_EQ(Scheduler.next(Start)->m_Entry, EntryName("short"));
}

// Guards against more parallel loads than the weight store serves at full
// speed, and against exceeding its rate.
TEST(LoadPermitsTest, LenderRespectsRateAndParallelLimit) {
  LoadPermits Permits(2.5, 4, 0);
  std::vector<Instant> Starts;
  for (Instant Now = Start; Now < Start + seconds(40);) {
    const auto Wait = Permits.tryAcquire(Now);
    if (Wait.count() == 0)
      Starts.push_back(Now);
    Now += std::max(Wait, milliseconds(1));
  }
  EXPECT_NEAR(static_cast<double>(Starts.size()), 100, 4);
  for (std::size_t Index = 4; Index < Starts.size(); ++Index)
    EXPECT_GE(Starts[Index] - Starts[Index - 4], milliseconds(1600));
}

// Guards against controllers that together exceed the reserved share while the
// lender is unreachable.
TEST(LoadPermitsTest, ReservedShareIsDividedAmongControllers) {
  LoadPermits Permits(2.5, 4, 0.2);
  EXPECT_EQ(Permits.tryReserved(5, Start).count(), 0);
  EXPECT_EQ(Permits.tryReserved(5, Start), milliseconds(10000));
  EXPECT_EQ(Permits.tryReserved(5, Start + seconds(10)).count(), 0);
}

} // namespace
} // namespace sff::loading
