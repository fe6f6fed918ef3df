#include "Core/Membership/HostTable.h"

#include "Core/Membership/GossipPlan.h"
#include "Core/Membership/SnapshotRule.h"
#include "Net/Peer/Dispatcher.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace sff::membership {
namespace {

constexpr milliseconds LongAge{3600000};

HostHeartbeat makeHost(int Number, std::int64_t Sequence = 1,
                       const std::string &Incarnation = "a") {
  HostHeartbeat Item;
  Item.m_Host = HostId("entry-host-" + std::to_string(Number));
  Item.m_Zone = ZoneId("zone-" + std::to_string(Number % 6));
  Item.m_Incarnation = IncarnationId(Incarnation);
  Item.m_Sequence = Sequence;
  Item.m_RelayAddress = "10.100.100." + std::to_string(Number % 256) + ":7000";
  return Item;
}

TEST(HostTableTest, HigherSequenceReplacesAndAgeCountsFromThen) {
  const Instant Start;
  HostTable Table(makeHost(0), Start);
  EXPECT_TRUE(Table.merge(makeHost(1, 5), Start));
  EXPECT_FALSE(Table.merge(makeHost(1, 4), Start + milliseconds(50)));
  EXPECT_EQ(Table.statuses(Start + milliseconds(100))[1].m_Age.count(), 100);
  EXPECT_TRUE(Table.merge(makeHost(1, 6), Start + milliseconds(100)));
  EXPECT_EQ(Table.statuses(Start + milliseconds(100))[1].m_Age.count(), 0);
}

// The heartbeat of a restarted host must replace those of its earlier
// incarnation, even if its clock was set back and its sequence starts lower.
TEST(HostTableTest, RestartedHostReplacesItsEarlierIncarnation) {
  HostTable Restarted(makeHost(0, 10, "new"), Instant());
  EXPECT_FALSE(Restarted.merge(makeHost(0, 500, "old"), Instant()));
  EXPECT_EQ(Restarted.self().m_Sequence, 501);
  HostTable Other(makeHost(1), Instant());
  Other.merge(makeHost(0, 500, "old"), Instant());
  EXPECT_TRUE(Other.merge(Restarted.self(), Instant()));
}

TEST(HostTableTest, SelectionIsBoundedAndLeavesOutWhatTheOtherSideKnows) {
  HostTable Table(makeHost(0), Instant());
  for (int Number = 1; Number < 50; ++Number)
    Table.merge(makeHost(Number), Instant() + milliseconds(Number));
  const auto First = Table.select(8, {}, Instant(), LongAge);
  EXPECT_EQ(First.size(), 7u);
  EXPECT_EQ(First[1].m_Host, makeHost(49).m_Host);
  const auto Second = Table.select(8, First, Instant(), LongAge);
  EXPECT_EQ(Second[1].m_Host, makeHost(43).m_Host);
}

// A new host must also learn about hosts that the others have already sent
// MaxSends times.
TEST(HostTableTest, RotationCoversHostsThatHaveBeenSentOften) {
  HostTable Table(makeHost(0), Instant());
  for (int Number = 1; Number < 10; ++Number)
    Table.merge(makeHost(Number), Instant());
  std::set<HostId> Late;
  for (int Round = 0; Round < 60; ++Round)
    for (const auto &Item : Table.select(3, {}, Instant(), LongAge))
      if (Round > 40)
        Late.insert(Item.m_Host);
  EXPECT_EQ(Late.size(), 10u);
}

TEST(HostTableTest, LeavingAndOldHostsAreNotLive) {
  HostTable Table(makeHost(0), Instant());
  HostHeartbeat Leaving = makeHost(1);
  Leaving.m_Leaving = true;
  Table.merge(Leaving, Instant());
  Table.merge(makeHost(2), Instant());
  const Instant Later = Instant() + milliseconds(1000);
  EXPECT_EQ(Table.liveOthers(Later, milliseconds(1000)).size(), 1u);
  EXPECT_TRUE(Table.liveOthers(Later, milliseconds(999)).empty());
}

// Heartbeat traffic per host must not grow with the number of hosts. Simulates
// 390 hosts for ten minutes and measures the encoded messages of one exchange
// in eight.
TEST(GossipPlanTest, LargeDeploymentStaysWithinTheByteBudget) {
  constexpr int Hosts = 390;
  constexpr int Periods = 200;
  constexpr int MeasuredShare = 8;
  const GossipLimits Limits;
  const GossipPlan Plan = planGossip(Hosts, Limits);
  const auto RefreshPeriods = Plan.m_RefreshInterval / Plan.m_Period;
  std::vector<HostTable> Tables;
  Tables.reserve(Hosts);
  for (int Number = 0; Number < Hosts; ++Number)
    Tables.emplace_back(makeHost(Number, 1'700'000'000'000, makeRandomId()),
                        Instant());
  std::mt19937 Random(7);
  std::size_t Bytes = 0;
  Instant Now;
  for (int Period = 0; Period < Periods; ++Period, Now += Plan.m_Period)
    for (int Number = 0; Number < Hosts; ++Number) {
      HostTable &From = Tables[Number];
      HostTable &To = Tables[(Number + 1 + Random() % (Hosts - 1)) % Hosts];
      if (Period % RefreshPeriods == Number % RefreshPeriods)
        From.advance();
      const auto Sent = From.select(Plan.m_EntriesPerMessage, {}, Now, LongAge);
      for (const auto &Item : Sent)
        To.merge(Item, Now);
      const auto Back = To.select(Plan.m_EntriesPerMessage, Sent, Now, LongAge);
      for (const auto &Item : Back)
        From.merge(Item, Now);
      if (Random() % MeasuredShare != 0)
        continue;
      Bytes +=
          peer::encodeEnvelope("heartbeat", messages::Heartbeat{Sent}).size() +
          peer::encodeEnvelope("heartbeat", messages::HeartbeatReply{Back})
              .size() +
          2 * 150; // TCP and IP headers with acknowledgements.
    }
  const double Seconds =
      std::chrono::duration<double>(Plan.m_Period).count() * Periods;
  const double PerHost = 2.0 * MeasuredShare * Bytes / Seconds / Hosts;
  RecordProperty("bytes_per_second", std::to_string(PerHost));
  EXPECT_LT(PerHost, static_cast<double>(Limits.m_BytesPerSecond));
  const auto Live = Tables[0].liveOthers(Now, Plan.m_MaxLiveAge);
  EXPECT_EQ(Live.size(), Hosts - 1u);
}

TEST(SnapshotRuleTest, ExactlyOneRankWritesFirstAndOthersFollowLater) {
  std::vector<HostId> Hosts;
  Hosts.reserve(8);
  for (int Number = 0; Number < 8; ++Number)
    Hosts.push_back(makeHost(Number).m_Host);
  const auto CountWriters = [&](Offset Applied) {
    int Writers = 0;
    for (const HostId &Self : Hosts) {
      std::vector<HostId> Others = Hosts;
      std::erase(Others, Self);
      Writers += shouldWriteSnapshot(Self, Others, {Applied, 1000, 800});
    }
    return Writers;
  };
  EXPECT_EQ(CountWriters(1799), 0);
  EXPECT_EQ(CountWriters(1800), 1);
  // The host of the first rank may be gone; the next one writes 100 records
  // later.
  EXPECT_EQ(CountWriters(1900), 2);
}

} // namespace
} // namespace sff::membership
