#include "Relay/RelayNode.h"

#include "MemoryLog.h"
#include "RelayFixture.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace sff::relay {
namespace {

using test::eventually;
using test::makeChange;
using test::ReservedPort;
using test::TestRelay;

TEST(RelayNodeTest, AppendedRecordIsAppliedAndServed) {
  const ReservedPort Log, Listen;
  test::MemoryLog Store(Log.m_Port);
  TestRelay Relay("h1", Listen, Log, {});
  ASSERT_TRUE(eventually([&] {
    return Relay.append("control", makeChange("m1")).m_Outcome ==
           messages::AppendOutcome::Appended;
  }));
  EXPECT_TRUE(eventually([&] { return Relay.applied() == 1; }));
  EXPECT_EQ(Relay.offsets("control", 1), std::vector<Offset>{1});
  const auto Snapshot = Relay.call(messages::FetchSnapshot{});
  ASSERT_TRUE(Snapshot);
  EXPECT_EQ(Snapshot->m_Offset, 1u);
}

// Guards against an availability zone that cannot read or append records
// although the log is reachable through another relay.
TEST(RelayNodeTest, RelayWithoutLogAccessReadsAndAppendsThroughAnother) {
  const ReservedPort Log, NoLog, First, Second, Third;
  test::MemoryLog Store(Log.m_Port);
  TestRelay Direct("h1", First, Log, {});
  TestRelay WithoutLog("h2", Second, NoLog, {First.str()});
  // Knows only a relay that has no direct access to the log itself.
  TestRelay Indirect("h3", Third, NoLog, {Second.str()});
  Store.append("control", makeChange("m1"));
  EXPECT_TRUE(eventually([&] { return WithoutLog.applied() == 1; }));
  EXPECT_TRUE(eventually([&] { return Indirect.applied() == 1; }));
  ASSERT_TRUE(eventually([&] {
    return Indirect.append("control", makeChange("m2")).m_Outcome ==
           messages::AppendOutcome::Appended;
  }));
  const Instant Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(eventually([&] { return Indirect.applied() == 2; }));
  RecordProperty(
      "far_delay_ms",
      std::to_string(
          toMilliseconds(std::chrono::steady_clock::now() - Start).count()));
  EXPECT_EQ(Store.records("control").size(), 2u);
}

// Guards against two relays without access to the log that each count the other
// as a path to it.
TEST(RelayNodeTest, RelaysWithoutAnyPathReportTheLogUnreachable) {
  const ReservedPort Log, First, Second;
  TestRelay One("h1", First, Log, {Second.str()});
  TestRelay Two("h2", Second, Log, {First.str()});
  std::this_thread::sleep_for(milliseconds(500));
  const auto Status = One.call(messages::RelayStatus{});
  ASSERT_TRUE(Status);
  EXPECT_FALSE(Status->m_LogReachable);
  EXPECT_FALSE(Status->m_Ready);
  EXPECT_EQ(One.append("control", makeChange("m")).m_Outcome,
            messages::AppendOutcome::NotAppended);
}

// Guards against an append that is repeated, or reported as not appended, after
// its response was lost.
TEST(RelayNodeTest, LostAppendResponseIsUnknownAndNotRepeated) {
  const ReservedPort Log, Listen;
  test::MemoryLog Store(Log.m_Port);
  TestRelay Relay("h1", Listen, Log, {});
  ASSERT_TRUE(eventually([&] {
    const auto Status = Relay.call(messages::RelayStatus{});
    return Status && Status->m_LogReachable;
  }));
  Store.m_LoseResponses = true;
  EXPECT_EQ(Relay.append("control", makeChange("m1")).m_Outcome,
            messages::AppendOutcome::Unknown);
  EXPECT_TRUE(eventually([&] { return Relay.applied() == 1; }));
  EXPECT_EQ(Store.records("control").size(), 1u);
}

// Guards against a new relay that starts at an offset that the log no longer
// has. Also checks that snapshots are stored.
TEST(RelayNodeTest, NewRelayStartsFromAStoredSnapshot) {
  const ReservedPort Log, First, Second;
  test::MemoryLog Store(Log.m_Port);
  TestRelay Existing("h1", First, Log, {}, 4);
  ASSERT_TRUE(eventually([&] { return Existing.applied() == 0; }));
  for (int Number = 0; Number < 9; ++Number)
    Store.append("control", makeChange("m" + std::to_string(Number)));
  ASSERT_TRUE(eventually([&] { return !Store.records("snapshots").empty(); }));
  ASSERT_TRUE(eventually([&] { return Existing.applied() == 9; }));
  const Offset Stored = Store.records("snapshots").back()["offset"];
  Store.retain("control", 9 - Stored);
  TestRelay New("h2", Second, Log, {}, 1000);
  EXPECT_TRUE(eventually([&] { return New.applied() == 9; }));
  EXPECT_EQ(New.call(messages::FetchSnapshot{})->m_State,
            Existing.call(messages::FetchSnapshot{})->m_State);
}

TEST(RelayNodeTest, NewRelayDoesNotStartWithAGap) {
  const ReservedPort Log, First, Second;
  test::MemoryLog Store(Log.m_Port);
  for (int Number = 0; Number < 9; ++Number)
    Store.append("control", makeChange("m" + std::to_string(Number)));
  TestRelay Existing("h1", First, Log, {});
  ASSERT_TRUE(eventually([&] { return Existing.applied() == 9; }));
  Store.retain("control", 2);
  {
    TestRelay Isolated("h2", Second, Log, {});
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_FALSE(Isolated.call(messages::RelayStatus{})->m_Ready);
  }
  const ReservedPort Third;
  TestRelay New("h3", Third, Log, {First.str()});
  EXPECT_TRUE(eventually([&] { return New.applied() == 9; }));
}

// Guards against a separate append for each of many concurrent intents, and
// against a change of order within a batch.
TEST(RelayNodeTest, ConcurrentIntentsAreAppendedInBatches) {
  const ReservedPort Log, Listen;
  test::MemoryLog Store(Log.m_Port);
  TestRelay Relay("h1", Listen, Log, {});
  ASSERT_TRUE(eventually([&] {
    const auto Status = Relay.call(messages::RelayStatus{});
    return Status && Status->m_LogReachable;
  }));
  Store.m_AppendDelayMs = 100;
  constexpr int Count = 60;
  std::vector<std::future<messages::AppendReply>> Replies;
  Replies.reserve(Count);
  for (int Number = 0; Number < Count; ++Number)
    Replies.push_back(std::async(std::launch::async, [&Relay, Number] {
      return Relay.append("intents", {{"n", Number}});
    }));
  std::vector<Offset> AppendedOffsets;
  for (auto &Reply : Replies) {
    const messages::AppendReply Result = Reply.get();
    EXPECT_EQ(Result.m_Outcome, messages::AppendOutcome::Appended);
    AppendedOffsets.push_back(Result.m_Offset);
  }
  std::ranges::sort(AppendedOffsets);
  ASSERT_TRUE(
      eventually([&] { return Relay.offsets("intents", 1).size() == Count; }));
  EXPECT_EQ(Relay.offsets("intents", 1), AppendedOffsets);
  EXPECT_LT(Store.records("intents").size(), 20u);
}

// Guards against a reader that misses intents that the log still has, and then
// treats a used key as a new one.
TEST(RelayNodeTest, IntentsOlderThanTheCacheAreReadFromTheLog) {
  const ReservedPort Log, First, Second, NoLog;
  test::MemoryLog Store(Log.m_Port);
  for (int Number = 0; Number < 40; ++Number)
    Store.append("intents", {{"n", Number}});
  Store.retain("intents", 30);
  TestRelay Direct("h1", First, Log, {});
  TestRelay WithoutLog("h2", Second, NoLog, {First.str()});
  for (TestRelay *Relay : {&Direct, &WithoutLog}) {
    ASSERT_TRUE(
        eventually([&] { return !Relay->offsets("intents", 11).empty(); }));
    EXPECT_EQ(Relay->offsets("intents", 11).front(), 11u);
    EXPECT_EQ(Relay->call(messages::FetchRecords{"intents", 1, 5, {}})->m_First,
              11u);
  }
}

TEST(RelayNodeTest, WaitingFetchIsAnsweredByTheNextRecord) {
  const ReservedPort Log, Listen;
  test::MemoryLog Store(Log.m_Port);
  TestRelay Relay("h1", Listen, Log, {});
  ASSERT_TRUE(eventually([&] {
    const auto Status = Relay.call(messages::RelayStatus{});
    return Status && Status->m_Ready;
  }));
  auto Waiting = std::async(std::launch::async, [&] {
    return Relay.call(
        messages::FetchRecords{"control", 1, 10, milliseconds(4000)});
  });
  Store.append("control", makeChange("m1"));
  const auto Reply = Waiting.get();
  ASSERT_TRUE(Reply);
  EXPECT_EQ(Reply->m_Records.size(), 1u);
}

// Guards against a relay that stops without an announcement, so that other
// relays notice only by the age of its heartbeat.
TEST(RelayNodeTest, StoppedRelayAnnouncesThatItLeaves) {
  const ReservedPort Log, First, Second;
  test::MemoryLog Store(Log.m_Port);
  TestRelay Stays("h1", First, Log, {Second.str()});
  TestRelay Leaves("h2", Second, Log, {First.str()});
  ASSERT_TRUE(eventually([&] {
    const auto Status = Stays.call(messages::RelayStatus{});
    return Status && Status->m_Hosts.size() == 2;
  }));
  Leaves.m_Node->stop();
  EXPECT_TRUE(eventually([&] {
    const auto Status = Stays.call(messages::RelayStatus{});
    return Status && Status->m_Hosts.size() == 2 &&
           Status->m_Hosts[1].m_Heartbeat.m_Leaving;
  }));
}

} // namespace
} // namespace sff::relay
