#include "Core/Serving/DemandRates.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};

// Guards against rates that stay high after the requests have stopped.
TEST(DemandRatesTest, RateDecaysWhenDemandStops) {
  DemandRates Rates{std::chrono::seconds(20)};
  for (int Second = 0; Second < 100; ++Second)
    Rates.add("m", 10, Start + std::chrono::seconds(Second));
  const Instant End = Start + std::chrono::seconds(100);
  EXPECT_NEAR(Rates.rate("m", End), 10, 1);
  EXPECT_LT(Rates.rate("m", End + std::chrono::seconds(100)), 0.2);
  EXPECT_EQ(Rates.rate("unknown", End), 0);
}

// Guards against models that are kept for good after their last request, while
// those in use must not lose their rate.
TEST(DemandRatesTest, ForgetsModelsThatAreNoLongerRequested) {
  constexpr int Models = 5000;
  DemandRates Rates{std::chrono::seconds(1)};
  for (int Second = 0; Second < Models; ++Second) {
    Rates.add("old" + std::to_string(Second), 1,
              Start + std::chrono::seconds(Second));
    Rates.add("used", 10, Start + std::chrono::seconds(Second));
  }
  const Instant End = Start + std::chrono::seconds(Models - 1);
  EXPECT_LE(Rates.size(), 100);
  EXPECT_GT(Rates.rate("used", End), 10);
  EXPECT_EQ(Rates.lastRequest("used"), End);
}

} // namespace
} // namespace sff::serving
