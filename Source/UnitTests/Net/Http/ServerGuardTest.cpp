#include "Net/Http/Server.h"
#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace sff::http {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t Kilobyte = 1024;

/// A server whose connections share a small memory. It answers with the body of
/// the request.
class GuardedServerTest : public ::testing::Test {
protected:
  void start(std::size_t MemoryBytes) {
    m_Memory.emplace(MemoryBytes);
    m_Server.emplace(m_Context, ServerLimits(),
                     [this](Request Incoming, Exchange &Caller) {
                       return answer(std::move(Incoming), Caller);
                     });
    ServerGuards Guards;
    Guards.m_Memory = &*m_Memory;
    Guards.m_IsRejectedByHead = [](const Request &Head) {
      return Head.path() == "/rejected";
    };
    m_Server->setGuards(std::move(Guards));
    m_Server->listen({"127.0.0.1", 0});
    m_Thread = std::thread([this] { m_Context.run(); });
  }

  void TearDown() override {
    m_Context.stop();
    m_Thread.join();
    m_Server.reset();
  }

  boost::asio::awaitable<void> answer(Request Incoming, Exchange &Caller) {
    ++m_Handled;
    if (Incoming.path() == "/wait")
      co_await awaitDisconnect(Caller);
    Response Answer;
    Answer.m_Status = Incoming.m_BodyUnread ? 404 : 200;
    Answer.m_Body = std::move(Incoming.m_Body);
    co_await Caller.respond(std::move(Answer));
  }

  /// Waits until the caller has left, for two seconds at most.
  boost::asio::awaitable<void> awaitDisconnect(Exchange &Caller) {
    Caller.onCallerDisconnect([this] { m_HasNoticedDisconnect = true; });
    for (int Wait = 0; Wait < 100 && !m_HasNoticedDisconnect; ++Wait)
      co_await timers::sleepFor(milliseconds(20));
  }

  tcp::socket connect() {
    tcp::socket Socket(m_ClientContext);
    Socket.connect({boost::asio::ip::address_v4::loopback(), m_Server->port()});
    return Socket;
  }

  static std::string readToEnd(tcp::socket &Socket) {
    std::string Bytes;
    error_code Error;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Bytes), Error);
    return Bytes;
  }

  /// Outlives the connections, which the context destroys.
  std::optional<serving::ClientMemory> m_Memory;
  boost::asio::io_context m_Context;
  boost::asio::io_context m_ClientContext;
  std::optional<Server> m_Server;
  std::thread m_Thread;
  std::atomic<int> m_Handled{0};
  std::atomic<bool> m_HasNoticedDisconnect{false};
};

// Guards against a reader within a memory limit that parses what comes in
// pieces in another way than what comes at once.
TEST_F(GuardedServerTest, RequestsInPiecesAreReadAsOnes) {
  start(1024 * Kilobyte);
  tcp::socket Socket = connect();
  const std::string Message =
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst"
      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n"
      "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Content-Length: 5\r\n\r\nthird";
  Socket.set_option(tcp::no_delay(true));
  for (const char Byte : Message)
    boost::asio::write(Socket, boost::asio::buffer(&Byte, 1));
  const std::string Answers = readToEnd(Socket);
  const auto First = Answers.find("first");
  const auto Second = Answers.find("second");
  EXPECT_LT(First, Second);
  EXPECT_LT(Second, Answers.find("third"));
  EXPECT_NE(Answers.find("third"), std::string::npos);
}

// Guards against the end of the process by an empty chunked body that comes in
// pieces: found by the fuzz target of the reader.
TEST_F(GuardedServerTest, EmptyChunkedBodyInPiecesIsRead) {
  start(1024 * Kilobyte);
  tcp::socket Socket = connect();
  Socket.set_option(tcp::no_delay(true));
  const std::string Head =
      "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Head));
  for (const char Byte : std::string("0\r\n\r\n")) {
    std::this_thread::sleep_for(milliseconds(20));
    boost::asio::write(Socket, boost::asio::buffer(&Byte, 1));
  }
  EXPECT_TRUE(readToEnd(Socket).starts_with("HTTP/1.1 200"));
}

// Guards against the rejection of a client that pauses, as on a link that loses
// packets, while there is memory for all.
TEST_F(GuardedServerTest, PauseWithinABodyIsAllowed) {
  start(1024 * Kilobyte);
  tcp::socket Socket = connect();
  const std::string Head = "POST /a HTTP/1.1\r\nHost: a\r\n"
                           "Connection: close\r\nContent-Length: 100000\r\n"
                           "\r\n";
  const std::string Half(50000, 'x');
  boost::asio::write(Socket, boost::asio::buffer(Head + Half));
  std::this_thread::sleep_for(serving::ClientMemory::StallTime +
                              milliseconds(200));
  boost::asio::write(Socket, boost::asio::buffer(Half));
  EXPECT_TRUE(readToEnd(Socket).starts_with("HTTP/1.1 200"));
}

// Guards against a body that is read, or waited for, although the head says
// that the request is rejected.
TEST_F(GuardedServerTest, RejectionByHeadComesBeforeTheBody) {
  start(1024 * Kilobyte);
  tcp::socket Socket = connect();
  const std::string Head = "POST /rejected HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 1000000\r\n\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Head));
  EXPECT_TRUE(readToEnd(Socket).starts_with("HTTP/1.1 404"));
}

// Guards against work that goes on for a client which has closed its connection
// after it had sent another request: the bytes of that one hid the close.
TEST_F(GuardedServerTest, CloseBehindTheNextRequestIsNoticed) {
  start(1024 * Kilobyte);
  const std::string Message =
      "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  {
    tcp::socket Socket = connect();
    boost::asio::write(Socket, boost::asio::buffer(Message.substr(0, 60)));
    std::this_thread::sleep_for(milliseconds(100));
    boost::asio::write(Socket, boost::asio::buffer(Message.substr(60)));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_FALSE(m_HasNoticedDisconnect);
  }
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_TRUE(m_HasNoticedDisconnect);
}

// Guards against a client that is taken for gone because it has sent its next
// request.
TEST_F(GuardedServerTest, NextRequestIsNoDisconnect) {
  start(1024 * Kilobyte);
  tcp::socket Socket = connect();
  const std::string Message =
      "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
      "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Content-Length: 5\r\n\r\nsecnd";
  boost::asio::write(Socket, boost::asio::buffer(Message));
  EXPECT_NE(readToEnd(Socket).find("secnd"), std::string::npos);
  EXPECT_FALSE(m_HasNoticedDisconnect);
}

// Guards against a request that is run although its client is told that it has
// not, and against one that waits for memory without end.
TEST_F(GuardedServerTest, RequestWithoutMemoryIsNotRun) {
  start(64 * Kilobyte);
  tcp::socket Socket = connect();
  const std::string Message = "POST /a HTTP/1.1\r\nHost: a\r\n"
                              "Content-Length: 100000\r\n\r\n" +
                              std::string(100000, 'x');
  error_code Error;
  boost::asio::write(Socket, boost::asio::buffer(Message), Error);
  const std::string Answer = readToEnd(Socket);
  EXPECT_TRUE(Answer.starts_with("HTTP/1.1 503"));
  EXPECT_NE(Answer.find("not_run"), std::string::npos);
  EXPECT_NE(Answer.find("Retry-After"), std::string::npos);
  EXPECT_EQ(m_Handled, 0);
}

} // namespace
} // namespace sff::http
