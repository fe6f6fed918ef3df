#include "Core/Serving/OrderPacing.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

const Instant Start{std::chrono::seconds(1000)};
const EndpointId Endpoint("e1");

/// Orders that are rejected while endpoints take \p Taken to unload a model.
int rejectionsOf(OrderPacing &Pacing, Duration Taken, int Unloads) {
  int Rejections = 0;
  for (int Index = 0; Index < Unloads; ++Index) {
    Pacing.onUnloadAccepted(Endpoint, false, false, Start);
    const bool WasAccepted = Pacing.readyAt(Endpoint) >= Start + Taken;
    Rejections += WasAccepted ? 0 : 1;
    Pacing.onNextOrder(Endpoint, WasAccepted);
    // The report then shows when the endpoint is idle.
    EXPECT_EQ(Pacing.needsReport(Endpoint), !WasAccepted);
    Pacing.onNextOrder(Endpoint, true);
  }
  return Rejections;
}

// Guards against load orders that were repeated every 40 ms while the endpoint
// carried out the unload before: half of all orders were rejected.
TEST(OrderPacingTest, NextOrderWaitsForTheUsualTimeOfAnUnload) {
  OrderPacing Pacing;
  EXPECT_EQ(Pacing.readyAt(Endpoint), Instant());
  EXPECT_LE(rejectionsOf(Pacing, milliseconds(70), 200), 12);
  EXPECT_LE(rejectionsOf(Pacing, milliseconds(100), 200), 14);
  // The wait follows the endpoints when they are faster again.
  EXPECT_LE(rejectionsOf(Pacing, milliseconds(45), 200), 10);
  Pacing.onUnloadAccepted(Endpoint, false, false, Start);
  EXPECT_LE(Pacing.readyAt(Endpoint), Start + milliseconds(70));
}

// Guards against orders to endpoints that still serve requests of the model
// that they unload.
TEST(OrderPacingTest, FewOrdersAreRejectedIfRequestsRun) {
  OrderPacing Pacing;
  int Rejections = 0;
  int Orders = 0;
  for (int Index = 0; Index < 500; ++Index) {
    // Every third unload waits for a request, which is not known before.
    const bool IsBusy = Index % 3 == 0;
    Pacing.onNextOrder(Endpoint, true);
    Pacing.onUnloadAccepted(Endpoint, false, true, Start);
    if (!Pacing.needsReport(Endpoint) && IsBusy) {
      ++Rejections;
      ++Orders;
      Pacing.onNextOrder(Endpoint, false);
      EXPECT_TRUE(Pacing.needsReport(Endpoint));
    }
    Pacing.onNextOrder(Endpoint, true);
    EXPECT_FALSE(Pacing.needsReport(Endpoint));
    Orders += 2;
  }
  EXPECT_GT(Rejections, 0);
  EXPECT_LT(Rejections, Orders / 20);
}

// Guards against repeating an order that conflicts with one of another holder.
TEST(OrderPacingTest, ReportIsReadAfterAnUnexpectedConflict) {
  OrderPacing Pacing;
  Pacing.onNextOrder(Endpoint, false);
  EXPECT_TRUE(Pacing.needsReport(Endpoint));
}

// Guards against an order that is sent by a report from before the unload, and
// against waiting for an endpoint that has restarted.
TEST(OrderPacingTest, ReportMustShowTheLatestOrder) {
  const auto ReadinessOf = [](bool IsRunning, std::int64_t Accepted) {
    return OrderPacing::readiness({IsRunning, Accepted}, 5);
  };
  EXPECT_EQ(ReadinessOf(false, 5), OrderReadiness::Ready);
  EXPECT_EQ(ReadinessOf(true, 5), OrderReadiness::Busy);
  EXPECT_EQ(ReadinessOf(false, 4), OrderReadiness::Busy);
  EXPECT_EQ(ReadinessOf(false, 6), OrderReadiness::OtherOrders);
  EXPECT_EQ(ReadinessOf(false, 0), OrderReadiness::OtherOrders);
}

// Guards against many reads, which are priced as orders, while long requests
// run.
TEST(OrderPacingTest, ReportsAreReadLessOftenTheLongerAnUnloadTakes) {
  EXPECT_EQ(OrderPacing::reportDelay(1), milliseconds(40));
  EXPECT_EQ(OrderPacing::reportDelay(20), milliseconds(120));
}

} // namespace
} // namespace sff::serving
