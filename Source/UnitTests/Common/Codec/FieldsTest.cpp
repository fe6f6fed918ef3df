#include "Common/Codec/Codec.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace sff::codec {
namespace {

struct Numbers {
  std::int64_t m_Time = 0;
  std::uint32_t m_Small = 0;
  std::optional<int> m_Optional;
  std::vector<int> m_List;
  std::chrono::milliseconds m_Duration{0};
  double m_Real = 0;

  static constexpr auto describe() {
    return std::make_tuple(field("time", &Numbers::m_Time),
                           field("small", &Numbers::m_Small),
                           field("optional", &Numbers::m_Optional),
                           field("list", &Numbers::m_List),
                           field("duration", &Numbers::m_Duration),
                           field("real", &Numbers::m_Real));
  }
};

class NumberOutOfRangeTest : public ::testing::TestWithParam<const char *> {};

// Guards against a number of another host that is cast to a field which cannot
// hold it: undefined for a real number, another value for a whole one.
TEST_P(NumberOutOfRangeTest, IsRejected) {
  const auto Input = nlohmann::json::parse(GetParam());
  EXPECT_THROW(Input.get<Numbers>(), nlohmann::json::exception);
}

INSTANTIATE_TEST_SUITE_P(
    All, NumberOutOfRangeTest,
    ::testing::Values(R"({"time":4e39})", R"({"time":-4e39})",
                      R"({"time":9223372036854775808})", R"({"time":9.3e18})",
                      R"({"small":-1})", R"({"small":4294967296})",
                      R"({"optional":1e10})", R"({"list":[1,1e10]})",
                      R"({"duration":1e20})"));

// Guards against messages that are rejected although each field can hold its
// number.
TEST(NumberTest, InRangeIsRead) {
  const auto Read = nlohmann::json::parse(
                        R"({"time":-9223372036854775808,"small":4294967295,
                            "optional":null,"list":[1,2],"duration":7,
                            "real":1e300})")
                        .get<Numbers>();
  EXPECT_EQ(Read.m_Time, std::numeric_limits<std::int64_t>::min());
  EXPECT_EQ(Read.m_Small, 4294967295U);
  EXPECT_FALSE(Read.m_Optional);
  EXPECT_EQ(Read.m_List, (std::vector<int>{1, 2}));
  EXPECT_EQ(Read.m_Duration, std::chrono::milliseconds(7));
  EXPECT_EQ(Read.m_Real, 1e300);
}

} // namespace
} // namespace sff::codec
