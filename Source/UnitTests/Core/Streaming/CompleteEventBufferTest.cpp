#include "Core/Streaming/CompleteEventBuffer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

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

// Guards against a complete stream that is taken to end inside an event, and
// against an id that gets lost, because of where its bytes were split.
RC_GTEST_PROP(EventBoundaryTest, BlankLinesAndIdsDoNotDependOnTheSplit, ()) {
  const auto Pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element(std::string("\n"), std::string("\r\n"),
                       std::string("id: 1\n"), std::string("id:\r\n"),
                       std::string("data: a\n"), std::string(":\n")));
  std::string Text;
  for (const std::string &Piece : Pieces)
    Text += Piece;
  CompleteEventBuffer Whole;
  CompleteEventBuffer Parts;
  const std::string Events = Whole.append(Text);
  std::string Forwarded;
  for (const char Byte : Text)
    Forwarded += Parts.append(std::string_view(&Byte, 1));
  RC_ASSERT(Forwarded == Events);
  RC_ASSERT(Parts.partialEvent() == Whole.partialEvent());
  RC_ASSERT(Parts.lastId() == Whole.lastId());
}

// Guards against a stream that is taken to end inside an event because the
// endpoint sends one more blank line at its end.
TEST(EventBoundaryTest, BlankLineAfterAnEventIsNotInsideAnEvent) {
  for (const std::string Blank : {"\n", "\r\n"}) {
    CompleteEventBuffer Boundary;
    EXPECT_EQ(Boundary.append("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(Boundary.append(Blank), Blank);
    EXPECT_TRUE(Boundary.partialEvent().empty());
    EXPECT_EQ(Boundary.lastId(), "1");
  }
}

// Guards against time with the square of an event's length: streams without an
// end of an event kept a host busy until their deadline.
TEST(EventBoundaryTest, LongEventIsSearchedOnce) {
  constexpr std::size_t EventBytes = 256 * 1024;
  constexpr std::chrono::seconds MaxTime{2};
  CompleteEventBuffer Boundary;
  const auto Start = std::chrono::steady_clock::now();
  for (std::size_t Byte = 0; Byte < EventBytes; ++Byte)
    EXPECT_TRUE(Boundary.append("x").empty());
  EXPECT_EQ(Boundary.append("\n").size(), 0U);
  EXPECT_EQ(Boundary.append("\r").size(), 0U);
  EXPECT_EQ(Boundary.append("\n").size(), EventBytes + 3);
  EXPECT_LT(std::chrono::steady_clock::now() - Start, MaxTime);
}

} // namespace
} // namespace sff::streaming
