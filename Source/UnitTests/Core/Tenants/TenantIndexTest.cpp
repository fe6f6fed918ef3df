#include "Core/Tenants/Tenant.h"

#include <gtest/gtest.h>

namespace sff::tenants {
namespace {

Tenant makeTenant(std::string Name, std::vector<std::string> Keys) {
  Tenant Result;
  Result.m_Name = std::move(Name);
  Result.m_Keys = std::move(Keys);
  return Result;
}

std::string ownerOf(const TenantIndex &Index, std::string_view Key) {
  const Tenant *Owner = Index.find(Key);
  return Owner ? Owner->m_Name : "";
}

// Guards against a key that is matched by a part of it.
TEST(TenantIndexTest, OnlyTheWholeKeyIdentifiesATenant) {
  const TenantIndex Index(
      {makeTenant("a", {"key-1", "key-2"}), makeTenant("b", {"key-3"})});
  EXPECT_EQ(ownerOf(Index, "key-2"), "a");
  EXPECT_EQ(ownerOf(Index, "key-3"), "b");
  for (const char *Wrong : {"", "key", "key-", "key-33", "KEY-3", " key-3"})
    EXPECT_EQ(ownerOf(Index, Wrong), "") << Wrong;
}

// Guards against a key whose tenant depends on the order of a hash table.
TEST(TenantIndexTest, KeyOfSeveralTenantsBelongsToTheFirst) {
  for (int Repetition = 0; Repetition < 5; ++Repetition) {
    const TenantIndex Index({makeTenant("a", {"other"}),
                             makeTenant("b", {"shared", "shared"}),
                             makeTenant("c", {"shared"})});
    EXPECT_EQ(ownerOf(Index, "shared"), "b");
  }
}

// Guards against an empty key in the configuration that admits callers without
// one, and against keys that are too long to compare.
TEST(TenantIndexTest, EmptyAndOversizedKeysIdentifyNobody) {
  const std::string Oversized(TenantIndex::MaxKeyBytes + 1, 'k');
  const std::string Longest(TenantIndex::MaxKeyBytes, 'k');
  const TenantIndex Index({makeTenant("a", {"", Oversized, Longest})});
  EXPECT_EQ(ownerOf(Index, ""), "");
  EXPECT_EQ(ownerOf(Index, Oversized), "");
  EXPECT_EQ(ownerOf(Index, Longest), "a");
}

// Guards against keys that are cut at a null byte.
TEST(TenantIndexTest, KeysMayHoldAnyBytes) {
  const std::string WithNull("k\0x", 3);
  const TenantIndex Index({makeTenant("a", {WithNull, "\xff\xfe"})});
  EXPECT_EQ(ownerOf(Index, WithNull), "a");
  EXPECT_EQ(ownerOf(Index, "k"), "");
  EXPECT_EQ(ownerOf(Index, "\xff\xfe"), "a");
}

} // namespace
} // namespace sff::tenants
