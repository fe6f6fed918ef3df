#include "Core/Retry/CrashQuarantine.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Period{60000};

/// The crash of one incarnation of an endpoint, noticed at \p At.
CrashReport crashOf(const std::string &Fingerprint, const std::string &Endpoint,
                    Instant At = Start, const std::string &Run = "r1") {
  return {Fingerprint,
          {EndpointId(Endpoint), IncarnationId("1")},
          At,
          RequestId(Run)};
}

// Guards against a request that crashes one endpoint after another.
TEST(CrashQuarantineTest, RequestIsRejectedAfterTheSecondCrash) {
  CrashQuarantine Quarantine(10, Period);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Normal);
  EXPECT_TRUE(Quarantine.add(crashOf("f", "e1"), Start));
  EXPECT_EQ(Quarantine.crashCount("f", Start), 1U);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Isolate);
  EXPECT_TRUE(Quarantine.add(crashOf("f", "e2"), Start));
  EXPECT_EQ(Quarantine.crashCount("f", Start), 2U);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Reject);
}

// Guards against counting a crash twice that several hosts notice or that is
// reported twice.
TEST(CrashQuarantineTest, SameCrashIsCountedOnce) {
  CrashQuarantine Quarantine(10, Period);
  EXPECT_TRUE(Quarantine.add(crashOf("f", "e1"), Start));
  EXPECT_FALSE(Quarantine.add(crashOf("f", "e1"), Start));
  EXPECT_FALSE(
      Quarantine.add(crashOf("f", "e1", Start + milliseconds(5)), Start));
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Isolate);
}

// Guards against copies of a request that end with one endpoint and count as a
// single crash, so that the copies that come next are all sent.
TEST(CrashQuarantineTest, RequestIsRejectedAfterThreeRunsOfOneCrash) {
  CrashQuarantine First(10, Period);
  CrashQuarantine Second(10, Period);
  EXPECT_TRUE(First.add(crashOf("f", "e1", Start, "r1"), Start));
  EXPECT_TRUE(First.add(crashOf("f", "e1", Start, "r2"), Start));
  EXPECT_FALSE(First.add(crashOf("f", "e1", Start, "r2"), Start));
  EXPECT_EQ(First.crashCount("f", Start), 1U);
  EXPECT_EQ(First.verdict("f", Start), QuarantineVerdict::Isolate);
  Second.add(crashOf("f", "e1", Start, "r3"), Start);
  for (const CrashReport &Report : First.recentReports(Start))
    EXPECT_TRUE(Second.add(Report, Start));
  EXPECT_EQ(Second.verdict("f", Start), QuarantineVerdict::Reject);
  EXPECT_EQ(Second.verdict("f", Start + Period), QuarantineVerdict::Normal);
}

// Guards against an endpoint's crash with many other requests that makes each
// of them suspect.
TEST(CrashQuarantineTest, RunsOfOtherRequestsDoNotCount) {
  CrashQuarantine Quarantine(10, Period);
  for (const std::string Name : {"a", "b", "c", "d"})
    Quarantine.add(crashOf(Name, "e1", Start, "r" + Name), Start);
  EXPECT_EQ(Quarantine.verdict("a", Start), QuarantineVerdict::Isolate);
}

// Guards against two crashes of one endpoint that are taken for one because the
// endpoint came back under its id.
TEST(CrashQuarantineTest, IncarnationsOfAnEndpointCountSeparately) {
  CrashQuarantine Quarantine(10, Period);
  CrashReport Report = crashOf("f", "e1");
  Quarantine.add(Report, Start);
  Report.m_Crash.m_Incarnation = IncarnationId("2");
  Quarantine.add(Report, Start);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Reject);
}

