#include "Net/Http/Body.h"

#include <gtest/gtest.h>

namespace sff::http {
namespace {

struct Message {
  std::int64_t m_Count = 0;

  static constexpr auto describe() {
    return std::make_tuple(codec::field("count", &Message::m_Count));
  }
};

constexpr auto Part = log::Category::Http;

// Guards against an answer of another type that ends the caller's coroutine by
// an exception: the host then never asked for the model again.
TEST(BodyTest, ValueOfAnotherTypeIsNothing) {
  EXPECT_EQ(parseBody<Message>(R"({"count":3})", Part)->m_Count, 3);
  EXPECT_FALSE(parseBody<Message>(R"({"count":"three"})", Part));
  EXPECT_FALSE(parseBody<Message>("[]", Part));
  EXPECT_FALSE(parseBody<Message>("{", Part));
}

// Guards against the body of a failure that is taken for an answer.
TEST(BodyTest, OnlyAWholeSuccessIsRead) {
  Response Answer;
  Answer.m_Body = R"({"count":3})";
  EXPECT_TRUE(parseAnswer<Message>(Answer, Part));
  Answer.m_Status = 503;
  EXPECT_FALSE(parseAnswer<Message>(Answer, Part));
  EXPECT_FALSE(parseAnswer<Message>(TransportFailure{}, Part));
}

} // namespace
} // namespace sff::http
