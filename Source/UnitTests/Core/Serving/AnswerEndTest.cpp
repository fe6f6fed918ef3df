#include "Core/Serving/AnswerEnd.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

constexpr Incarnation Asked{1000};
constexpr Incarnation Later{2000};

AnswerEndEvidence evidence(AddressOwner Owner) {
  AnswerEndEvidence Result;
  Result.m_Owner = Owner;
  Result.m_Asked = Asked;
  Result.m_Registered = Asked;
  return Result;
}

// Guards against an answer that a crash has cut off and that counts as complete
// because somebody listens at the address of the endpoint.
TEST(AnswerEndTest, OnlyTheProcessThatWasAskedConfirmsTheEnd) {
  const auto Judge = [](AddressOwner Owner) {
    return judgeAnswerEnd(evidence(Owner));
  };
  EXPECT_EQ(Judge(AddressOwner::Same), AnswerEnd::Confirmed);
  EXPECT_EQ(Judge(AddressOwner::Another), AnswerEnd::OtherInstance);
  EXPECT_EQ(Judge(AddressOwner::Nobody), AnswerEnd::NoInstance);
  EXPECT_EQ(Judge(AddressOwner::Unknown), AnswerEnd::NotKnown);
}

// Guards against a complete answer that counts as cut off because the
// registration of its endpoint is gone, as that of one that leaves.
TEST(AnswerEndTest, RegistrationIsNotNeeded) {
  AnswerEndEvidence Found = evidence(AddressOwner::Same);
  Found.m_Registered.reset();
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
}

// Guards against an endpoint that starts again under its id and confirms the
// end of an answer that it never gave.
TEST(AnswerEndTest, LaterProcessWithTheSameIdConfirmsNothing) {
  for (const AddressOwner Owner :
       {AddressOwner::Same, AddressOwner::Nobody, AddressOwner::Unknown}) {
    AnswerEndEvidence Found = evidence(Owner);
    Found.m_HasOlderConnection = true;
    Found.m_Registered = Later;
    EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::OtherInstance);
  }
  AnswerEndEvidence Found = evidence(AddressOwner::Same);
  Found.m_Answering = Later;
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::OtherInstance);
  Found.m_Answering = Asked;
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
}

// Guards against endpoints that do not say when they were started and whose
// answers all count as cut off.
TEST(AnswerEndTest, UnknownStartsAreNotCompared) {
  AnswerEndEvidence Found = evidence(AddressOwner::Same);
  Found.m_Asked.reset();
  Found.m_Answering = Later;
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
  Found.m_Asked = Asked;
  Found.m_Answering.reset();
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
}

// Guards against a complete answer that counts as cut off because its endpoint
// resets connections beyond its limit, and against the same conclusion where
// nothing was heard of the endpoint: the ends of its connections may be held
// up.
TEST(AnswerEndTest, OlderConnectionCountsOnlyIfTheAddressRefuses) {
  AnswerEndEvidence Found = evidence(AddressOwner::Nobody);
  Found.m_HasOlderConnection = true;
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
  Found.m_Owner = AddressOwner::Unknown;
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::NotKnown);
}

// Guards against an endpoint that ends and starts again under its id while a
// cut holds the end of its answer up, and that confirms this end (review/6):
// its registration is still that of the process before.
TEST(AnswerEndTest, EndAfterALongTimeNeedsASignOfTheSameProcess) {
  AnswerEndEvidence Found = evidence(AddressOwner::Same);
  Found.m_HadHeartbeats = true;
  Found.m_UnseenTime =
      AnswerEndEvidence::MinRestartTime - std::chrono::milliseconds(1);
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
  Found.m_UnseenTime = AnswerEndEvidence::MinRestartTime;
  EXPECT_TRUE(Found.needsLaterSign());
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::NotKnown);
  Found.m_HasLaterSign = true;
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
  Found.m_HasLaterSign = false;
  // A report that names the start is proof enough.
  Found.m_Answering = Asked;
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
  // An endpoint that leaves has no registration that could show its heartbeat.
  Found.m_Answering.reset();
  Found.m_HadHeartbeats = false;
  EXPECT_EQ(judgeAnswerEnd(Found), AnswerEnd::Confirmed);
}

} // namespace
} // namespace sff::serving
