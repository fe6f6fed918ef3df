#include "Net/Http/Client.h"
#include "Net/Http/Server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace sff::http {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

/// What a peer sends: a beginning, and then a pattern without end.
struct EndlessInput {
  std::string m_Name;
  std::string m_Beginning;
  std::string m_Pattern;
  /// Id in the answer's echo header; the request has another one if set.
  std::string m_EchoedId = {};
};

std::ostream &operator<<(std::ostream &Out, const EndlessInput &Input) {
  return Out << Input.m_Name;
}

/// Most bytes that a peer sends, so that a test ends if nothing closes the
/// connection.
constexpr std::size_t MaxSentBytes = 64 * 1024 * 1024;
/// Bytes that a reader may accept, with those that the socket buffers hold.
constexpr std::size_t AcceptableBytes = 16 * 1024 * 1024;
constexpr std::size_t BlockBytes = 64 * 1024;

/// Writes \p Pattern until the peer closes the connection. Returns the number
/// of bytes.
std::size_t writeWithoutEnd(tcp::socket &Socket, const std::string &Pattern,
                            milliseconds Pause = {}) {
  std::string Block = Pattern;
  while (Pause == milliseconds(0) && Block.size() < BlockBytes)
    Block += Pattern;
  error_code Error;
  std::size_t Sent = 0;
  while (!Error && Sent < MaxSentBytes) {
    Sent += boost::asio::write(Socket, boost::asio::buffer(Block), Error);
    std::this_thread::sleep_for(Pause);
  }
  return Sent;
}

/// Answers one request with input that does not end, on its own thread.
class EndlessEndpoint {
public:
  explicit EndlessEndpoint(const EndlessInput &Input, milliseconds Pause = {})
      : m_Acceptor(m_Context, {boost::asio::ip::address_v4::loopback(), 0}),
        m_Thread([this, Input, Pause] { serve(Input, Pause); }) {}
  ~EndlessEndpoint() { m_Thread.join(); }

  Address address() const {
    return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
  }
  std::size_t sentBytes() const { return m_SentBytes; }

private:
  void serve(const EndlessInput &Input, milliseconds Pause) {
    tcp::socket Socket = m_Acceptor.accept();
    boost::asio::streambuf Request;
    boost::asio::read_until(Socket, Request, "\r\n\r\n");
    error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Input.m_Beginning), Ignored);
    m_SentBytes = writeWithoutEnd(Socket, Input.m_Pattern, Pause);
  }

  boost::asio::io_context m_Context;
  tcp::acceptor m_Acceptor;
  std::atomic<std::size_t> m_SentBytes{0};
  std::thread m_Thread;
};

/// Sends a request and waits for the result of the call.
SendResult send(const Address &Remote, const ClientOptions &Options) {
  boost::asio::io_context Context;
  Client Caller(Context.get_executor());
  SendResult Result;
  Request Message;
  Message.m_Method = "GET";
  Message.m_Target = "/";
  boost::asio::co_spawn(
      Context,
      [&]() -> boost::asio::awaitable<void> {
        Result = co_await Caller.send(Remote, Message, Options);
      },
      boost::asio::detached);
  Context.run();
  return Result;
}

class EndlessResponseTest : public ::testing::TestWithParam<EndlessInput> {};

// Guards against an endpoint whose answer does not end and fills the memory of
// the host, or occupies it until a timeout.
TEST_P(EndlessResponseTest, ConnectionIsClosed) {
  ClientOptions Options;
  Options.m_ReadTimeout = milliseconds(30000);
  Options.m_MaxBodyBytes = 1024 * 1024;
  if (!GetParam().m_EchoedId.empty())
    Options.m_ExpectedEcho = ExpectedEcho{"X-Request-Id", "mine"};
  SendResult Result;
  std::size_t SentBytes = 0;
  {
    EndlessEndpoint Endpoint(GetParam());
    Result = send(Endpoint.address(), Options);
    SentBytes = Endpoint.sentBytes();
  }
  EXPECT_TRUE(std::holds_alternative<TransportFailure>(Result));
  EXPECT_LT(SentBytes, AcceptableBytes);
}

