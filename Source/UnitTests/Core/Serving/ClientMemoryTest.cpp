#include "Core/Serving/ClientMemory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

namespace sff::serving {
namespace {

using Share = ClientMemory::Share;

constexpr std::size_t Capacity = 1024 * 1024;
constexpr std::size_t Large = Capacity / 4;
constexpr Instant Start = Instant(std::chrono::seconds(1));

std::function<void()> countInto(int &Count) {
  return [&Count] { ++Count; };
}

// Guards against bodies that fill the memory together, and against small
// requests that are kept out by them.
TEST(ClientMemoryTest, LargeSharesLeaveRoomForSmallOnes) {
  ClientMemory Budget(Capacity);
  Share First(Budget, [] {});
  Share Second(Budget, [] {});
  Share Small(Budget, [] {});
  EXPECT_TRUE(First.tryResize(3 * Large));
  EXPECT_FALSE(Second.tryResize(Large));
  EXPECT_EQ(Second.size(), 0U);
  EXPECT_TRUE(Small.tryResize(ClientMemory::SmallBytes));
}

// Guards against limits in deployments that do not name their memory.
TEST(ClientMemoryTest, NoCapacityIsNoLimit) {
  ClientMemory Budget(0);
  Share Only(Budget, [] {});
  EXPECT_TRUE(Only.tryResize(1000 * Capacity));
}

// Guards against clients that keep their memory by sending a byte at a time.
TEST(ClientMemoryTest, FewBytesAreNoProgress) {
  int Evicted = 0;
  ClientMemory Budget(Capacity);
  Share Slow(Budget, countInto(Evicted));
  ASSERT_TRUE(Slow.tryResize(Large));
  Slow.awaitClient(true, Start);
  Slow.onProgress(1, Start + ClientMemory::StallTime);
  EXPECT_EQ(Budget.evictStalled(Start + ClientMemory::StallTime), 1U);
  EXPECT_EQ(Evicted, 1);
}

// Guards against the eviction of clients that make progress, and of requests
// that wait for this host.
TEST(ClientMemoryTest, OnlyStalledClientsAreEvicted) {
  int Evicted = 0;
  ClientMemory Budget(Capacity);
  Share Working(Budget, countInto(Evicted));
  Share Sending(Budget, countInto(Evicted));
  ASSERT_TRUE(Working.tryResize(Large));
  ASSERT_TRUE(Sending.tryResize(Large));
  Working.awaitClient(true, Start);
  Working.awaitClient(false, Start);
  Sending.awaitClient(true, Start);
  const Instant Now = Start + ClientMemory::StallTime;
  Sending.onProgress(ClientMemory::ProgressBytes, Now);
  EXPECT_EQ(Budget.evictStalled(Now), 0U);
  EXPECT_EQ(Evicted, 0);
}

// Guards against the eviction of many clients where a few hold the memory.
TEST(ClientMemoryTest, LargestShareIsEvictedFirst) {
  int EvictedSmall = 0;
  int EvictedLarge = 0;
  ClientMemory Budget(Capacity);
  Share Small(Budget, countInto(EvictedSmall));
  Share Big(Budget, countInto(EvictedLarge));
  ASSERT_TRUE(Small.tryResize(1));
  ASSERT_TRUE(Big.tryResize(Large));
  Small.awaitClient(true, Start);
  Big.awaitClient(true, Start);
  EXPECT_EQ(Budget.evictStalled(Start + ClientMemory::StallTime), 1U);
  EXPECT_EQ(EvictedSmall, 0);
  EXPECT_EQ(EvictedLarge, 1);
}

// Guards against memory beyond the budget, and against a budget that loses or
// gains memory, whatever the connections do.
RC_GTEST_PROP(ClientMemoryProperty, SharesStayWithinTheBudget, ()) {
  ClientMemory Budget(Capacity);
  std::vector<std::unique_ptr<Share>> Shares;
  const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8),
                    rc::gen::inRange(0, static_cast<int>(Capacity))));
  Shares.reserve(8);
  for (int Number = 0; Number < 8; ++Number)
    Shares.push_back(std::make_unique<Share>(Budget, [] {}));
  for (const auto &[Index, Size] : Steps) {
    auto &Chosen = Shares[static_cast<std::size_t>(Index)];
    if (Size % 7 == 0)
      Chosen = std::make_unique<Share>(Budget, [] {});
    Chosen->tryResize(static_cast<std::size_t>(Size));
    std::size_t Sum = 0;
    for (const auto &Each : Shares)
      Sum += Each->size();
    RC_ASSERT(Budget.used() == Sum);
    RC_ASSERT(Sum <= Capacity);
  }
  Shares.clear();
  RC_ASSERT(Budget.used() == 0U);
}

} // namespace
} // namespace sff::serving
