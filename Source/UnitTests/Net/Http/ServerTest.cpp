#include "Net/Http/Server.h"
#include "Net/Http/Client.h"
#include "Net/Timers/AsyncCondition.h"
#include "Net/Timers/EventLoop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <ctime>
#include <span>
#include <thread>

namespace sff::http {
namespace {

namespace asio = boost::asio;

asio::awaitable<void> echo(Request Incoming, Exchange &Caller) {
  if (Incoming.path() == "/stream") {
    Response StreamHead{200, {{"Content-Type", "text/plain"}}, ""};
    StreamHead.m_EndsWithConnection = Incoming.query("unframed").has_value();
    co_await Caller.beginStream(std::move(StreamHead));
    co_await Caller.writeChunk("one ");
    co_await Caller.writeChunk("two");
    if (!Incoming.query("cut"))
      co_await Caller.endStream();
    co_return;
  }
  Response HttpResponse;
  HttpResponse.m_Body = Incoming.m_Body;
  HttpResponse.m_EndsWithConnection = Incoming.query("unframed").has_value();
  co_await Caller.respond(std::move(HttpResponse));
}

class HttpServerTest : public ::testing::Test {
protected:
  HttpServerTest() : m_Loop("http", 64), m_Server(m_Loop.context(), {}, echo) {
    m_Server.listen({"127.0.0.1", 0});
  }

  SendResult send(Request Message) {
    Client Http(m_Loop.context().get_executor());
    return asio::co_spawn(
               m_Loop.context(),
               Http.send({"127.0.0.1", m_Server.port()}, std::move(Message)),
               asio::use_future)
        .get();
  }

