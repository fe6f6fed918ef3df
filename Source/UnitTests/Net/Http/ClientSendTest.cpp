#include "Net/Http/Client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace sff::http {
namespace {

using boost::asio::ip::tcp;
using std::chrono::steady_clock;

// Guards against a request that reaches an endpoint which has asked for none
// while the connection to it was being established.
TEST(ClientSendTest, NothingIsSentThatIsNoLongerWanted) {
  boost::asio::io_context Context;
  tcp::acceptor Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0});
  const Address Remote{"127.0.0.1", Acceptor.local_endpoint().port()};
  Client Sender(Context.get_executor());
  ClientOptions Options;
  Options.m_MaySend = [] { return false; };
  Request Outgoing;
  Outgoing.m_Method = "GET";
  Outgoing.m_Target = "/";
  SendResult Result;
  const Instant Start = steady_clock::now();
  boost::asio::co_spawn(Context, Sender.send(Remote, Outgoing, Options),
                        [&](const std::exception_ptr &, SendResult Ended) {
                          Result = std::move(Ended);
                        });
  Context.run();
  const auto *Failure = std::get_if<TransportFailure>(&Result);
  ASSERT_NE(Failure, nullptr);
  EXPECT_EQ(Failure->m_Stage, FailureStage::NotSent);
  tcp::socket Socket = Acceptor.accept();
  EXPECT_EQ(Socket.available(), 0U);
  // The connection serves the next call.
  EXPECT_TRUE(Sender.hasOpenConnection(Remote, steady_clock::now()));
  // It is no sign of a process that was asked before.
  EXPECT_FALSE(Sender.hasOpenConnection(Remote, Start));
}

} // namespace
} // namespace sff::http
