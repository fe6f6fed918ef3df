#include "Net/Http/Framing.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace sff::http {
namespace {

namespace bhttp = boost::beast::http;

constexpr auto UnknownEnd = FramingFault::UnknownEnd;
constexpr auto Unsupported = FramingFault::UnsupportedCoding;

struct FramingCase {
  Headers m_Fields;
  Framing m_InRequest;
  Framing m_InAnswer;
};

std::string textOf(const Headers &Fields) {
  std::string Text;
  for (const Header &Field : Fields.items())
    Text.append(Field.m_Name).append(": ").append(Field.m_Value).append("\r\n");
  return Text;
}

// Guards against a body whose end the host takes for another one than its
// sender or its next recipient: bytes of it would be read as a message.
TEST(FramingTest, HeadSaysWhatEndsTheBody) {
  const std::string Coding = "Transfer-Encoding";
  const std::string Length = "Content-Length";
  const std::vector<FramingCase> Cases = {
      {{}, BodyEnd::Head, BodyEnd::Connection},
      {{{Length, "0"}}, BodyEnd::Length, BodyEnd::Length},
      {{{"content-length", "12"}}, BodyEnd::Length, BodyEnd::Length},
      {{{Length, "5"}, {Length, "5"}}, BodyEnd::Length, BodyEnd::Length},
      {{{Length, "5, 5"}}, BodyEnd::Length, BodyEnd::Length},
      {{{Length, "5"}, {Length, "6"}}, UnknownEnd, UnknownEnd},
      {{{Length, "5, 6"}}, UnknownEnd, UnknownEnd},
      {{{Length, ""}}, UnknownEnd, UnknownEnd},
      {{{Length, "-1"}}, UnknownEnd, UnknownEnd},
      {{{Length, "+1"}}, UnknownEnd, UnknownEnd},
      {{{Length, "1x"}}, UnknownEnd, UnknownEnd},
      {{{Length, "0x10"}}, UnknownEnd, UnknownEnd},
      {{{Length, "99999999999999999999"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "chunked"}}, BodyEnd::LastChunk, BodyEnd::LastChunk},
      {{{Coding, " Chunked "}}, BodyEnd::LastChunk, BodyEnd::LastChunk},
      {{{Coding, "gzip, chunked"}}, Unsupported, Unsupported},
      {{{Coding, "gzip"}, {Coding, "chunked"}}, Unsupported, Unsupported},
      {{{Coding, "identity"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "gzip"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "xchunked"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "chunked;q=1"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "\"chunked\""}}, UnknownEnd, UnknownEnd},
      {{{Coding, "chunked, identity"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "chunked"}, {Coding, "identity"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "chunked, chunked"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "chunked,"}}, UnknownEnd, UnknownEnd},
      {{{Coding, ",chunked"}}, Unsupported, Unsupported},
      {{{Coding, ""}}, UnknownEnd, UnknownEnd},
      {{{Coding, "chunked"}, {Length, "5"}}, UnknownEnd, UnknownEnd},
      {{{Length, "5"}, {Coding, "chunked"}}, UnknownEnd, UnknownEnd},
      {{{Coding, "identity"}, {Length, "5"}}, UnknownEnd, UnknownEnd},
  };
  for (const FramingCase &Case : Cases) {
    SCOPED_TRACE(textOf(Case.m_Fields));
    EXPECT_EQ(requestFraming(Case.m_Fields, HttpVersion::Http11),
              Case.m_InRequest);
    EXPECT_EQ(responseFraming(Case.m_Fields, HttpVersion::Http11, 200, "GET"),
              Case.m_InAnswer);
  }
}

// Guards against chunks in a message of a version that has none, behind which a
// recipient of that version reads another body.
TEST(FramingTest, Http10HasNoTransferCodings) {
  const Headers Chunked = {{"Transfer-Encoding", "chunked"}};
  EXPECT_EQ(requestFraming(Chunked, HttpVersion::Http10), Framing(UnknownEnd));
  EXPECT_EQ(responseFraming(Chunked, HttpVersion::Http10, 200, "GET"),
            Framing(UnknownEnd));
  const Headers Sized = {{"Content-Length", "5"}};
  EXPECT_EQ(requestFraming(Sized, HttpVersion::Http10),
            Framing(BodyEnd::Length));
}

// Guards against a wait for a body that never comes.
TEST(FramingTest, AnswersWithoutABody) {
  const Headers Sized = {{"Content-Length", "5"}};
  for (const int Status : {100, 101, 103, 204, 304})
    EXPECT_EQ(responseFraming(Sized, HttpVersion::Http11, Status, "GET"),
              Framing(BodyEnd::Head))
        << Status;
  EXPECT_EQ(responseFraming(Sized, HttpVersion::Http11, 200, "HEAD"),
            Framing(BodyEnd::Head));
  EXPECT_EQ(responseFraming({}, HttpVersion::Http11, 200, "HEAD"),
            Framing(BodyEnd::Head));
}

TEST(FramingTest, SwitchOfProtocolsIsNoInterimAnswer) {
  EXPECT_TRUE(isInterim(100));
  EXPECT_TRUE(isInterim(103));
  EXPECT_FALSE(isInterim(101));
  EXPECT_FALSE(isInterim(200));
}

/// Fields that concern framing, in all orders and spellings that a peer may
/// choose.
rc::Gen<Headers> framingFields() {
  const std::vector<Header> Fields = {{"Transfer-Encoding", "chunked"},
                                      {"Transfer-Encoding", "identity"},
                                      {"transfer-encoding", "CHUNKED"},
                                      {"Transfer-Encoding", "gzip, chunked"},
                                      {"Transfer-Encoding", "gzip"},
                                      {"Transfer-Encoding", ""},
                                      {"Transfer-Encoding", "chunked;a=b"},
                                      {"Content-Length", "5"},
                                      {"content-length", "5,5"},
                                      {"Content-Length", "6"},
                                      {"Content-Length", "x"},
                                      {"Connection", "close"},
                                      {"A", "b"}};
  const auto Field = rc::gen::elementOf(Fields);
  return rc::gen::map(rc::gen::container<std::vector<Header>>(Field),
                      [](const std::vector<Header> &Items) {
                        Headers Result;
                        for (const Header &Item : Items)
                          Result.add(Item.m_Name, Item.m_Value);
                        return Result;
                      });
}

template <bool IsRequest>
void checkParserAgrees(const std::string &Start, const Headers &Fields,
                       const Framing &Expected) {
  const auto *End = std::get_if<BodyEnd>(&Expected);
  if (!End)
    return;
  bhttp::parser<IsRequest, bhttp::string_body> Parser;
  boost::system::error_code Error;
  const std::string Text = Start + textOf(Fields) + "\r\n";
  Parser.put(boost::asio::buffer(Text), Error);
  RC_ASSERT(!Error || Error == bhttp::error::need_more);
  RC_ASSERT(Parser.is_header_done());
  RC_ASSERT(Parser.chunked() == (*End == BodyEnd::LastChunk));
  RC_ASSERT(Parser.content_length().has_value() == (*End == BodyEnd::Length));
  RC_ASSERT(Parser.need_eof() == (*End == BodyEnd::Connection));
}

// Guards against a head that is accepted and of which the parser of the library
// reads another body than the one that was decided on.
RC_GTEST_PROP(FramingProperty, ParserReadsTheBodyThatTheHeadNames, ()) {
  const Headers Fields = *framingFields();
  checkParserAgrees<true>("POST / HTTP/1.1\r\n", Fields,
                          requestFraming(Fields, HttpVersion::Http11));
}

RC_GTEST_PROP(FramingProperty, ParserReadsTheAnswerThatTheHeadNames, ()) {
  const Headers Fields = *framingFields();
  checkParserAgrees<false>(
      "HTTP/1.1 200 OK\r\n", Fields,
      responseFraming(Fields, HttpVersion::Http11, 200, "GET"));
}

// Guards against a folded line that is not found, and against blanks behind the
// head that are taken for one.
TEST(FramingTest, FoldedLinesAreFoundInTheHeadOnly) {
  for (const std::string Folded :
       {"A: b\r\n c", "A: b\r\n\tc: d\r\n\r\n", "A: b\r\n \r\n\r\n",
        "HTTP/1.1 200 OK\r\n A: b\r\n\r\n"}) {
    SCOPED_TRACE(Folded);
    EXPECT_TRUE(hasFoldedLine(Folded));
  }
  for (const std::string Sound :
       {"", "A: b\r\n", "A: b \r\nC:\td\r\n\r\n", "\r\n body",
        "A: b\r\n\r\n\tbody", "A: b\r\n\r\nbody\r\n body"}) {
    SCOPED_TRACE(Sound);
    EXPECT_FALSE(hasFoldedLine(Sound));
  }
}

/// Returns whether the client's way to read a head refuses \p Head if it
/// arrives in pieces that begin at \p Cuts.
bool isRefused(const std::string &Head, std::set<std::size_t> Cuts) {
  Cuts.insert(Head.size());
  bhttp::response_parser<bhttp::string_body> Parser;
  std::string Received;
  std::size_t At = 0;
  for (const std::size_t Cut : Cuts) {
    Received += Head.substr(At, Cut - At);
    At = Cut;
    if (Received.empty())
      continue;
    if (hasFoldedLine(Received))
      return true;
    boost::system::error_code Error;
    Received.erase(0, Parser.put(boost::asio::buffer(Received), Error));
    if (Error && Error != bhttp::error::need_more)
      return true;
    if (Parser.is_header_done())
      return false;
  }
  return true;
}

// Guards against a folded line that is not found because the parser has taken
// the line before it already: where the bytes of a head are split must not
// matter.
RC_GTEST_PROP(FramingProperties, FoldedLineDoesNotDependOnTheSplit, ()) {
  const auto Line = *rc::gen::elementOf(std::vector<std::string>{
      " Content-Length: 2", "\tX: y", " ", "X: y", "X: \ty ", "X:"});
  const std::string Head =
      "HTTP/1.1 200 OK\r\nA: b\r\n" + Line + "\r\nContent-Length: 2\r\n\r\n \t";
  const auto Cuts = *rc::gen::container<std::set<std::size_t>>(
      rc::gen::inRange(std::size_t(1), Head.size()));
  const bool IsFolded = Line.starts_with(' ') || Line.starts_with('\t');
  RC_ASSERT(isRefused(Head, Cuts) == IsFolded);
}

} // namespace
} // namespace sff::http