  timers::EventLoop m_Loop;
  Server m_Server;
};

// Guards against a body without a mark of its end that gets one on the way.
TEST_F(HttpServerTest, BodyEndsWithTheConnection) {
  for (const char *Target : {"/echo?unframed", "/stream?unframed"}) {
    const auto Result = send({"POST", Target, {}, "one two"});
    ASSERT_TRUE(std::holds_alternative<Response>(Result)) << Target;
    const auto &Received = std::get<Response>(Result);
    EXPECT_EQ(Received.m_Body, "one two");
    EXPECT_TRUE(Received.m_EndsWithConnection);
    EXPECT_EQ(Received.m_Headers.view("Connection"), "close");
  }
}

// Guards against an orderly close that marks a body as complete which is not.
TEST_F(HttpServerTest, BodyThatEndsWithTheConnectionIsResetWhenCut) {
  const auto Result = send({"GET", "/stream?unframed&cut", {}, ""});
  EXPECT_TRUE(std::holds_alternative<TransportFailure>(Result));
}

TEST_F(HttpServerTest, EchoesTheBody) {
  const auto Result = send({"POST", "/echo", {}, "hello"});
  ASSERT_TRUE(std::holds_alternative<Response>(Result));
  EXPECT_EQ(std::get<Response>(Result).m_Body, "hello");
}

TEST_F(HttpServerTest, StreamsACompleteResponse) {
  const auto Result = send({"GET", "/stream", {}, ""});
  ASSERT_TRUE(std::holds_alternative<Response>(Result));
  EXPECT_EQ(std::get<Response>(Result).m_Body, "one two");
}

// Guards against a truncated stream that looks like a complete response.
TEST_F(HttpServerTest, TruncatedStreamIsAFailure) {
  const auto Result = send({"GET", "/stream?cut", {}, ""});
  ASSERT_TRUE(std::holds_alternative<TransportFailure>(Result));
  EXPECT_FALSE(std::get<TransportFailure>(Result).isKnownNotSent());
}

// Guards against claiming "not run" only where no connection existed.
TEST_F(HttpServerTest, RefusedConnectionProvesNotSent) {
  Client Http(m_Loop.context().get_executor());
  const auto Result =
      asio::co_spawn(m_Loop.context(), Http.send({"127.0.0.1", 1}, {}),
                     asio::use_future)
          .get();
  ASSERT_TRUE(std::holds_alternative<TransportFailure>(Result));
  EXPECT_TRUE(std::get<TransportFailure>(Result).isKnownNotSent());
}

// Sends a request in fragments with a pause before each one after the first,
// until a response arrives. Returns the status line of the response.
std::string sendSlowly(std::uint16_t Port, const std::vector<std::string> &Text,
                       milliseconds Pause) {
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  asio::write(Socket, asio::buffer(Text.front()));
  for (const std::string &Fragment : std::span(Text).subspan(1)) {
    std::this_thread::sleep_for(Pause);
    if (Socket.available() > 0)
      break;
    asio::write(Socket, asio::buffer(Fragment));
  }
  std::string StatusLine;
  boost::system::error_code End;
  asio::read_until(Socket, asio::dynamic_buffer(StatusLine), "\r\n", End);
  return StatusLine.substr(0, StatusLine.find('\r'));
}

// Guards against a header timeout that is configured but not enforced, so that
// a slow header gets the time limit of a complete request, and against one that
// also ends slow bodies.
TEST_F(HttpServerTest, SlowHeaderTimesOutAndSlowBodyDoesNot) {
  ServerLimits Limits;
  Limits.m_HeaderTimeout = milliseconds(200);
  Limits.m_ReadTimeout = milliseconds(10000);
  Server LimitedServer(m_Loop.context(), Limits, echo);
  LimitedServer.listen({"127.0.0.1", 0});
  const std::string Start = "POST /echo HTTP/1.1\r\n";
  const std::string Rest =
      "Host: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\n";
  const milliseconds Pause(600);
  EXPECT_EQ(sendSlowly(LimitedServer.port(), {Start, Rest + "ok"}, Pause),
            "HTTP/1.1 408 Request Timeout");
  EXPECT_EQ(sendSlowly(LimitedServer.port(), {Start + Rest, "ok"}, Pause),
            "HTTP/1.1 200 OK");
}

// Guards against an endpoint that is taken for alive because its listener still
// accepts connections while the process terminates: a request was retried
// though it had just crashed its second endpoint.
TEST_F(HttpServerTest, ConnectionThatIsClosedAtOnceIsAFailure) {
  asio::ip::tcp::acceptor Terminating(
      m_Loop.context(), {asio::ip::make_address_v4("127.0.0.1"), 0});
  Terminating.async_accept(
      [](boost::system::error_code, asio::ip::tcp::socket) {});
  const auto Connect = [this](std::uint16_t Port) {
    Client Http(m_Loop.context().get_executor());
    return asio::co_spawn(m_Loop.context(),
                          Http.connect({"127.0.0.1", Port}, milliseconds(1000)),
                          asio::use_future)
        .get();
  };
  EXPECT_TRUE(Connect(Terminating.local_endpoint().port()));
  EXPECT_FALSE(Connect(m_Server.port()));
}

// Guards against a request that is sent to an endpoint and gets no answer
// because it arrived with the stop of the host: no request was active when the
// idle connections were about to be closed, so the process exited (LOST on
// shohag-boards-grown, hunt-cff6-3).
TEST(HttpServerDrainTest, RequestThatArrivesWithTheStopIsAnswered) {
  constexpr milliseconds HandlingTime{120};
  asio::io_context Context(1);
  Server Stopping(
      Context, {},
      [=](Request Incoming, Exchange &Caller) -> asio::awaitable<void> {
        co_await timers::sleepFor(HandlingTime);
        co_await echo(std::move(Incoming), Caller);
      });
  Stopping.listen({"127.0.0.1", 0});
  asio::io_context CallerContext;
  asio::ip::tcp::socket Caller(CallerContext);
  Caller.connect({asio::ip::make_address_v4("127.0.0.1"), Stopping.port()});
  while (Stopping.connections() == 0)
    Context.poll();
  asio::write(Caller, asio::buffer(std::string_view(
                          "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n")));
  std::this_thread::sleep_for(milliseconds(20));
  const Instant Deadline =
      std::chrono::steady_clock::now() + milliseconds(5000);
  asio::co_spawn(Context, Stopping.drain(Deadline),
                 [&Context](const std::exception_ptr &) { Context.stop(); });
  Context.run();
  std::string Answer(15, '\0');
  boost::system::error_code Error;
  Caller.non_blocking(true);
  Caller.read_some(asio::buffer(Answer), Error);
  EXPECT_EQ(Answer, "HTTP/1.1 200 OK");
  EXPECT_LT(std::chrono::steady_clock::now(), Deadline);
}

/// Takes all free descriptors from the process while it exists.
class DescriptorLimit {
public:
  /// \p Descriptor is the lowest free one.
  explicit DescriptorLimit(int Descriptor) {
    getrlimit(RLIMIT_NOFILE, &m_Before);
    const rlimit Reduced{static_cast<rlim_t>(Descriptor), m_Before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &Reduced);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_Before); }

private:
  rlimit m_Before{};
};

// Guards against a server that tries to accept a connection again and again,
// without a pause, while the process has no free descriptor.
TEST_F(HttpServerTest, ServerWithoutDescriptorsWaits) {
  constexpr milliseconds Period{500};
  // A loop without a pause takes nearly the whole period.
  constexpr milliseconds MaxProcessorTime = Period / 5;
  asio::io_context Context;
  asio::ip::tcp::socket Caller(Context);
  Caller.open(asio::ip::tcp::v4());
  const int Free = ::dup(Caller.native_handle());
  ::close(Free);
  {
    const DescriptorLimit Limit(Free);
    const std::clock_t Before = std::clock();
    Caller.connect({asio::ip::make_address_v4("127.0.0.1"), m_Server.port()});
    std::this_thread::sleep_for(Period);
    const double Used =
        static_cast<double>(std::clock() - Before) / CLOCKS_PER_SEC;
    EXPECT_LT(Used * 1000, static_cast<double>(MaxProcessorTime.count()));
    EXPECT_EQ(m_Server.connections(), 0U);
  }
  asio::write(Caller, asio::buffer(std::string_view(
                          "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n")));
  std::string Answer(15, '\0');
  Caller.read_some(asio::buffer(Answer));
  EXPECT_EQ(Answer, "HTTP/1.1 200 OK");
}

} // namespace
} // namespace sff::http
