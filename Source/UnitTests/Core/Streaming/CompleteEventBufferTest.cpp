#include "Core/Streaming/CompleteEventBuffer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sff::streaming {
namespace {

std::string makeEvents(int Count) {
  std::string Result;
  for (int Index = 1; Index <= Count; ++Index)
    Result += "id: " + std::to_string(Index) + "\ndata: x id: 99\n\n";
  return Result;
}

// Guards against forwarding a partialEvent event to the caller before the
// stream is resumed at another endpoint.
TEST(EventBoundaryTest, PartialEventIsNotForwarded) {
  CompleteEventBuffer Boundary;
  EXPECT_EQ(Boundary.append("id: 1\ndata: a\n\nid: 2\nda"),
            "id: 1\ndata: a\n\n");
  EXPECT_EQ(Boundary.lastId(), "1");
  EXPECT_EQ(Boundary.partialEvent(), "id: 2\nda");
  Boundary.discardPartial();
  EXPECT_EQ(Boundary.append("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(Boundary.lastId(), "2");
}

// Guards against lost, duplicated or truncated events, regardless of how the
// bytes are split in transit.
RC_GTEST_PROP(EventBoundaryTest, EventsDoNotDependOnHowTheBytesAreSplit, ()) {
  const std::string Whole = makeEvents(*rc::gen::inRange(1, 12));
  CompleteEventBuffer Boundary;
  std::string Forwarded;
  std::size_t At = 0;
  while (At < Whole.size()) {
    const auto Length = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
    const std::string Events = Boundary.append(Whole.substr(At, Length));
    RC_ASSERT(Events.empty() || Events.ends_with("\n\n"));
    Forwarded += Events;
    At += Length;
  }
  RC_ASSERT(Forwarded == Whole);
  RC_ASSERT(Boundary.partialEvent().empty());
  RC_ASSERT(!Boundary.lastId().empty());
}

} // namespace
} // namespace sff::streaming
