#include "Net/Http/Client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace sff::http {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

const std::string UnframedHead = "HTTP/1.1 200 OK\r\n\r\n";
const std::string PartOfBody = "part";
const std::string HeadEnd = "\r\n\r\n";

// Guards against a connection that stays open after its endpoint has ended it:
// it can't be used again, and an endpoint that waits for the close keeps it.
TEST(ClientResetTest, ConnectionThatHasEndedIsClosed) {
  boost::asio::io_context Context;
  tcp::acceptor Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0});
  const Address Remote{"127.0.0.1", Acceptor.local_endpoint().port()};
  Client Sender(Context.get_executor());
  SendResult Result;
  boost::asio::co_spawn(Context, Sender.send(Remote, {}, {}),
                        [&](const std::exception_ptr &, SendResult Ended) {
                          Result = std::move(Ended);
                        });
  Context.run_for(milliseconds(50));
  tcp::socket Socket = Acceptor.accept();
  boost::asio::streambuf Received;
  boost::asio::read_until(Socket, Received, HeadEnd);
  boost::asio::write(Socket, boost::asio::buffer(UnframedHead + PartOfBody));
  Socket.shutdown(tcp::socket::shutdown_send);
  Context.run();
  ASSERT_TRUE(std::holds_alternative<Response>(Result));
  Socket.non_blocking(true);
  char Byte = 0;
  error_code Error;
  Socket.read_some(boost::asio::buffer(&Byte, 1), Error);
  EXPECT_NE(Error, boost::asio::error::would_block);
}

} // namespace
} // namespace sff::http
