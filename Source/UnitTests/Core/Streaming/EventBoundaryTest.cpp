#include "Core/Streaming/EventBoundary.h"

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

// Guards against half an event that reaches the caller before the stream goes
// on at another endpoint.
TEST(EventBoundaryTest, PartialEventIsHeldBack) {
  EventBoundary Boundary;
  EXPECT_EQ(Boundary.append("id: 1\ndata: a\n\nid: 2\nda"),
            "id: 1\ndata: a\n\n");
  EXPECT_EQ(Boundary.lastId(), "1");
  EXPECT_EQ(Boundary.partial(), "id: 2\nda");
  Boundary.dropPartial();
  EXPECT_EQ(Boundary.append("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(Boundary.lastId(), "2");
}

// Guards against pieces that are lost, doubled or torn, however the bytes are
// cut on their way.
RC_GTEST_PROP(EventBoundaryTest, AnyCutGivesTheSameEvents, ()) {
  const std::string Whole = makeEvents(*rc::gen::inRange(1, 12));
  EventBoundary Boundary;
  std::string Passed;
  std::size_t At = 0;
  while (At < Whole.size()) {
    const auto Length = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
    const std::string Events = Boundary.append(Whole.substr(At, Length));
    RC_ASSERT(Events.empty() || Events.ends_with("\n\n"));
    Passed += Events;
    At += Length;
  }
  RC_ASSERT(Passed == Whole);
  RC_ASSERT(Boundary.partial().empty());
  RC_ASSERT(!Boundary.lastId().empty());
}

} // namespace
} // namespace sff::streaming
