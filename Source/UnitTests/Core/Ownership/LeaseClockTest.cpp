#include "Core/Ownership/LeaseClock.h"

#include <gtest/gtest.h>

namespace sff::ownership {
namespace {

using namespace std::chrono_literals;

constexpr LeaseTimes Times{6000ms, 2000ms, 1500ms};
const Instant Start{1h};

// The lease must start when the renewal was sent, not when it was read back.
// Otherwise a slow log lets the owner act after another controller may have
// claimed its endpoints.
TEST(LeaseClockTest, LeaseStartsWhenTheAcceptedRenewalWasSent) {
  LeaseClock Clock(Times);
  EXPECT_TRUE(Clock.isRenewalDue(Start));
  Clock.onRenewalSent(RecordId("a"), Start);
  EXPECT_FALSE(Clock.isHeld(Start));
  Clock.onRenewalAccepted(RecordId("a"), 7);
  EXPECT_EQ(Clock.lastRenewal(), 7u);
  EXPECT_TRUE(Clock.isHeld(Start + 5999ms));
  EXPECT_FALSE(Clock.isHeld(Start + 6000ms));
}

// A renewal that was rejected, or that was never read back, must not extend the
// lease.
TEST(LeaseClockTest, RejectedAndUnreadRenewalsDoNotExtend) {
  LeaseClock Clock(Times);
  Clock.onRenewalSent(RecordId("a"), Start);
  Clock.onRenewalAccepted(RecordId("a"), 7);
  Clock.onRenewalSent(RecordId("b"), Start + 2s);
  Clock.onRenewalRejected(RecordId("b"));
  Clock.onRenewalSent(RecordId("c"), Start + 4s);
  EXPECT_FALSE(Clock.isHeld(Start + 6s));
  EXPECT_EQ(Clock.lastRenewal(), 7u);
}

// A renewal whose append answer was lost must count when it is read back, from
// the time at which it was sent and not from that of a later attempt.
TEST(LeaseClockTest, RenewalWithLostAnswerIsMatchedById) {
  LeaseClock Clock(Times);
  Clock.onRenewalSent(RecordId("a"), Start);
  EXPECT_FALSE(Clock.isRenewalDue(Start + 1999ms));
  EXPECT_TRUE(Clock.isRenewalDue(Start + 2s));
  Clock.onRenewalSent(RecordId("b"), Start + 2s);
  Clock.onRenewalAccepted(RecordId("a"), 3);
  Clock.onRenewalRejected(RecordId("b"));
  EXPECT_TRUE(Clock.isHeld(Start + 5s));
  EXPECT_FALSE(Clock.isHeld(Start + 6s));
}

// A host that was disconnected for a long time must be able to renew its lease
// again. It must not name a renewal that ClusterState has pruned.
TEST(LeaseClockTest, PrunedLeaseStartsAgain) {
  LeaseClock Clock(Times);
  Clock.onRenewalSent(RecordId("a"), Start);
  Clock.onRenewalAccepted(RecordId("a"), 7);
  Clock.onLeasePruned();
  EXPECT_FALSE(Clock.isHeld(Start));
  EXPECT_EQ(Clock.lastRenewal(), 0u);
}

// After a log outage, owners must be able to renew their leases before other
// controllers claim their endpoints.
TEST(LeaseObserverTest, LogRestoredCountsAsRenewal) {
  LeaseObserver Observer(Times);
  const IncarnationId Owner("o");
  EXPECT_FALSE(Observer.isExpired(Owner, Start));
  Observer.onRenewalRead(Owner, 4, Start);
  Observer.onRenewalRead(Owner, 3, Start + 5s);
  Observer.onRenewalRead(Owner, 4, Start + 5s);
  EXPECT_FALSE(Observer.isExpired(Owner, Start + 7499ms));
  EXPECT_TRUE(Observer.isExpired(Owner, Start + 7500ms));
  Observer.onLogRestored(Start + 8s);
  EXPECT_FALSE(Observer.isExpired(Owner, Start + 15s));
  EXPECT_TRUE(Observer.isExpired(Owner, Start + 15500ms));
}

} // namespace
} // namespace sff::ownership
