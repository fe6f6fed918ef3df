#include "Net/Http/Client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace sff::http {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Reads one request without answering it. Returns how the connection ends.
error_code readUntilClosed(tcp::acceptor &Acceptor) {
  tcp::socket Socket = Acceptor.accept();
  boost::asio::streambuf Request;
  error_code Error;
  boost::asio::read_until(Socket, Request, "\r\n\r\n", Error);
  char Byte = 0;
  Socket.read_some(boost::asio::buffer(&Byte, 1), Error);
  return Error;
}

struct AbandonedCall {
  std::string m_Name;
  /// The canceller ends the call; otherwise its read timeout does.
  bool m_IsCancelled = false;
};

std::ostream &operator<<(std::ostream &Out, const AbandonedCall &Call) {
  return Out << Call.m_Name;
}

class ClientCloseTest : public testing::TestWithParam<AbandonedCall> {};

// Guards against a request that reaches an endpoint after its call was given
// up: an orderly close lets the kernel deliver bytes that a partition held up.
TEST_P(ClientCloseTest, AbandonedCallResetsItsConnection) {
  constexpr milliseconds CallDuration{100};
  boost::asio::io_context Context;
  tcp::acceptor Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0});
  error_code End;
  std::thread Endpoint([&] { End = readUntilClosed(Acceptor); });
  Client Sender(Context.get_executor());
  ClientOptions Options;
  Options.m_Canceller = std::make_shared<CallCanceller>();
  Options.m_ReadTimeout =
      GetParam().m_IsCancelled ? 100 * CallDuration : CallDuration;
  boost::asio::steady_timer Timer(Context, CallDuration);
  if (GetParam().m_IsCancelled)
    Timer.async_wait([&](error_code) { Options.m_Canceller->cancel(); });
  Request Outgoing;
  Outgoing.m_Method = "GET";
  Outgoing.m_Target = "/";
  const Address Remote{"127.0.0.1", Acceptor.local_endpoint().port()};
  boost::asio::co_spawn(Context, Sender.send(Remote, Outgoing, Options),
                        [](const std::exception_ptr &, const SendResult &) {});
  Context.run();
  Endpoint.join();
  EXPECT_EQ(End, boost::asio::error::connection_reset) << End.message();
}

INSTANTIATE_TEST_SUITE_P(Ends, ClientCloseTest,
                         testing::Values(AbandonedCall{"Cancelled", true},
                                         AbandonedCall{"TimedOut", false}),
                         [](const auto &Info) { return Info.param.m_Name; });

} // namespace
} // namespace sff::http
