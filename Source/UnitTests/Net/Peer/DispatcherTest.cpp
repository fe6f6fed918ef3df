#include "Net/Peer/Dispatcher.h"

#include "Core/Messages/RelayMessages.h"

#include <gtest/gtest.h>

#include <future>

namespace sff::peer {
namespace {

constexpr const char *Address = "127.0.0.1:39871";
constexpr milliseconds CallTimeout{5000};

TEST(DispatcherTest, CallReturnsTheReplyOfTheHandler) {
  timers::EventLoop Loop("peer", 64);
  Dispatcher Server(Loop);
  Server.on<messages::FetchRecords>(
      [](messages::FetchRecords Request, auto Send) {
        Send(messages::FetchRecordsReply{1, Request.m_From, true, {}});
      });
  Server.start(Address, 4);
  PeerClient Peer(Loop, Address);
  std::promise<std::optional<messages::FetchRecordsReply>> Done;
  Peer.call(messages::FetchRecords{"control", 7, 1, {}}, CallTimeout,
            [&](auto Reply) { Done.set_value(Reply); });
  const auto Reply = Done.get_future().get();
  ASSERT_TRUE(Reply);
  EXPECT_EQ(Reply->m_Head, 7u);
  Server.stop();
  Loop.stop();
}

// Guards against a call that never completes when the peer is unreachable.
TEST(DispatcherTest, CallToAbsentPeerTimesOut) {
  timers::EventLoop Loop("peer", 64);
  PeerClient Peer(Loop, "127.0.0.1:39872");
  std::promise<bool> Done;
  Peer.call(messages::RelayStatus{}, milliseconds(200),
            [&](auto Reply) { Done.set_value(Reply.has_value()); });
  EXPECT_FALSE(Done.get_future().get());
  Loop.stop();
}

} // namespace
} // namespace sff::peer
