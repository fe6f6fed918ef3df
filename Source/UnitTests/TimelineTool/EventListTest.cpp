#include "TimelineTool/EventList.h"

#include "TimelineTool/Views.h"

#include <gtest/gtest.h>

#include <sstream>

namespace sff::timelinetool {
namespace {

Event makeEvent(std::int64_t Micros, std::uint32_t Counter,
                const std::string &Host, const std::string &Name) {
  Event Item;
  Item.m_Time = {Micros, Counter};
  Item.m_Host = Host;
  Item.m_Program = "sff-router";
  Item.m_Name = Name;
  return Item;
}

// Guards against showing an effect before its cause when events of two hosts
// have the same wall-clock time, and against showing an event twice.
TEST(EventListTest, OrdersByHybridTimeAndDropsDuplicates) {
  const auto Events = mergeEvents(
      {makeEvent(10, 2, "a", "effect"), makeEvent(10, 1, "b", "cause"),
       makeEvent(10, 2, "a", "effect"), makeEvent(9, 5, "c", "first")},
      {});
  ASSERT_EQ(Events.size(), 3u);
  EXPECT_EQ(Events[0].m_Name, "first");
  EXPECT_EQ(Events[1].m_Name, "cause");
  EXPECT_EQ(Events[2].m_Name, "effect");
}

TEST(EventListTest, FilterRequiresAllCriteria) {
  Event Item = makeEvent(100, 0, "a", "request.dispatched");
  Item.m_Request = "r1";
  Item.m_Entry = "m1";
  EXPECT_TRUE(matches({"r1", "m1", "", 100, 100}, Item));
  EXPECT_FALSE(matches({"r2", "", "", {}, {}}, Item));
  EXPECT_FALSE(matches({"", "m2", "", {}, {}}, Item));
  EXPECT_FALSE(matches({"", "", "peer", {}, {}}, Item));
  EXPECT_FALSE(matches({"", "", "", 101, {}}, Item));
  EXPECT_FALSE(matches({"", "", "", {}, 99}, Item));
}

TEST(EventListTest, ReadsEventsAndCountsOtherLines) {
  std::istringstream Input("{\"event\":\"a\",\"hlc\":{\"us\":5,\"n\":1}}\n\n"
                           "plain text\n{\"text\":\"from a library\"}\n");
  std::vector<Event> Events;
  EXPECT_EQ(readEvents(Input, Events), 2u);
  ASSERT_EQ(Events.size(), 1u);
  EXPECT_EQ(Events[0].m_Time.m_WallMicros, 5);
}

TEST(EventListTest, TimesRoundTrip) {
  EXPECT_EQ(parseTime("1970-01-01T00:00:01.5"), 1500000);
  EXPECT_EQ(parseTime("1970-01-01T00:00:01Z"), 1000000);
  EXPECT_EQ(parseTime("42"), 42);
  EXPECT_FALSE(parseTime("yesterday"));
  EXPECT_FALSE(parseTime("1970-01-01T00:00:01 and more"));
  EXPECT_EQ(parseTime(formatTime(1796332475009971)), 1796332475009971);
}

// Guards against event text that breaks the page or runs as a script.
TEST(ViewsTest, HtmlEscapesTextAndHasOneColumnPerProcess) {
  Event Malicious = makeEvent(1, 0, "a", "<script>");
  Malicious.m_Fields = {{"detail", "</pre><b>"}};
  std::ostringstream Out;
  printHtml(std::vector<Event>{Malicious, makeEvent(2, 0, "b", "next")}, Out);
  const std::string Page = Out.str();
  EXPECT_EQ(Page.find("<b><script>"), std::string::npos);
  EXPECT_EQ(Page.find("</pre><b>\""), std::string::npos);
  EXPECT_NE(Page.find("&lt;script&gt;"), std::string::npos);
  EXPECT_NE(Page.find("<th>sff-router@a</th><th>sff-router@b</th>"),
            std::string::npos);
}

} // namespace
} // namespace sff::timelinetool
