#include "Core/Serving/StreamVersions.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{};

RequestId streamNumber(std::size_t Number) {
  return RequestId("s" + std::to_string(Number));
}

// Guards against a guess where two streams with different versions have the
// same id, by a repeated or forged id.
TEST(StreamVersionTableTest, IdOfTwoVersionsIsAmbiguous) {
  StreamVersionTable Table;
  Table.record({streamNumber(1), "v1"}, Start);
  Table.record({streamNumber(1), "v1"}, Start);
  EXPECT_EQ(Table.find(streamNumber(1)).m_Version, "v1");
  Table.record({streamNumber(1), "v2"}, Start);
  EXPECT_TRUE(Table.find(streamNumber(1)).m_IsAmbiguous);
  EXPECT_FALSE(Table.find(streamNumber(1)).m_Version);
}

// Guards against memory that grows with the number of streams, and against a
// dropped stream whose version is not unknown.
TEST(StreamVersionTableTest, OldestStreamIsDroppedAtTheBound) {
  StreamVersionTable Table;
  for (std::size_t Number = 0; Number <= StreamVersionTable::MaxStreams;
       ++Number)
    Table.record({streamNumber(Number), "v1"}, Start);
  EXPECT_FALSE(Table.find(streamNumber(0)).m_Version);
  EXPECT_FALSE(Table.find(streamNumber(0)).m_IsAmbiguous);
  EXPECT_TRUE(Table.find(streamNumber(1)).m_Version);
  const auto All =
      Table.recordedSince(Start, StreamVersionTable::MaxStreams * 2);
  EXPECT_EQ(All.size(), StreamVersionTable::MaxStreams);
}

// Guards against an id that stays ambiguous or keeps its old version for good.
TEST(StreamVersionTableTest, StreamIsDroppedAfterItsMaxAge) {
  StreamVersionTable Table;
  Table.record({streamNumber(1), "v1"}, Start);
  const Instant Later =
      Start + StreamVersionTable::MaxAge + std::chrono::seconds(1);
  Table.record({streamNumber(2), "v2"}, Later);
  EXPECT_FALSE(Table.find(streamNumber(1)).m_Version);
  Table.record({streamNumber(1), "v2"}, Later);
  EXPECT_EQ(Table.find(streamNumber(1)).m_Version, "v2");
}

// Guards against announcing streams that can no longer be taken up, or without
// a bound.
TEST(StreamVersionTableTest, RecentStreamsAreListedLatestFirst) {
  StreamVersionTable Table;
  for (std::size_t Number = 0; Number < 5; ++Number)
    Table.record({streamNumber(Number), "v1"},
                 Start + std::chrono::seconds(Number));
  const auto Recent = Table.recordedSince(Start + std::chrono::seconds(2), 2);
  ASSERT_EQ(Recent.size(), 2U);
  EXPECT_EQ(Recent[0].m_Stream, streamNumber(4));
  EXPECT_EQ(Recent[1].m_Stream, streamNumber(3));
}

// Guards against a record that a missing id can be found by.
TEST(StreamVersionTableTest, EmptyIdIsNotRecorded) {
  StreamVersionTable Table;
  Table.record({RequestId(), "v1"}, Start);
  EXPECT_FALSE(Table.find(RequestId()).m_Version);
}

} // namespace
} // namespace sff::serving
