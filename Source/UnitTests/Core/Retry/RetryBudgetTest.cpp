#include "Core/Retry/RetryBudget.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

using catalogue::TrafficClass;

// Guards against retries that multiply the load when every request fails.
TEST(RetryBudgetTest, RetriesStayWithinTheRatioWhenAllRequestsFail) {
  RetryBudget Budget(0.1, 10);
  int Retries = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    Budget.onRequest(TrafficClass::Batch);
    while (Budget.tryRetry(TrafficClass::Batch))
      ++Retries;
  }
  EXPECT_EQ(Retries, 101);
}

// Guards against batch failures that use up the interactive retries.
TEST(RetryBudgetTest, ClassesHaveSeparateBudgets) {
  RetryBudget Budget(0.1, 10);
  EXPECT_TRUE(Budget.tryRetry(TrafficClass::Batch));
  EXPECT_FALSE(Budget.tryRetry(TrafficClass::Batch));
  EXPECT_TRUE(Budget.tryRetry(TrafficClass::Interactive));
}

// Guards against a budget that accumulates without limit and then allows a
// burst of retries.
TEST(RetryBudgetTest, AccumulatedRetriesAreBounded) {
  RetryBudget Budget(0.1, 2);
  for (int Request = 0; Request < 1000; ++Request)
    Budget.onRequest(TrafficClass::Interactive);
  EXPECT_TRUE(Budget.tryRetry(TrafficClass::Interactive));
  EXPECT_TRUE(Budget.tryRetry(TrafficClass::Interactive));
  EXPECT_FALSE(Budget.tryRetry(TrafficClass::Interactive));
}

} // namespace
} // namespace sff::retry