// Guards against a request that stays quarantined forever after an unrelated
// crash.
TEST(CrashQuarantineTest, QuarantineEndsAfterSuccessOrPeriod) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.add(crashOf("f", "e1"), Start);
  Quarantine.onSuccess("f", Start);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Normal);
  Quarantine.add(crashOf("f", "e2"), Start);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Isolate);
  const Instant End = Start + Period;
  EXPECT_EQ(Quarantine.verdict("f", End), QuarantineVerdict::Normal);
  const Instant Forgotten = Start + Quarantine.maxAge();
  EXPECT_EQ(Quarantine.crashCount("f", Forgotten), 0U);
  Quarantine.add(crashOf("f", "e3", Forgotten), Forgotten);
  EXPECT_EQ(Quarantine.crashCount("f", Forgotten), 1U);
}

// Guards against a request that is quarantined again after a success because
// another host reports the crashes from before it.
TEST(CrashQuarantineTest, CrashesBeforeASuccessStayRefuted) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.add(crashOf("f", "e1"), Start);
  Quarantine.onSuccess("f", Start);
  EXPECT_FALSE(Quarantine.add(crashOf("f", "e1"), Start));
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Normal);
}

// Guards against hosts that reject a request which has completed at another
// host, in whatever order the crash and the proof reach them.
TEST(CrashQuarantineTest, CompletionAtOneHostCountsAtAll) {
  CrashQuarantine First(10, Period);
  CrashQuarantine Second(10, Period);
  CrashQuarantine Third(10, Period);
  for (const std::string Run : {"r1", "r2", "r3"}) {
    First.add(crashOf("f", "e1", Start, Run), Start);
    Second.add(crashOf("f", "e1", Start, Run), Start);
  }
  ASSERT_EQ(Second.verdict("f", Start), QuarantineVerdict::Reject);
  const std::vector<CrashProof> Proofs = First.onSuccess("f", Start);
  ASSERT_EQ(Proofs.size(), 1U);
  EXPECT_TRUE(First.onSuccess("f", Start).empty());
  EXPECT_TRUE(Second.addProof(Proofs.front(), Start));
  EXPECT_FALSE(Second.addProof(Proofs.front(), Start));
  EXPECT_EQ(Second.verdict("f", Start), QuarantineVerdict::Normal);
  EXPECT_TRUE(Third.addProof(Proofs.front(), Start));
  for (const std::string Run : {"r1", "r2", "r3"})
    Third.add(crashOf("f", "e1", Start, Run), Start);
  EXPECT_EQ(Third.verdict("f", Start), QuarantineVerdict::Normal);
}

// Guards against a proof that covers crashes after it: the endpoint's next
// crash, or one of another endpoint.
TEST(CrashQuarantineTest, ProofCoversItsCrashOnly) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.add(crashOf("f", "e1"), Start);
  Quarantine.addProof({"f", crashOf("f", "e1").m_Crash}, Start);
  CrashReport Next = crashOf("f", "e1");
  Next.m_Crash.m_Incarnation = IncarnationId("2");
  Quarantine.add(Next, Start);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Isolate);
  Quarantine.add(crashOf("f", "e2"), Start);
  EXPECT_EQ(Quarantine.verdict("f", Start), QuarantineVerdict::Reject);
}

// Guards against a host that tells others of crashes which no longer count.
TEST(CrashQuarantineTest, RefutedCrashesAreNotReported) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.add(crashOf("f", "e1"), Start);
  ASSERT_EQ(Quarantine.recentReports(Start).size(), 1U);
  Quarantine.onSuccess("f", Start);
  EXPECT_TRUE(Quarantine.recentReports(Start).empty());
}

// Guards against two hosts that keep an old crash alive by repeating it to each
// other.
TEST(CrashQuarantineTest, OldCrashesExpireOnAllHosts) {
  CrashQuarantine First(10, Period);
  CrashQuarantine Second(10, Period);
  First.add(crashOf("f", "e1"), Start);
  Instant Now = Start;
  for (; Now < Start + 3 * Period; Now += milliseconds(1000)) {
    for (const CrashReport &Report : First.recentReports(Now))
      Second.add(Report, Now);
    for (const CrashReport &Report : Second.recentReports(Now))
      First.add(Report, Now);
  }
  EXPECT_EQ(First.verdict("f", Now), QuarantineVerdict::Normal);
  EXPECT_EQ(Second.verdict("f", Now), QuarantineVerdict::Normal);
}

