#include "Core/Serving/ByteBudget.h"

#include <gtest/gtest.h>

#include <optional>

namespace sff::serving {
namespace {

constexpr std::size_t Large = 10 * ByteBudget::SmallBytes;

// Guards against many bodies without end that fill the memory of the host
// together, each below the limit of a single one.
TEST(ByteBudgetTest, LargeBodiesShareTheBudget) {
  ByteBudget Budget(2 * Large);
  ByteBudget::Share First(Budget);
  ByteBudget::Share Second(Budget);
  EXPECT_TRUE(First.resize(Large));
  EXPECT_TRUE(Second.resize(Large));
  EXPECT_FALSE(Second.resize(Large + 1));
  EXPECT_EQ(Budget.used(), 2 * Large);
}

// Guards against small answers of sound endpoints that are thrown away because
// a faulty one has used the budget up.
TEST(ByteBudgetTest, SmallBodiesAlwaysFit) {
  ByteBudget Budget(Large);
  ByteBudget::Share Faulty(Budget);
  ASSERT_TRUE(Faulty.resize(Large));
  ByteBudget::Share Sound(Budget);
  EXPECT_TRUE(Sound.resize(ByteBudget::SmallBytes));
  EXPECT_FALSE(Sound.resize(ByteBudget::SmallBytes + 1));
}

// Guards against a budget that shrinks with each body.
TEST(ByteBudgetTest, EndedBodiesGiveTheirShareBack) {
  ByteBudget Budget(Large);
  for (int Body = 0; Body < 3; ++Body) {
    std::optional<ByteBudget::Share> Share(std::in_place, Budget);
    EXPECT_TRUE(Share->resize(Large));
    EXPECT_FALSE(Share->resize(2 * Large));
    EXPECT_TRUE(Share->resize(Large / 2));
    EXPECT_EQ(Budget.used(), Large / 2);
    Share.reset();
    EXPECT_EQ(Budget.used(), 0u);
  }
}

} // namespace
} // namespace sff::serving
