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

constexpr auto LogCategory = log::Category::Http;

// Guards against a response body of an unexpected type that ends the calling
// coroutine with an exception. The host then never requested the model again.
TEST(BodyTest, BodyOfAnotherTypeIsRejected) {
  EXPECT_EQ(parseBody<Message>(R"({"count":3})", LogCategory)->m_Count, 3);
  EXPECT_FALSE(parseBody<Message>(R"({"count":"three"})", LogCategory));
  EXPECT_FALSE(parseBody<Message>("[]", LogCategory));
  EXPECT_FALSE(parseBody<Message>("{", LogCategory));
}

// Guards against parsing the body of an error response as a result.
TEST(BodyTest, ParsesOnlySuccessfulResponses) {
  Response HttpResponse;
  HttpResponse.m_Body = R"({"count":3})";
  EXPECT_TRUE(parseResponse<Message>(HttpResponse, LogCategory));
  HttpResponse.m_Status = 503;
  EXPECT_FALSE(parseResponse<Message>(HttpResponse, LogCategory));
  EXPECT_FALSE(parseResponse<Message>(TransportFailure{}, LogCategory));
}

} // namespace
} // namespace sff::http
