#include "ProcessTests/Support/ProcessTest.h"

#include <future>

namespace sff::test {
namespace {

const std::string Records = "/v1/streams/control/records";

class PlatformLogTest : public ProcessTest {
protected:
  void startLog(const nlohmann::json &Options = nlohmann::json::object()) {
    m_Log = startStandIn("log", "standin-log", {{"log", Options}});
  }
  HttpResult append(int Number) { return m_Http.post(m_Log, Records, Number); }
  nlohmann::json read(const std::string &Query = "") {
    return m_Http.get(m_Log, Records + Query).json();
  }

  http::Address m_Log;
};

TEST_F(PlatformLogTest, ReadsBackAppendedRecords) {
  startLog();
  EXPECT_EQ(append(7).json().at("offset"), 1);
  EXPECT_EQ(append(8).json().at("offset"), 2);
  const auto All = read();
  EXPECT_EQ(All.at("first"), 1);
  EXPECT_EQ(All.at("head"), 2);
  EXPECT_EQ(All.at("records").at(1).at("data"), 8);
  EXPECT_EQ(read("?from=2&max=1").at("records").size(), 1);
  EXPECT_EQ(read("?from=3").at("records").size(), 0);
  EXPECT_EQ(m_Http.get(m_Log, "/v1/streams").json().at("streams").size(), 1);
}

// Guards against a long poll that misses an append.
TEST_F(PlatformLogTest, LongPollReturnsOnAppend) {
  startLog();
  auto Pending = std::async(std::launch::async, [Log = m_Log] {
    BlockingHttpClient Other;
    return Other.get(Log, Records + "?from=1&wait_ms=15000").json();
  });
  EXPECT_EQ(Pending.wait_for(milliseconds(200)), std::future_status::timeout);
  append(1);
  ASSERT_EQ(Pending.wait_for(milliseconds(10000)), std::future_status::ready);
  EXPECT_EQ(Pending.get().at("records").size(), 1);
}

TEST_F(PlatformLogTest, LostResponseHasTakenEffect) {
  startLog();
  setFaults(m_Log, {{"lose_answers", 1}});
  EXPECT_EQ(append(1).status(), 0);
  EXPECT_EQ(read().at("head"), 1);
  EXPECT_EQ(append(2).status(), 200);
}

TEST_F(PlatformLogTest, LateAppendTakesEffectAfterConnectionCloses) {
  startLog();
  setFaults(m_Log, {{"late_append_ms", 500}});
  EXPECT_EQ(append(1).status(), 0);
  EXPECT_EQ(read().at("head"), 0);
  EXPECT_TRUE(waitUntil([&] { return read().at("head") == 1; }));
}

TEST_F(PlatformLogTest, DuplicateAppendIsStoredTwice) {
  startLog();
  setFaults(m_Log, {{"duplicate_append", 1}});
  EXPECT_EQ(append(5).json().at("offset"), 1);
  EXPECT_EQ(append(6).json().at("offset"), 3);
  EXPECT_EQ(read().at("records").at(1).at("data"), 5);
}

TEST_F(PlatformLogTest, OutageLeavesOnlyFaultsReachable) {
  startLog();
  setFaults(m_Log, {{"outage", 1}});
  EXPECT_EQ(append(1).status(), 503);
  EXPECT_EQ(m_Http.get(m_Log, Records).status(), 503);
  EXPECT_EQ(m_Http.get(m_Log, "/faults").json().at("outage"), 1);
  setFaults(m_Log, {{"outage", false}});
  EXPECT_EQ(append(1).json().at("offset"), 1);
}

TEST_F(PlatformLogTest, RetainsOnlyTheNewestRecords) {
  startLog({{"retention", 2}});
  for (int Number = 1; Number <= 5; ++Number)
    append(Number);
  const auto Kept = read("?from=1");
  EXPECT_EQ(Kept.at("first"), 4);
  EXPECT_EQ(Kept.at("records").at(0).at("data"), 4);
}

TEST_F(PlatformLogTest, RejectsAppendsAboveTheRate) {
  startLog({{"appends_per_second", 1}});
  bool Rejected = false;
  for (int Number = 0; Number < 5 && !Rejected; ++Number)
    Rejected = append(Number).status() == 429;
  EXPECT_TRUE(Rejected);
}

TEST_F(PlatformLogTest, RejectsMalformedInput) {
  startLog();
  EXPECT_EQ(m_Http.send(m_Log, {"POST", Records, {}, "{"}).status(), 400);
  EXPECT_EQ(m_Http.post(m_Log, "/faults", {{"no_such", 1}}).status(), 400);
  EXPECT_EQ(m_Http.post(m_Log, "/faults", {{"outage", "yes"}}).status(), 400);
  EXPECT_EQ(m_Http.get(m_Log, "/no/such/path").status(), 404);
}

} // namespace
} // namespace sff::test
