#include "Core/Relay/RecordCache.h"

#include "Core/Relay/BatchRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sff::relay {
namespace {

using messages::StreamRecord;

std::vector<StreamRecord> makeRun(Offset From, Offset To) {
  std::vector<StreamRecord> Result;
  for (Offset Position = From; Position < To; ++Position)
    Result.push_back({Position, Position});
  return Result;
}

// Records that arrive from the log and from relays at the same time, delayed
// and duplicated in any way, must be added once and in the order of the log.
RC_GTEST_PROP(RecordCacheTest, AnyMixOfSourcesKeepsTheOrderOfTheLog, ()) {
  constexpr Offset Head = 60;
  RecordCache Cache({1000, 1 << 20});
  std::vector<StreamRecord> Added;
  Offset Expected = 1;
  for (int Step = 0; Step < 40; ++Step) {
    const auto First = *rc::gen::inRange<Offset>(1, 3);
    const auto From = *rc::gen::inRange<Offset>(1, Head);
    const auto To = From + *rc::gen::inRange<Offset>(0, 10);
    const Offset Begin = std::max(From, First);
    const auto Effect =
        Cache.extend(From, First, makeRun(Begin, std::max(Begin, To)), Added);
    if (Effect == RecordCache::Extension::Extended)
      Expected = To;
    RC_ASSERT(Cache.next() == Expected);
  }
  for (std::size_t Index = 0; Index < Added.size(); ++Index)
    RC_ASSERT(Added[Index].m_Offset == Added.front().m_Offset + Index);
}

TEST(RecordCacheTest, ReportsAGapInsteadOfSkippingRecords) {
  RecordCache Cache({10, 1 << 20});
  std::vector<StreamRecord> Added;
  Cache.extend(1, 1, makeRun(1, 4), Added);
  EXPECT_EQ(Cache.extend(4, 6, makeRun(6, 9), Added),
            RecordCache::Extension::Gap);
  EXPECT_EQ(Cache.next(), 4u);
}

TEST(RecordCacheTest, DropsTheOldestRecordsBeyondItsLimits) {
  RecordCache Cache({5, 1 << 20});
  std::vector<StreamRecord> Added;
  Cache.extend(1, 1, makeRun(1, 21), Added);
  EXPECT_EQ(Cache.first(), 16u);
  EXPECT_EQ(Cache.read(18, 2, 1 << 20).front().m_Offset, 18u);
  EXPECT_EQ(Cache.read(16, 100, 4).size(), 2u);
  RecordCache Small({1000, 4});
  Small.extend(1, 1, makeRun(1, 10), Added);
  EXPECT_EQ(Small.first(), 6u);
}

TEST(BatchRecordTest, ItemsShareTheOffsetAndKeepTheirOrder) {
  const auto Out = expandBatches({{7, makeBatch({1, 2, 3})}, {8, "single"}});
  ASSERT_EQ(Out.size(), 4u);
  EXPECT_EQ(Out[2].m_Offset, 7u);
  EXPECT_EQ(Out[2].m_Data, 3);
  EXPECT_EQ(Out[3].m_Offset, 8u);
}

// A malformed batch must not make a reply arbitrarily long.
TEST(BatchRecordTest, OversizedBatchIsOneRecord) {
  EXPECT_EQ(
      expandBatches(
          {{1, makeBatch(std::vector<nlohmann::json>(MaxBatchItems + 1, 0))}})
          .size(),
      1u);
}

} // namespace
} // namespace sff::relay
