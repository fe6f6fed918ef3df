#include "Core/Ownership/LeaseClock.h"

#include <gtest/gtest.h>

namespace sff::ownership {
namespace {

using namespace std::chrono_literals;

constexpr LeaseTimes Times{6000ms, 2000ms, 1500ms};
const Instant Start{1h};

// Guards against a lease that runs from the reading of the renewal; a slow log
// would then make the owner act after a claimant may have taken over.
TEST(LeaseClockTest, CountsFromTheSendingOfTheAcceptedRenewal) {
  LeaseClock Clock(Times);
  EXPECT_TRUE(Clock.isRenewalDue(Start));
  Clock.onRenewalSent(RecordId("a"), Start);
  EXPECT_FALSE(Clock.isHeld(Start));
  Clock.onRenewalAccepted(RecordId("a"), 7);
  EXPECT_EQ(Clock.lastRenewal(), 7u);
  EXPECT_TRUE(Clock.isHeld(Start + 5999ms));
  EXPECT_FALSE(Clock.isHeld(Start + 6000ms));
}

// Guards against a rejected renewal, or one that nobody reads, that keeps the
// lease alive.
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

// Guards against ignoring a renewal whose append answer was lost, and against
// counting it from a later attempt.
TEST(LeaseClockTest, LostAnswerIsResolvedByIdWhenRead) {
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

// Guards against a host that was cut off for long and can never renew again
// because it names a renewal that the fold has pruned.
TEST(LeaseClockTest, ForgottenLeaseStartsAnew) {
  LeaseClock Clock(Times);
  Clock.onRenewalSent(RecordId("a"), Start);
  Clock.onRenewalAccepted(RecordId("a"), 7);
  Clock.onLeaseForgotten();
  EXPECT_FALSE(Clock.isHeld(Start));
  EXPECT_EQ(Clock.lastRenewal(), 0u);
}

// Guards against claims right after a log outage, before owners could renew.
TEST(LeaseObserverTest, LogRestoredCountsAsRenewal) {
  LeaseObserver Observer(Times);
  const IncarnationId Owner("o");
  EXPECT_FALSE(Observer.isLapsed(Owner, Start));
  Observer.onRenewalRead(Owner, 4, Start);
  Observer.onRenewalRead(Owner, 3, Start + 5s);
  Observer.onRenewalRead(Owner, 4, Start + 5s);
  EXPECT_FALSE(Observer.isLapsed(Owner, Start + 7499ms));
  EXPECT_TRUE(Observer.isLapsed(Owner, Start + 7500ms));
  Observer.onLogRestored(Start + 8s);
  EXPECT_FALSE(Observer.isLapsed(Owner, Start + 15s));
  EXPECT_TRUE(Observer.isLapsed(Owner, Start + 15500ms));
}

} // namespace
} // namespace sff::ownership
