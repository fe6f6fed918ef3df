#include "Core/Serving/OrderLease.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Term{3000};

/// A lease that was acquired at Start and renewed until \p Last.
OrderLease makeHeld(Instant Last, bool Fences = true) {
  OrderLease Lease(Term, Fences);
  for (Instant At = Start; At <= Last; At += Term / 3)
    Lease.onRenewed({At, 7, true}, At);
  return Lease;
}

// Guards against two holders that take turns within one term: the last
// holder's orders may have left just before its lease ended.
TEST(OrderLeaseTest, NewHolderWaitsOneTerm) {
  OrderLease Lease = makeHeld(Start);
  EXPECT_FALSE(Lease.mayOrder(Start + Term - milliseconds(1)));
  Lease = makeHeld(Start + Term);
  EXPECT_EQ(Lease.mayOrder(Start + Term), 7);
}

// Guards against orders of a holder that was paused past its term.
TEST(OrderLeaseTest, PausedHolderMustRenewAndWait) {
  OrderLease Lease = makeHeld(Start + 2 * Term);
  const Instant Woken = Start + 4 * Term;
  EXPECT_FALSE(Lease.mayOrder(Woken));
  Lease.onRenewed({Woken, 8, true}, Woken);
  EXPECT_FALSE(Lease.mayOrder(Woken + milliseconds(1)));
}

// Guards against a zone that cannot swap models while the store is away.
TEST(OrderLeaseTest, CutOffHolderGoesOnOnlyWhereEndpointsFence) {
  OrderLease Fenced = makeHeld(Start + 2 * Term, true);
  OrderLease Unfenced = makeHeld(Start + 2 * Term, false);
  const Instant Later = Start + 4 * Term;
  Fenced.onStoreUnreachable(Later);
  Unfenced.onStoreUnreachable(Later);
  EXPECT_EQ(Fenced.mayOrder(Later), 7);
  EXPECT_FALSE(Unfenced.mayOrder(Later));
}

// Guards against orders that repeat a token which an endpoint has refused.
TEST(OrderLeaseTest, RefusedTokenIsNotUsedAgain) {
  OrderLease Lease = makeHeld(Start + 2 * Term);
  Lease.onFenced(7);
  EXPECT_FALSE(Lease.mayOrder(Start + 2 * Term));
  Lease.onRenewed({Start + 2 * Term, 9, true}, Start + 2 * Term);
  EXPECT_EQ(Lease.mayOrder(Start + 2 * Term), 9);
}

// Guards against a holder that goes on after the store named another.
TEST(OrderLeaseTest, LossEndsTheRightAtOnce) {
  OrderLease Lease = makeHeld(Start + 2 * Term);
  Lease.onRenewed({Start + 2 * Term, 8, false}, Start + 2 * Term);
  EXPECT_FALSE(Lease.holds());
  EXPECT_FALSE(Lease.mayOrder(Start + 2 * Term));
}

} // namespace
} // namespace sff::serving
