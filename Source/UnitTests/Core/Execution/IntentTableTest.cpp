#include "Core/Execution/IntentTable.h"

#include <gtest/gtest.h>

namespace sff::execution {
namespace {

const std::string Key = "k";

Intent intent(const std::string &Attempt, const std::string &KeyHash = Key) {
  return {KeyHash, AttemptId(Attempt), IncarnationId("r"), "addr", "digest"};
}
IntentVoid voidOf(const std::string &Attempt) {
  return {Key, AttemptId(Attempt)};
}
AttemptState verdict(const IntentTable &Table, const std::string &Attempt) {
  return Table.stateOf(Key, AttemptId(Attempt));
}

// Guards against two attempts of a key that may both be dispatched.
TEST(IntentTableTest, OnlyTheFirstAttemptIsValid) {
  IntentTable Table(100);
  EXPECT_EQ(verdict(Table, "a"), AttemptState::Pending);
  Table.apply(1, intent("a"));
  Table.apply(2, intent("b"));
  Table.apply(3, intent("a"));
  EXPECT_EQ(verdict(Table, "a"), AttemptState::Valid);
  EXPECT_EQ(verdict(Table, "b"), AttemptState::Lost);
  Table.apply(4, voidOf("a"));
  Table.apply(5, intent("b"));
  Table.apply(6, intent("a"));
  EXPECT_EQ(verdict(Table, "a"), AttemptState::Voided);
  EXPECT_EQ(verdict(Table, "b"), AttemptState::Lost);
  EXPECT_FALSE(Table.find(Key));
  Table.apply(7, intent("c"));
  EXPECT_EQ(verdict(Table, "c"), AttemptState::Valid);
  EXPECT_EQ(Table.find(Key)->m_Offset, 7u);
}

// Guards against an intent that takes effect after its attempt was voided, and
// against voiding an attempt that was executed.
TEST(IntentTableTest, VoidAppliesToLateIntentsButNotToExecutedOnes) {
  IntentTable Table(100);
  Table.apply(1, voidOf("a"));
  Table.apply(2, intent("a"));
  EXPECT_EQ(verdict(Table, "a"), AttemptState::Voided);
  Table.apply(3, intent("b"));
  Table.apply(4, IntentDone{Key, AttemptId("a")});
  EXPECT_FALSE(Table.find(Key)->m_Done);
  Table.apply(5, IntentDone{Key, AttemptId("b")});
  Table.apply(6, voidOf("b"));
  EXPECT_TRUE(Table.find(Key)->m_Done);
  Table.apply(6, voidOf("c"));
  EXPECT_EQ(verdict(Table, "c"), AttemptState::Pending);
}

// Guards against unbounded tables, and against hosts that remove keys at
// different offsets.
TEST(IntentTableTest, KeysExpireByOffset) {
  IntentTable Table(10);
  Table.apply(1, intent("a"));
  Table.apply(2, intent("x", "other"));
  Table.skip(11);
  EXPECT_EQ(verdict(Table, "a"), AttemptState::Valid);
  Table.skip(12);
  EXPECT_EQ(verdict(Table, "a"), AttemptState::Pending);
  EXPECT_EQ(Table.size(), 1u);
}

// Guards against applying only the first record of a batch, and against a wire
// format that loses the record type.
TEST(IntentTableTest, BatchIsAppliedCompletelyAndInOrder) {
  IntentTable Table(100);
  const std::vector<IntentRecord> Batch = {intent("a"), intent("b"),
                                           voidOf("a")};
  Table.apply(1, Batch);
  EXPECT_EQ(verdict(Table, "a"), AttemptState::Voided);
  EXPECT_EQ(verdict(Table, "b"), AttemptState::Lost);
  const auto Restored = intentFromJson(toJson(Batch[2]));
  ASSERT_TRUE(Restored);
  EXPECT_TRUE(std::holds_alternative<IntentVoid>(*Restored));
}

} // namespace
} // namespace sff::execution
