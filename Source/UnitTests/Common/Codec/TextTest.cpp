#include "Common/Codec/Text.h"

#include <gtest/gtest.h>

namespace sff::codec {
namespace {

// Guards against a name that is taken for text though no JSON can carry it, and
// against the rejection of names outside ASCII.
TEST(TextTest, TellsUtf8FromOtherBytes) {
  for (const std::string_view Valid :
       {"", "a", "m1/a-2", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80"})
    EXPECT_TRUE(isUtf8(Valid)) << Valid;
  for (const std::string_view Invalid :
       {"\xff", "a\xff", "\xc3", "\xc3z", "\x80", "\xc0\xaf", "\xe2\x82",
        "\xed\xa0\x80", "\xf4\x90\x80\x80"})
    EXPECT_FALSE(isUtf8(Invalid)) << Invalid;
}

// Guards against an exception on the way to another process for bytes that a
// caller has sent.
TEST(TextTest, OtherBytesAreReplaced) {
  EXPECT_EQ(toJsonText({{"id", "r\xff"}}), "{\"id\":\"r\xef\xbf\xbd\"}");
  EXPECT_EQ(toJsonText({{"\xff", 1}}), "{\"\xef\xbf\xbd\":1}");
}

} // namespace
} // namespace sff::codec
