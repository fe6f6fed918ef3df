#include "Common/Logging/LineChunk.h"

#include <gtest/gtest.h>

namespace sff::log {
namespace {

// Guards against lines that are torn because a write exceeds the size that a
// pipe takes at once: a burst of lines of 81 hosts lost all but the first 4 KB
// of each write.
TEST(LineChunkTest, ChunkEndsWithAWholeLine) {
  EXPECT_EQ(leadingLines("a\nbb\nccc\n", 6), "a\nbb\n");
  EXPECT_EQ(leadingLines("a\nbb\nccc\n", 9), "a\nbb\nccc\n");
  EXPECT_EQ(leadingLines("a\nbb\n", 2), "a\n");
}

// Guards against an endless loop at a line that is longer than a chunk.
TEST(LineChunkTest, LongLineIsAChunkOfItsOwn) {
  EXPECT_EQ(leadingLines("long line\nb\n", 4), "long line\n");
  EXPECT_EQ(leadingLines("", 4), "");
}

} // namespace
} // namespace sff::log
