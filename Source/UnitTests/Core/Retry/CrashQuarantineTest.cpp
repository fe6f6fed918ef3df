#include "Core/Retry/CrashQuarantine.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Period{60000};

// Guards against a request that crashes one endpoint after another.
TEST(CrashQuarantineTest, RequestIsRejectedAfterTheSecondCrash) {
  CrashQuarantine Quarantine(10, Period);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Normal);
  EXPECT_EQ(Quarantine.onCrash("f", Start), 1);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Isolate);
  EXPECT_EQ(Quarantine.onCrash("f", Start), 2);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Reject);
}

// Guards against counting a notice twice that is delivered twice.
TEST(CrashQuarantineTest, RepeatedNoticeIsCountedOnce) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.merge("f", 1, Start);
  Quarantine.merge("f", 1, Start);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Isolate);
}

// Guards against a request that stays quarantined forever after an unrelated
// crash.
TEST(CrashQuarantineTest, QuarantineEndsAfterSuccessOrPeriod) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.onCrash("f", Start);
  Quarantine.onSuccess("f");
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Normal);
  Quarantine.onCrash("f", Start);
  EXPECT_EQ(Quarantine.verdict("f", Start + Period), QuarantineVerdict::Normal);
  EXPECT_EQ(Quarantine.onCrash("f", Start + Period), 1);
}

// Guards against two hosts that keep an old crash count alive by repeating it
// to each other.
TEST(CrashQuarantineTest, OldCrashCountsExpireOnAllHosts) {
  CrashQuarantine First(10, Period);
  CrashQuarantine Second(10, Period);
  First.onCrash("f", Start);
  Instant Now = Start;
  for (; Now < Start + 3 * Period; Now += milliseconds(1000)) {
    for (const auto &[Fingerprint, Crashes] : First.recentCrashCounts(Now))
      Second.mergeCrashCount(Fingerprint, Crashes, Now);
    for (const auto &[Fingerprint, Crashes] : Second.recentCrashCounts(Now))
      First.mergeCrashCount(Fingerprint, Crashes, Now);
  }
  EXPECT_EQ(First.verdict("f", Now), QuarantineVerdict::Normal);
  EXPECT_EQ(Second.verdict("f", Now), QuarantineVerdict::Normal);
}

// Guards against a request that crashes one endpoint for each host: each host
// sees one crash, and the crashes of different hosts have to add up.
TEST(CrashQuarantineTest, CrashesSeenByDifferentHostsAddUp) {
  CrashQuarantine First(10, Period);
  CrashQuarantine Second(10, Period);
  First.onCrash("f", Start);
  Second.onCrash("f", Start);
  for (const auto &[Fingerprint, Crashes] : First.recentCrashCounts(Start))
    Second.mergeCrashCount(Fingerprint, Crashes, Start);
  for (const auto &[Fingerprint, Crashes] : Second.recentCrashCounts(Start))
    First.mergeCrashCount(Fingerprint, Crashes, Start);
  EXPECT_EQ(First.verdict("f", Start), QuarantineVerdict::Reject);
  EXPECT_EQ(Second.verdict("f", Start), QuarantineVerdict::Reject);
}

// Guards against unbounded memory for crashing requests.
TEST(CrashQuarantineTest, OldestFingerprintIsEvicted) {
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
