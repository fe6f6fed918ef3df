#include "Core/Serving/OrderLease.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Term{3000};

/// Makes a lease that was acquired at Start and renewed until \p Last.
OrderLease makeHeld(Instant Last, bool ChecksTokens = true) {
  OrderLease Lease(Term, ChecksTokens);
  for (Instant At = Start; At <= Last; At += Term / 3)
    Lease.onRenewed({At, 7, true}, At);
  return Lease;
}

// Guards against two active holders within one term: the previous holder may
// have sent orders just before its lease expired.
TEST(OrderLeaseTest, NewHolderWaitsOneTerm) {
  OrderLease Lease = makeHeld(Start);
  EXPECT_FALSE(Lease.tokenForOrder(Start + Term - milliseconds(1)));
  Lease = makeHeld(Start + Term);
  EXPECT_EQ(Lease.tokenForOrder(Start + Term), 7);
}

// Guards against orders from a holder that was paused for longer than its term.
TEST(OrderLeaseTest, PausedHolderMustRenewAndWaitOneTerm) {
  OrderLease Lease = makeHeld(Start + 2 * Term);
  const Instant ResumedAt = Start + 4 * Term;
  EXPECT_FALSE(Lease.tokenForOrder(ResumedAt));
  Lease.onRenewed({ResumedAt, 8, true}, ResumedAt);
  EXPECT_FALSE(Lease.tokenForOrder(ResumedAt + milliseconds(1)));
}

// Guards against a zone that cannot swap models during a store outage.
TEST(OrderLeaseTest, HolderWithoutStoreNeedsEndpointsThatCheckTokens) {
  OrderLease WithChecks = makeHeld(Start + 2 * Term, true);
  OrderLease WithoutChecks = makeHeld(Start + 2 * Term, false);
  const Instant Later = Start + 4 * Term;
  WithChecks.onStoreUnreachable(Later);
  WithoutChecks.onStoreUnreachable(Later);
  EXPECT_EQ(WithChecks.tokenForOrder(Later), 7);
  EXPECT_FALSE(WithoutChecks.tokenForOrder(Later));
}

// Guards against orders with a token that an endpoint has rejected.
TEST(OrderLeaseTest, RejectedTokenIsNotReused) {
  OrderLease Lease = makeHeld(Start + 2 * Term);
  Lease.onTokenRejected(7);
  EXPECT_FALSE(Lease.tokenForOrder(Start + 2 * Term));
  Lease.onRenewed({Start + 2 * Term, 9, true}, Start + 2 * Term);
  EXPECT_EQ(Lease.tokenForOrder(Start + 2 * Term), 9);
}

// Guards against a holder that continues after the store has named another one.
TEST(OrderLeaseTest, LosingTheLeaseTakesEffectImmediately) {
  OrderLease Lease = makeHeld(Start + 2 * Term);
  Lease.onRenewed({Start + 2 * Term, 8, false}, Start + 2 * Term);
  EXPECT_FALSE(Lease.holds());
  EXPECT_FALSE(Lease.tokenForOrder(Start + 2 * Term));
}

} // namespace
} // namespace sff::serving
