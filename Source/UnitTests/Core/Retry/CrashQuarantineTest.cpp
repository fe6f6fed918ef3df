#include "Core/Retry/CrashQuarantine.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Period{60000};

// Guards against a request that crashes one endpoint after another.
TEST(CrashQuarantineTest, SecondCrashRefuses) {
  CrashQuarantine Quarantine(10, Period);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Normal);
  EXPECT_EQ(Quarantine.onCrash("f", Start), 1);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Isolate);
  EXPECT_EQ(Quarantine.onCrash("f", Start), 2);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Refuse);
}

// Guards against notices that are delivered twice and count twice.
TEST(CrashQuarantineTest, RepeatedNoticeCountsOnce) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.merge("f", 1, Start);
  Quarantine.merge("f", 1, Start);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Isolate);
}

// Guards against a suspicion that lasts for ever after an unrelated crash.
TEST(CrashQuarantineTest, SuspicionEndsAfterSuccessOrPeriod) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.onCrash("f", Start);
  Quarantine.onSuccess("f");
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Normal);
  Quarantine.onCrash("f", Start);
  EXPECT_EQ(Quarantine.verdict("f", Start + Period), QuarantineVerdict::Normal);
  EXPECT_EQ(Quarantine.onCrash("f", Start + Period), 1);
}

// Guards against two hosts that keep an old suspicion alive by telling each
// other of it.
TEST(CrashQuarantineTest, OldNewsIsForgottenByAll) {
  CrashQuarantine First(10, Period);
  CrashQuarantine Second(10, Period);
  First.onCrash("f", Start);
  Instant Now = Start;
  for (; Now < Start + 3 * Period; Now += milliseconds(1000)) {
    for (const auto &[Fingerprint, Crashes] : First.recentSuspects(Now))
      Second.mergeNews(Fingerprint, Crashes, Now);
    for (const auto &[Fingerprint, Crashes] : Second.recentSuspects(Now))
      First.mergeNews(Fingerprint, Crashes, Now);
  }
  EXPECT_EQ(First.verdict("f", Now), QuarantineVerdict::Normal);
  EXPECT_EQ(Second.verdict("f", Now), QuarantineVerdict::Normal);
}

// Guards against memory that grows with the number of crashing requests.
TEST(CrashQuarantineTest, OldestFingerprintMakesRoom) {
  CrashQuarantine Quarantine(2, Period);
  Quarantine.onCrash("a", Start);
  Quarantine.onCrash("b", Start + milliseconds(1));
  Quarantine.onCrash("c", Start + milliseconds(2));
  EXPECT_EQ(Quarantine.verdict("a", Start), QuarantineVerdict::Normal);
  EXPECT_EQ(Quarantine.verdict("b", Start), QuarantineVerdict::Isolate);
  EXPECT_EQ(Quarantine.verdict("c", Start), QuarantineVerdict::Isolate);
}

} // namespace
} // namespace sff::retry