const std::string OkHead = "HTTP/1.1 200 OK\r\n";
const std::string ChunkedHead = OkHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string OtherIdHead = OkHead + "X-Request-Id: other\r\n";

INSTANTIATE_TEST_SUITE_P(
    Parts, EndlessResponseTest,
    ::testing::Values(
        EndlessInput{"StatusLine", "HTTP/1.1 200 ", "x"},
        EndlessInput{"Header", OkHead + "A: ", "x"},
        EndlessInput{"Headers", OkHead, "A: b\r\n"},
        EndlessInput{"BodyWithLength",
                     OkHead + "Content-Length: 100000000000\r\n\r\n", "x"},
        EndlessInput{"BodyWithoutLength", OkHead + "\r\n", "x"},
        EndlessInput{"Chunks", ChunkedHead, "5\r\nhello\r\n"},
        EndlessInput{"ChunkSize", ChunkedHead, "0"},
        EndlessInput{"ChunkExtension", ChunkedHead + "5;a=", "x"},
        EndlessInput{"Trailer", ChunkedHead + "0\r\n", "A: b\r\n"},
        EndlessInput{"SkippedChunks",
                     OtherIdHead + "Transfer-Encoding: chunked\r\n\r\n",
                     "5\r\nhello\r\n", "other"},
        EndlessInput{"SkippedBody",
                     OtherIdHead + "Content-Length: 100000000000\r\n\r\n", "x",
                     "other"}),
    [](const auto &Info) { return Info.param.m_Name; });

// Guards against an answer that arrives in small parts for as long as the
// endpoint likes, each of them within the timeout of a read.
TEST(EndlessResponseTimeTest, TrickledBodyIsBoundedInTime) {
  ClientOptions Options;
  Options.m_ReadTimeout = milliseconds(300);
  const auto Start = steady_clock::now();
  {
    EndlessEndpoint Endpoint({"", OkHead + "\r\n", "x"}, milliseconds(20));
    EXPECT_TRUE(std::holds_alternative<TransportFailure>(
        send(Endpoint.address(), Options)));
  }
  EXPECT_LT(steady_clock::now() - Start, 20 * Options.m_ReadTimeout);
}

class EndlessRequestTest : public ::testing::TestWithParam<EndlessInput> {};

// Guards against a caller whose request does not end and fills the memory of
// the host.
TEST_P(EndlessRequestTest, ConnectionIsClosed) {
  boost::asio::io_context Context;
  ServerLimits Limits;
  Limits.m_ReadTimeout = milliseconds(30000);
  Server Host(Context, Limits,
              [](Request, Exchange &Caller) -> boost::asio::awaitable<void> {
                co_await Caller.respond({});
              });
  Host.listen({"127.0.0.1", 0});
  std::thread Serving([&Context] { Context.run(); });
  boost::asio::io_context CallerContext;
  tcp::socket Socket(CallerContext);
  Socket.connect({boost::asio::ip::address_v4::loopback(), Host.port()});
  error_code Ignored;
  boost::asio::write(Socket, boost::asio::buffer(GetParam().m_Beginning),
                     Ignored);
  EXPECT_LT(writeWithoutEnd(Socket, GetParam().m_Pattern), AcceptableBytes);
  Context.stop();
  Serving.join();
}

const std::string PostHead = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string ChunkedPost = PostHead + "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Parts, EndlessRequestTest,
    ::testing::Values(
        EndlessInput{"Target", "GET /", "x"},
        EndlessInput{"Header", PostHead + "A: ", "x"},
        EndlessInput{"Headers", PostHead, "A: b\r\n"},
        EndlessInput{"BodyWithLength",
                     PostHead + "Content-Length: 100000000000\r\n\r\n", "x"},
        EndlessInput{"Chunks", ChunkedPost, "5\r\nhello\r\n"},
        EndlessInput{"ChunkSize", ChunkedPost, "0"},
        EndlessInput{"ChunkExtension", ChunkedPost + "5;a=", "x"},
        EndlessInput{"Trailer", ChunkedPost + "0\r\n", "A: b\r\n"}),
    [](const auto &Info) { return Info.param.m_Name; });

} // namespace
} // namespace sff::http
