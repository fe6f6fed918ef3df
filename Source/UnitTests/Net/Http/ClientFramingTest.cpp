#include "Net/Http/Client.h"
#include "Net/Http/ScriptedServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace sff::http {
namespace {

using test::Delivery;
using test::ScriptedServer;

const std::string Sized = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string concat(std::initializer_list<std::string_view> Pieces) {
  std::string Text;
  for (const std::string_view Piece : Pieces)
    Text.append(Piece);
  return Text;
}

/// Sends requests one after the other and returns the results.
std::vector<SendResult> exchange(const std::vector<std::string> &Answers,
                                 const std::string &Method = "GET",
                                 Delivery How = Delivery::Whole) {
  ScriptedServer Endpoint(Answers, How);
  boost::asio::io_context Context;
  Client Caller(Context.get_executor());
  std::vector<SendResult> Results;
  ClientOptions Options;
  Options.m_ReadTimeout = milliseconds(1000);
  Request Message;
  Message.m_Method = Method;
  boost::asio::co_spawn(
      Context,
      [&]() -> boost::asio::awaitable<void> {
        for (std::size_t Call = 0; Call < Answers.size(); ++Call)
          Results.push_back(
              co_await Caller.send(Endpoint.address(), Message, Options));
        Caller.dropIdle(Endpoint.address());
      },
      boost::asio::detached);
  Context.run();
  return Results;
}

void expectBody(const SendResult &Result, const std::string &Body) {
  const auto *Answer = std::get_if<Response>(&Result);
  ASSERT_TRUE(Answer) << std::get<TransportFailure>(Result).m_Detail;
  EXPECT_EQ(Answer->m_Status, 200);
  EXPECT_EQ(Answer->m_Body, Body);
}

/// Expects that the client has refused an answer by what it says, and has not
/// waited for more of it.
void expectRefused(const SendResult &Result) {
  const auto *Failure = std::get_if<TransportFailure>(&Result);
  ASSERT_TRUE(Failure);
  EXPECT_FALSE(Failure->m_TimedOut) << Failure->m_Detail;
}

// Guards against an interim answer that counts as the answer to the request:
// its caller got an error, and the final answer was left on the connection.
TEST(ClientFramingTest, InterimAnswersAreSkipped) {
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n"
                              "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  for (const SendResult &Result :
       exchange({Interim + Sized, Sized, Interim + Sized}))
    expectBody(Result, "ok");
}

// Guards against interim answers without end.
TEST(ClientFramingTest, InterimAnswersAreBounded) {
  std::string Answer;
  for (int Count = 0; Count < 100; ++Count)
    Answer += "HTTP/1.1 100 Continue\r\n\r\n";
  EXPECT_TRUE(std::holds_alternative<TransportFailure>(
      exchange({Answer + Sized}).front()));
}

// Guards against a connection that is used again after its endpoint has begun
// to speak another protocol on it.
TEST(ClientFramingTest, SwitchOfProtocolsIsAFailure) {
  const std::string Answer = "HTTP/1.1 101 Switching Protocols\r\n"
                             "Connection: upgrade\r\nUpgrade: x\r\n\r\n";
  EXPECT_TRUE(
      std::holds_alternative<TransportFailure>(exchange({Answer}).front()));
}

// Guards against a wait for the body of an answer that has none, and against a
// body that is taken from the next answer.
TEST(ClientFramingTest, AnswerToHeadHasNoBody) {
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n";
  for (const SendResult &Result : exchange({Answer, Answer}, "HEAD"))
    expectBody(Result, "");
}

// Guards against a coded body that is passed on as if it had no coding, and
// against one whose end the endpoint sees elsewhere.
TEST(ClientFramingTest, AnswerOfUnknownFramingIsAFailure) {
  for (const std::string Fields :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 2\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nContent-Length: 3\r\n"}) {
    SCOPED_TRACE(Fields);
    const std::string Answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n" +
                               Fields + "\r\n2\r\nok\r\n0\r\n\r\n";
    EXPECT_TRUE(
        std::holds_alternative<TransportFailure>(exchange({Answer}).front()));
  }
  const std::string Chunks10 = "HTTP/1.0 200 OK\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "2\r\nok\r\n0\r\n\r\n";
  EXPECT_TRUE(
      std::holds_alternative<TransportFailure>(exchange({Chunks10}).front()));
}

// Guards against bytes that are no status code and are passed on as one: an
// endpoint in trouble answers with 000.
TEST(ClientFramingTest, StatusOutsideTheValidRangeIsAFailure) {
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::string Status :
       {"000", "001", "099", "600", "700", "999", "1000", "20", "2x0", "-20"})
    for (const std::string &Before : {std::string(), Interim})
      for (const std::string Body :
           {"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok",
            "Transfer-Encoding: chunked\r\n\r\n"
            "2\r\nok\r\n0\r\n\r\n"}) {
        SCOPED_TRACE(concat({Before, Status, " ", Body}));
        const std::string Answer =
            concat({Before, "HTTP/1.1 ", Status, " Answer\r\n", Body});
        expectRefused(exchange({Answer}).front());
      }
}

