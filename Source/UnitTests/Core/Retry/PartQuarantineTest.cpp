#include "Core/Retry/PartQuarantine.h"

#include <gtest/gtest.h>

namespace sff::retry {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds AfterProofTime =
    PartQuarantine::ProofTime + milliseconds(1);

PartCrash crashOf(const std::string &Part, int Endpoint, int Position = 1) {
  return {PromptPartId(Part),
          {EndpointId(std::to_string(Endpoint)), IncarnationId("1")},
          Position};
}

/// Records \p Count crashes of the part, at the endpoints from 1 on.
void addCrashes(PartQuarantine &Parts, const std::string &Part, int Count,
                int Position = 1) {
  for (int Endpoint = 1; Endpoint <= Count; ++Endpoint)
    Parts.addCrash(crashOf(Part, Endpoint, Position), Start);
}

// Guards against parts of which no two requests are alike being counted by
// request.
TEST(PartQuarantineTest, PartIsRejectedAfterThreeCrashes) {
  PartQuarantine Parts(10);
  addCrashes(Parts, "bad", 2);
  EXPECT_FALSE(Parts.isRejected(PromptPartId("bad"), Start + AfterProofTime));
  EXPECT_FALSE(Parts.addCrash(crashOf("bad", 2), Start));
  EXPECT_TRUE(Parts.addCrash(crashOf("bad", 3), Start));
  EXPECT_FALSE(Parts.isRejected(PromptPartId("bad"), Start));
  EXPECT_TRUE(Parts.isRejected(PromptPartId("bad"), Start + AfterProofTime));
}

// Guards against a shared part that is rejected with the one that crashes.
TEST(PartQuarantineTest, ProofClearsACrashInAnyOrder) {
  PartQuarantine Parts(10);
  addCrashes(Parts, "sound", 3);
  EXPECT_TRUE(Parts.addProof(crashOf("sound", 2), Start));
  EXPECT_FALSE(Parts.addProof(crashOf("sound", 2), Start));
  EXPECT_EQ(Parts.crashCount(PromptPartId("sound")), 2U);
  Parts.addProof(crashOf("sound", 4), Start);
  EXPECT_FALSE(Parts.addCrash(crashOf("sound", 4), Start));
  EXPECT_EQ(Parts.crashCount(PromptPartId("sound")), 2U);
}

// Guards against a completed request that proves its parts sound for crashes
// that came after it had begun.
TEST(PartQuarantineTest, CompletionProvesPartsForEarlierCrashesOnly) {
  PartQuarantine Parts(10);
  addCrashes(Parts, "p", 3);
  const std::vector<PromptPartId> Prompt{PromptPartId("p")};
  EXPECT_TRUE(Parts.onCompleted(Prompt, Start, Start).empty());
  EXPECT_EQ(Parts.crashCount(PromptPartId("p")), 3U);
  const Instant Later = Start + milliseconds(10);
  EXPECT_EQ(Parts.onCompleted(Prompt, Later, Later).size(), 3U);
  EXPECT_EQ(Parts.crashCount(PromptPartId("p")), 0U);
}

// Guards against the common first part being rejected while a part behind it
// explains its crashes, and against never rejecting a first part.
TEST(PartQuarantineTest, LaterPartExplainsTheCrashesOfAnEarlierOne) {
  PartQuarantine Parts(10);
  addCrashes(Parts, "first", 3, 0);
  addCrashes(Parts, "bad", 3, 1);
  const Instant Later = Start + AfterProofTime;
  EXPECT_FALSE(Parts.isRejected(PromptPartId("first"), Later));
  EXPECT_TRUE(Parts.isRejected(PromptPartId("bad"), Later));
  for (int Endpoint = 4; Endpoint <= 6; ++Endpoint)
    Parts.addCrash(crashOf("first", Endpoint, 0), Start);
  EXPECT_TRUE(Parts.isRejected(PromptPartId("first"), Later));
}

// Guards against a trial by each host at the end of a rejection.
TEST(PartQuarantineTest, OneHostSendsTheTrial) {
  PartQuarantine Parts(10);
  const PromptPartId Bad("bad");
  const IncarnationId One("one");
  const IncarnationId Two("two");
  addCrashes(Parts, "bad", 3);
  EXPECT_FALSE(Parts.dueTrial(Bad, One, Start + AfterProofTime));
  const Instant Due = Start + PartQuarantine::FirstTrialDelay;
  const auto First = Parts.dueTrial(Bad, One, Due);
  const auto Second = Parts.dueTrial(Bad, Two, Due);
  ASSERT_TRUE(First && Second);
  EXPECT_TRUE(Parts.addTrial(*First, Due));
  EXPECT_FALSE(Parts.addTrial(*Second, Due));
  EXPECT_FALSE(Parts.takeTrial(Bad, Two, Due));
  EXPECT_TRUE(Parts.takeTrial(Bad, One, Due));
  EXPECT_FALSE(Parts.takeTrial(Bad, One, Due));
  // The next trial is due after a longer time.
  EXPECT_FALSE(Parts.dueTrial(Bad, Two, Due + PartQuarantine::FirstTrialDelay));
  EXPECT_TRUE(Parts.dueTrial(Bad, Two,
                             Due + PartQuarantine::TrialDelayFactor *
                                       PartQuarantine::FirstTrialDelay));
}

// Guards against a part that is sent again by all hosts after a late trial,
// because its crashes are older than those that count.
TEST(PartQuarantineTest, RejectedPartKeepsItsCrashes) {
  PartQuarantine Parts(10);
  addCrashes(Parts, "bad", 3);
  addCrashes(Parts, "other", 2);
  const Instant Later = Start + PartQuarantine::MaxAge;
  Parts.addCrash(crashOf("bad", 4), Later);
  Parts.addCrash(crashOf("other", 4), Later);
  EXPECT_EQ(Parts.crashCount(PromptPartId("bad")), 4U);
  EXPECT_TRUE(Parts.isRejected(PromptPartId("bad"), Later));
  EXPECT_EQ(Parts.crashCount(PromptPartId("other")), 1U);
}

// Guards against a trial that is lost because its request has not run.
TEST(PartQuarantineTest, TrialThatHasNotRunIsTakenAgain) {
  PartQuarantine Parts(10);
  const PromptPartId Bad("bad");
  const IncarnationId Host("one");
  addCrashes(Parts, "bad", 3);
  const Instant Due = Start + PartQuarantine::FirstTrialDelay;
  const auto Trial = Parts.dueTrial(Bad, Host, Due);
  ASSERT_TRUE(Trial);
  Parts.addTrial(*Trial, Due);
  EXPECT_TRUE(Parts.takeTrial(Bad, Host, Due));
  EXPECT_FALSE(Parts.hasOpenTrial(Bad, Host, Due));
  Parts.returnTrial(Bad);
  EXPECT_TRUE(Parts.takeTrial(Bad, Host, Due));
}

// Guards against crashes of many different parts that push out the one that
// matters.
TEST(PartQuarantineTest, EvictionKeepsThePartWithMostCrashes) {
  PartQuarantine Parts(8);
  addCrashes(Parts, "bad", 3);
  for (int Index = 0; Index < 100; ++Index)
    Parts.addCrash(crashOf("other" + std::to_string(Index), 9), Start);
  EXPECT_LE(Parts.size(), 8U);
  EXPECT_EQ(Parts.crashCount(PromptPartId("bad")), 3U);
}

} // namespace
} // namespace sff::retry
