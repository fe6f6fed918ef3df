#include "Host/FakeStore.h"
#include "Host/HostTestSettings.h"

#include "Core/Serving/StoreReadTimes.h"
#include "Host/StoreFollower.h"

#include <gtest/gtest.h>

namespace sff::host {
namespace {

class StoreFollowerTest : public testing::Test {
protected:
  StoreFollowerTest()
      : m_Store(std::make_shared<FakeStore>()),
        m_State(m_Context, makeTestSettings(),
                {"sff-host", "h1", "zone-a", "i"},
                {nullptr, m_Store, nullptr,
                 std::make_shared<FakeHealthChecker>(), nullptr}),
        m_Leases(m_State, "127.0.0.1:3"), m_Streams(m_State, m_Leases),
        m_Queries(m_State, m_Leases),
        m_Follower(m_State, m_Streams, m_Queries) {}

  void runUntilReads(int Count) {
    while (m_Store->m_AnsweredReads < Count)
      m_Context.run_one();
    m_Context.poll();
  }

  boost::asio::io_context m_Context;
  std::shared_ptr<FakeStore> m_Store;
  HostState m_State;
  OrderLeases m_Leases;
  StreamTracker m_Streams;
  LogQueries m_Queries;
  StoreFollower m_Follower;
};

// Guards against a host that stood still, or was cut off, while an endpoint of
// a new software version joined: it took the answer that had waited for it for
// fresh, the version that it knew for the only one, and went on with streams of
// the new version at an endpoint of the old one.
TEST_F(StoreFollowerTest, AnswerThatWasHeldBackIsAsOldAsItsRead) {
  constexpr milliseconds HeldBack{700};
  m_Store->m_ReadDelay = HeldBack;
  m_Follower.start();
  runUntilReads(1);
  EXPECT_TRUE(m_State.m_EndpointsKnown);
  EXPECT_GE(m_State.endpointsAge(), HeldBack);
}

// Guards against calls to a store that is known to be away: each host asked for
// the catalogue as often as for the registrations, and calls that are refused
// are billed, too.
TEST_F(StoreFollowerTest, CatalogueIsRarelyReadWhileTheStoreIsAway) {
  m_Store->m_IsDown = true;
  m_Follower.start();
  m_Context.run_for(milliseconds(3000));
  EXPECT_LE(m_Store->m_CatalogueReads, 3);
  // Both are read as soon as the store is back.
  m_Store->m_IsDown = false;
  const int Before = m_Store->m_CatalogueReads;
  m_Context.run_for(milliseconds(500));
  EXPECT_EQ(m_Store->m_AnsweredReads, 1);
  EXPECT_EQ(m_Store->m_CatalogueReads, Before + 1);
}

/// A host with all parts that call the store.
class StoreOutageTest : public testing::Test {
protected:
  StoreOutageTest()
      : m_Store(std::make_shared<FakeStore>()),
        m_State(m_Context, makeTestSettings(3000),
                {"sff-host", "h1", "zone-a", "i"},
                {nullptr, m_Store, nullptr,
                 std::make_shared<FakeHealthChecker>(), nullptr}),
        m_Leases(m_State, "127.0.0.1:3"), m_Streams(m_State, m_Leases),
        m_Queries(m_State, m_Leases),
        m_Follower(m_State, m_Streams, m_Queries) {
    m_Store->m_AnswersLogs = true;
    m_Store->m_Membership = {1, false};
    m_Store->m_ReadDelay = serving::MaxRegistrationsWait;
    m_State.m_Catalogue = std::make_shared<serving::Catalogue>();
    m_Follower.start();
    m_Streams.start();
    m_Leases.start();
    m_State.spawn("follow", m_State.m_Crashes.follow(m_Queries));
    m_State.spawn("publish", m_State.m_Crashes.publish());
    m_State.spawn("find_holder", findHolders());
    m_Context.run_for(milliseconds(2000));
  }

  /// Asks for a holder all the time, as a host with requests does.
  Task<void> findHolders() {
    while (true) {
      co_await m_Leases.findHolder(ZoneId("zone-b"));
      co_await sleepFor(milliseconds(50));
    }
  }

  int callsIn(milliseconds Length) {
    m_Store->m_Calls.clear();
    m_Context.run_for(Length);
    return m_Store->calls();
  }

  boost::asio::io_context m_Context;
  std::shared_ptr<FakeStore> m_Store;
  HostState m_State;
  OrderLeases m_Leases;
  StreamTracker m_Streams;
  LogQueries m_Queries;
  StoreFollower m_Follower;
};

// Guards against hosts that call more while the store rejects them: on a day
// where four tenths of the hosts were rejected for 9 s, calls rose from 7,186
// to 12,577.
TEST_F(StoreOutageTest, RejectedHostSendsFewerCalls) {
  constexpr milliseconds Length{9000};
  const int Usual = callsIn(Length);
  m_Store->m_IsDown = true;
  m_Leases.invalidateHolder(ZoneId("zone-b"));
  const int Rejected = callsIn(Length);
  EXPECT_LE(Rejected, Usual);
  for (const auto &[Kind, Count] : m_Store->m_Calls)
    EXPECT_LE(Count, Kind == "endpoints" ? 16 : 3) << Kind;
  // All calls are repeated within a second of the store's return.
  m_Store->m_IsDown = false;
  callsIn(milliseconds(1350));
  for (const char *Kind :
       {"endpoints", "catalogue", "crashes", "join", "holder"})
    EXPECT_GE(m_Store->m_Calls[Kind], 1) << Kind;
}

} // namespace
} // namespace sff::host