// Guards against a check of the status that refuses valid codes which are not
// registered.
TEST(ClientFramingTest, UnregisteredStatusIsAnAnswer) {
  for (const int Status : {200, 299, 418, 499, 500, 599}) {
    SCOPED_TRACE(Status);
    const auto Results = exchange({"HTTP/1.1 " + std::to_string(Status) +
                                   " Answer\r\nContent-Length: 0\r\n\r\n"});
    const auto *Answer = std::get_if<Response>(&Results.front());
    ASSERT_TRUE(Answer);
    EXPECT_EQ(Answer->m_Status, Status);
  }
}

/// Lines whose field has a name with a blank, a control byte or another byte
/// that no name may have, or no name.
std::vector<std::string> linesWithBadNames() {
  std::vector<std::string> Lines = {
      "X Added: 1",
      "X\tAdded: 1",
      "X-Added : 1",
      "X-Added\t: 1",
      " X-Added: 1",
      "\tX-Added: 1",
      " \t X-Added: 1",
      " : 1",
      " X-Added",
      ": 1",
      "X-Added",
      "X-Added\r: 1",
      "\vX-Added: 1",
      "X\x01-Added: 1",
      "X\x1f-Added: 1",
      "X\x7f-Added: 1",
      "X\x80-Added: 1",
      "Content Length: 2",
      "Content-Length : 2",
      "Content-\x01Length: 2",
      " Content-Length: 2",
      "\tContent-Length: 2",
      "Transfer-Encoding : chunked",
      " Transfer-Encoding: chunked",
      "X-Added\x01" + std::string(100 * 1024, 'a') + ": 1",
      std::string(100 * 1024, 'a') + " : 1",
      std::string(100 * 1024, 'a') + ": 1",
  };
  Lines.push_back(std::string("X\0Added: 1", 10));
  return Lines;
}

std::string shorten(const std::string &Line) { return Line.substr(0, 40); }

// Guards against an answer with a line that is no field: it is passed on as a
// part of another field, or the endpoint means another body than the client.
TEST(ClientFramingTest, FieldWithABadNameIsAFailure) {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Length = "Content-Length: 2\r\n";
  for (const std::string &Line : linesWithBadNames()) {
    SCOPED_TRACE(shorten(Line));
    const std::string Field = Line + "\r\n";
    for (const std::string &Answer :
         {concat({Head, Field, Length, "\r\nok"}),
          concat({Head, "X-First: 1\r\n", Field, Length, "\r\nok"}),
          concat({Head, Length, Field, "\r\nok"}),
          concat({Head, Length, "X-First: 1\r\n", Field, "\r\nok"}),
          concat({"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n", Field, "\r\n",
                  Sized})})
      expectRefused(exchange({Answer}).front());
  }
}

// Guards against the same in an answer that arrives byte by byte.
TEST(ClientFramingTest, FieldWithABadNameIsAFailureInPieces) {
  for (const std::string Line :
       {" Content-Length: 2", "\tX-Added: 1", "X Added: 1", "X-Added : 1"}) {
    SCOPED_TRACE(Line);
    const std::string Answer =
        concat({"HTTP/1.1 200 OK\r\nX-First: 1\r\n", Line,
                "\r\nContent-Length: 2\r\n\r\nok"});
    expectRefused(exchange({Answer}, "GET", Delivery::ByteByByte).front());
  }
}

// Guards against the same behind a chunked body.
TEST(ClientFramingTest, TrailerWithABadNameIsAFailure) {
  const std::string Body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n2\r\nok\r\n0\r\n";
  for (const std::string Line : {" X-Added: 1", "X Added: 1", "X-Added : 1",
                                 "X\x01-Added: 1", ": 1", "X-Added"}) {
    SCOPED_TRACE(Line);
    expectRefused(exchange({concat({Body, Line, "\r\n\r\n"})}).front());
  }
}

// Guards against blanks that are taken for a part of a name: those around a
// value, and a body that begins with one.
TEST(ClientFramingTest, BlanksElsewhereAreNoFault) {
  const std::string Answer = "HTTP/1.1 200 OK\r\nX-Padded: \t a \t\r\n"
                             "X-Empty: \r\nContent-Length:2\r\n\r\n \t";
  for (const Delivery How : {Delivery::Whole, Delivery::ByteByByte})
    for (const SendResult &Result : exchange({Answer, Answer}, "GET", How)) {
      expectBody(Result, " \t");
      EXPECT_EQ(std::get<Response>(Result).m_Headers.view("X-Padded"), "a");
    }
}

// Guards against fields behind a body that count as fields of the head.
TEST(ClientFramingTest, TrailerIsNoPartOfTheHead) {
  const auto Results =
      exchange({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\nX-Added: 1\r\n\r\n"});
  expectBody(Results.front(), "ok");
  EXPECT_FALSE(std::get<Response>(Results.front()).m_Headers.find("X-Added"));
}

} // namespace
} // namespace sff::http