// Guards against a request that crashes one endpoint for each host: each host
// sees one crash, and the crashes of different hosts have to add up.
TEST(CrashQuarantineTest, CrashesSeenByDifferentHostsAddUp) {
  CrashQuarantine First(10, Period);
  CrashQuarantine Second(10, Period);
  First.add(crashOf("f", "e1"), Start);
  Second.add(crashOf("f", "e2"), Start);
  for (const CrashReport &Report : First.recentReports(Start))
    Second.add(Report, Start);
  for (const CrashReport &Report : Second.recentReports(Start))
    First.add(Report, Start);
  EXPECT_EQ(First.verdict("f", Start), QuarantineVerdict::Reject);
  EXPECT_EQ(Second.verdict("f", Start), QuarantineVerdict::Reject);
}

// Guards against hosts that start later and know nothing of a rejected request
// because the log no longer holds its crashes, and against a write for each
// rejection.
TEST(CrashQuarantineTest, RejectedRequestIsSharedAgainOncePerPeriod) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.add(crashOf("f", "e1"), Start);
  Quarantine.add(crashOf("f", "e2"), Start);
  Quarantine.onShared("f", Start);
  EXPECT_TRUE(Quarantine.reportsToShareAgain("f", Start).empty());
  const Instant Later = Start + CrashQuarantine::SharePeriod;
  EXPECT_EQ(Quarantine.reportsToShareAgain("f", Later).size(), 2U);
  EXPECT_TRUE(Quarantine.reportsToShareAgain("f", Later).empty());
}

// Guards against a request that crashes two endpoints again after each period.
TEST(CrashQuarantineTest, RequestThatCrashesAgainIsRejectedForLonger) {
  CrashQuarantine Quarantine(10, Period);
  Instant Now = Start;
  Quarantine.add(crashOf("f", "e0", Now), Now);
  milliseconds Expected = Period;
  for (int Crash = 1; Crash < 5; ++Crash) {
    Quarantine.add(crashOf("f", "e" + std::to_string(Crash), Now), Now);
    EXPECT_EQ(Quarantine.verdict("f", Now + Expected - milliseconds(1)),
              QuarantineVerdict::Reject);
    Now += Expected;
    EXPECT_EQ(Quarantine.verdict("f", Now), QuarantineVerdict::Isolate);
    Expected *= 2;
  }
}

// Guards against a rejected request that is forgotten when the crash of a
// crowded endpoint makes many other requests suspect.
TEST(CrashQuarantineTest, SuspectsAreEvictedBeforeRejectedRequests) {
  CrashQuarantine Quarantine(10, Period);
  Quarantine.add(crashOf("f", "e1"), Start);
  Quarantine.add(crashOf("f", "e2"), Start);
  const Instant Now = Start + milliseconds(1);
  for (int Index = 0; Index < 100; ++Index)
    Quarantine.add(crashOf(std::to_string(Index), "e3", Now), Now);
  EXPECT_EQ(Quarantine.verdict("f", Now), QuarantineVerdict::Reject);
}

// Guards against unbounded memory for crashing requests.
TEST(CrashQuarantineTest, OldestFingerprintIsEvicted) {
  CrashQuarantine Quarantine(2, Period);
  const Instant Now = Start + milliseconds(2);
  Quarantine.add(crashOf("a", "e1"), Now);
  Quarantine.add(crashOf("b", "e1", Start + milliseconds(1)), Now);
  Quarantine.add(crashOf("c", "e1", Now), Now);
  EXPECT_EQ(Quarantine.verdict("a", Now), QuarantineVerdict::Normal);
  EXPECT_EQ(Quarantine.verdict("b", Now), QuarantineVerdict::Isolate);
  EXPECT_EQ(Quarantine.verdict("c", Now), QuarantineVerdict::Isolate);
}

} // namespace
} // namespace sff::retry
