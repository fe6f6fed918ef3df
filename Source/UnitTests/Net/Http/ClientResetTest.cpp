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

void resetConnection(tcp::socket &Socket) {
  Socket.set_option(boost::asio::socket_base::linger(true, 0));
  Socket.close();
}

/// How an endpoint ends the connection of an answer that it has sent before it
/// has read the request.
enum class EarlyEnd {
  Reset,
  CloseUnread,        ///< A close with unread data, which is a reset.
  EndOfDataThenReset, ///< Ends its direction in order, and resets later.
  EndOfDataThenRead,  ///< Ends its direction in order, and reads the request.
};

struct EarlyAnswer {
  std::string m_Name;
  EarlyEnd m_End;
  /// Time from the answer to its end, and between the two steps of an end.
  milliseconds m_Delay;
  bool m_IsWhole = false;
};

std::ostream &operator<<(std::ostream &Out, const EarlyAnswer &Answer) {
  return Out << Answer.m_Name;
}

/// Answers one request as soon as its head has come.
void answerEarly(tcp::acceptor &Acceptor, const EarlyAnswer &Answer) {
  tcp::socket Socket = Acceptor.accept();
  boost::asio::streambuf Received;
  boost::asio::read_until(Socket, Received, HeadEnd);
  boost::asio::write(Socket, boost::asio::buffer(UnframedHead + PartOfBody));
  std::this_thread::sleep_for(Answer.m_Delay);
  if (Answer.m_End == EarlyEnd::Reset) {
    resetConnection(Socket);
    return;
  }
  if (Answer.m_End == EarlyEnd::CloseUnread)
    return;
  Socket.shutdown(tcp::socket::shutdown_send);
  std::this_thread::sleep_for(Answer.m_Delay);
  if (Answer.m_End == EarlyEnd::EndOfDataThenReset) {
    resetConnection(Socket);
    return;
  }
  std::vector<char> Rest(64 * 1024);
  error_code Error;
  while (!Error)
    Socket.read_some(boost::asio::buffer(Rest), Error);
}

class ClientEarlyAnswerTest : public testing::TestWithParam<EarlyAnswer> {};

// Guards against the part of a body that counts as a whole one: its endpoint
// has reset the connection while the request was still being written, and the
// kernel reports that to the write alone.
TEST_P(ClientEarlyAnswerTest, ResetDuringTheRequestIsNoEnd) {
  /// More than the buffers of a connection hold.
  constexpr std::size_t RequestBytes = 16 * 1024 * 1024;
  constexpr int ReceiveBufferBytes = 4 * 1024;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0});
  Acceptor.set_option(
      boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
  std::thread Endpoint([&] { answerEarly(Acceptor, GetParam()); });
  Client Sender(Context.get_executor());
  Request Outgoing;
  Outgoing.m_Method = "POST";
  Outgoing.m_Body = std::string(RequestBytes, 'x');
  const Address Remote{"127.0.0.1", Acceptor.local_endpoint().port()};
  SendResult Result;
  boost::asio::co_spawn(Context, Sender.send(Remote, Outgoing, {}),
                        [&](const std::exception_ptr &, SendResult Ended) {
                          Result = std::move(Ended);
                        });
  Context.run();
  Endpoint.join();
  const auto *Answer = std::get_if<Response>(&Result);
  ASSERT_EQ(Answer != nullptr, GetParam().m_IsWhole);
  if (Answer) {
    EXPECT_EQ(Answer->m_Body, PartOfBody);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ends, ClientEarlyAnswerTest,
    testing::Values(
        EarlyAnswer{"Reset", EarlyEnd::Reset, milliseconds(0)},
        EarlyAnswer{"LateReset", EarlyEnd::Reset, milliseconds(250)},
        EarlyAnswer{"Close", EarlyEnd::CloseUnread, milliseconds(0)},
        EarlyAnswer{"LateClose", EarlyEnd::CloseUnread, milliseconds(250)},
        EarlyAnswer{"EndOfDataThenReset", EarlyEnd::EndOfDataThenReset,
                    milliseconds(100)},
        EarlyAnswer{"EndOfDataThenRead", EarlyEnd::EndOfDataThenRead,
                    milliseconds(100), true}),
    [](const auto &Info) { return Info.param.m_Name; });

// Guards against the same where another call has looked at the connection
// between its reset and the read of the answer.
TEST(ClientResetTest, ResetThatAnotherCallHasSeenIsNoEnd) {
  boost::asio::io_context Context;
  tcp::acceptor Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0});
  const Address Remote{"127.0.0.1", Acceptor.local_endpoint().port()};
  Client Caller(Context.get_executor());
  const Request Question;
  const ClientOptions Options;
  std::string FirstPart;
  std::optional<std::variant<std::string, TransportFailure>> End;
  boost::asio::co_spawn(
      Context,
      [&]() -> boost::asio::awaitable<void> {
        const OpenResult Opened =
            co_await Caller.open(Remote, Question, Options);
        const auto &Answer = std::get<std::shared_ptr<ResponseStream>>(Opened);
        FirstPart = std::get<std::string>(co_await Answer->read());
        End = co_await Answer->read();
      },
      boost::asio::detached);
  Context.run_for(milliseconds(50));
  tcp::socket Socket = Acceptor.accept();
  boost::asio::streambuf Received;
  boost::asio::read_until(Socket, Received, HeadEnd);
  boost::asio::write(Socket, boost::asio::buffer(UnframedHead + PartOfBody));
  while (FirstPart.empty())
    Context.run_one();
  Context.poll();
  resetConnection(Socket);
  EXPECT_FALSE(
      Caller.hasOpenConnection(Remote, std::chrono::steady_clock::now()));
  Context.run();
  ASSERT_TRUE(End);
  EXPECT_TRUE(std::holds_alternative<TransportFailure>(*End));
}

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
