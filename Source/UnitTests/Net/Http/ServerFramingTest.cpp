#include "Net/Http/Server.h"
#include "Net/Timers/EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <mutex>

namespace sff::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// The text of a request that is hidden in the body of another one.
const std::string HiddenRequest = "POST /hidden HTTP/1.1\r\nHost: a\r\n"
                                  "Content-Length: 2\r\n\r\nno";

std::size_t countOf(std::string_view Text, std::string_view Part) {
  std::size_t Count = 0;
  for (auto At = Text.find(Part); At != std::string_view::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

/// Runs a server that answers with the body of the request.
class ServerFramingTest : public ::testing::Test {
protected:
  ServerFramingTest()
      : m_Loop("http", 64),
        m_Server(m_Loop.context(), limits(),
                 [this](Request Incoming, Exchange &Caller) {
                   return handle(std::move(Incoming), Caller);
                 }) {
    m_Server.listen({"127.0.0.1", 0});
  }

  /// Sends \p Bytes and returns what arrives until the server closes the
  /// connection.
  std::string exchange(const std::string &Bytes) {
    asio::io_context Context;
    tcp::socket Socket(Context);
    Socket.connect({asio::ip::address_v4::loopback(), m_Server.port()});
    asio::write(Socket, asio::buffer(Bytes));
    std::string Received;
    boost::system::error_code End;
    asio::read(Socket, asio::dynamic_buffer(Received), End);
    m_WasReset = End == asio::error::connection_reset;
    return Received;
  }

  std::uint16_t port() const { return m_Server.port(); }

  std::vector<Request> handled() {
    const std::scoped_lock Lock(m_Mutex);
    return m_Handled;
  }

  bool m_WasReset = false;

private:
  /// A connection that is left open by mistake fails its test soon.
  static ServerLimits limits() {
    ServerLimits Limits;
    Limits.m_IdleTimeout = milliseconds(1000);
    return Limits;
  }

  asio::awaitable<void> handle(Request Incoming, Exchange &Caller) {
    {
      const std::scoped_lock Lock(m_Mutex);
      m_Handled.push_back(Incoming);
    }
    if (Incoming.path() != "/stream") {
      Response Answer;
      Answer.m_Body = Incoming.m_Body;
      co_await Caller.respond(std::move(Answer));
      co_return;
    }
    Response Head{200, {{"Content-Type", "text/plain"}}, ""};
    co_await Caller.beginStream(std::move(Head));
    co_await Caller.writeChunk("one ");
    co_await Caller.writeChunk("two");
    if (!Incoming.query("cut"))
      co_await Caller.endStream();
  }

  std::mutex m_Mutex;
  std::vector<Request> m_Handled;
  timers::EventLoop m_Loop;
  Server m_Server;
};

// Guards against a request that is hidden in the body of another one, whose end
// the head does not name: the host ran the outer request without a body and
// then the hidden one.
TEST_F(ServerFramingTest, RequestInABodyOfUnknownEndIsNotRead) {
  const std::string Start = "POST /outer HTTP/1.1\r\nHost: a\r\n";
  for (const std::string Fields :
       {"Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"}) {
    SCOPED_TRACE(Fields);
    std::string Message = Start;
    Message.append(Fields).append("\r\n").append(HiddenRequest);
    const std::string Answer = exchange(Message);
    EXPECT_TRUE(Answer.starts_with("HTTP/1.1 400 ")) << Answer;
    EXPECT_EQ(countOf(Answer, "HTTP/1.1 "), 1u) << Answer;
    EXPECT_NE(Answer.find("Connection: close"), std::string::npos);
  }
  EXPECT_TRUE(handled().empty());
}

// Guards against a coded body that is passed on as if it had no coding.
TEST_F(ServerFramingTest, CodingBesideChunkedIsNotSupported) {
  for (const std::string Fields :
       {"Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"}) {
    SCOPED_TRACE(Fields);
    std::string Message = "POST /outer HTTP/1.1\r\nHost: a\r\n";
    Message.append(Fields).append("\r\n2\r\nok\r\n0\r\n\r\n");
    EXPECT_TRUE(exchange(Message).starts_with("HTTP/1.1 501 "));
  }
  EXPECT_TRUE(handled().empty());
}

// Guards against chunks of a caller whose version has none.
TEST_F(ServerFramingTest, ChunksOfHttp10AreRejected) {
  const std::string Answer =
      exchange("POST /outer HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
               HiddenRequest);
  EXPECT_TRUE(Answer.starts_with("HTTP/1.1 400 ")) << Answer;
  EXPECT_TRUE(handled().empty());
}

// Guards against fields behind a body that count as fields of the head: they
// could name another model, deadline or id for the request.
TEST_F(ServerFramingTest, TrailerIsNoPartOfTheHead) {
  const std::string Answer =
      exchange("POST /outer HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
               "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
               "X-Added: 1\r\n\r\n");
  EXPECT_TRUE(Answer.starts_with("HTTP/1.1 200 ")) << Answer;
  ASSERT_EQ(handled().size(), 1u);
  EXPECT_EQ(handled().front().m_Body, "ok");
  EXPECT_FALSE(handled().front().m_Headers.find("X-Added"));
}

// Guards against a framing that is turned away although its end is plain.
TEST_F(ServerFramingTest, PlainFramingsAreServed) {
  const std::string Start =
      "POST /outer HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
  for (const std::string Rest :
       {"Content-Length: 2\r\n\r\nok", "Content-Length: 2, 2\r\n\r\nok",
        "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        "Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n"}) {
    std::string Message = Start;
    const std::string Answer = exchange(Message.append(Rest));
    EXPECT_TRUE(Answer.starts_with("HTTP/1.1 200 ")) << Answer;
    EXPECT_TRUE(Answer.ends_with("\r\n\r\nok")) << Answer;
  }
}

// Guards against a body that never comes: its caller waits for the interim
// answer that it has asked for.
TEST_F(ServerFramingTest, CallerIsAskedForTheBodyItHoldsBack) {
  asio::io_context Context;
  tcp::socket Socket(Context);
  Socket.connect({asio::ip::address_v4::loopback(), port()});
  asio::write(Socket,
              asio::buffer(std::string_view(
                  "POST /outer HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                  "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")));
  std::string Received;
  boost::system::error_code Error;
  asio::read_until(Socket, asio::dynamic_buffer(Received), "\r\n\r\n", Error);
  EXPECT_EQ(Received, "HTTP/1.1 100 Continue\r\n\r\n");
  asio::write(Socket, asio::buffer(std::string_view("ok")), Error);
  asio::read(Socket, asio::dynamic_buffer(Received), Error);
  EXPECT_TRUE(Received.ends_with("\r\n\r\nok")) << Received;
}

// Guards against chunks that reach a caller whose version has none: it takes
// their lengths for a part of the body.
TEST_F(ServerFramingTest, Http10CallerGetsABodyThatEndsWithTheConnection) {
  const std::string Whole = exchange("GET /stream HTTP/1.0\r\nHost: a\r\n"
                                     "Connection: keep-alive\r\n\r\n");
  EXPECT_TRUE(Whole.ends_with("\r\n\r\none two")) << Whole;
  EXPECT_EQ(Whole.find("Transfer-Encoding"), std::string::npos);
  EXPECT_NE(Whole.find("Connection: close"), std::string::npos);
  EXPECT_FALSE(m_WasReset);
}

// Guards against a cut body that looks complete to such a caller.
TEST_F(ServerFramingTest, CutBodyOfHttp10IsReset) {
  const std::string Cut =
      exchange("GET /stream?cut HTTP/1.0\r\nHost: a\r\n\r\n");
  EXPECT_EQ(Cut.find("Transfer-Encoding"), std::string::npos);
  EXPECT_TRUE(m_WasReset);
}

// Guards against a body behind the answer to a HEAD request, which the caller
// takes for the next answer.
TEST_F(ServerFramingTest, AnswerToHeadHasNoBody) {
  const std::string Next =
      "GET /outer HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Content-Length: 2\r\n\r\nok";
  for (const std::string Head :
       {"HEAD /stream HTTP/1.1\r\nHost: a\r\n\r\n",
        "HEAD /outer HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"}) {
    SCOPED_TRACE(Head);
    const std::string Answers = exchange(Head + Next);
    const auto HeadEnd = Answers.find("\r\n\r\n");
    ASSERT_NE(HeadEnd, std::string::npos);
    EXPECT_EQ(Answers.substr(HeadEnd + 4, 12), "HTTP/1.1 200") << Answers;
    EXPECT_EQ(countOf(Answers, "HTTP/1.1 200"), 2u) << Answers;
  }
}

} // namespace
} // namespace sff::http
