#include "Ctl/CatalogueFile.h"

#include <gtest/gtest.h>

namespace sff::ctl {
namespace {

std::vector<std::string> findingPlaces(const std::string &Text) {
  CatalogueCheckResult Result;
  checkDocument("file", Text, Result);
  std::vector<std::string> Places;
  for (const auto &Item : Result.m_Findings.items())
    Places.push_back(Item.m_Place);
  return Places;
}

// Guards against a check that stops at the first error.
TEST(CatalogueFileTest, ReportsAllErrors) {
  EXPECT_EQ(
      findingPlaces(R"({"entries":{"m":{"team":"t","weight_bytes":1.5,
                         "class":"slow","color":1}}})"),
      (std::vector<std::string>{"/entries/m/class", "/entries/m/weight_bytes",
                                "/entries/m/color", "/entries/m/weight_bytes",
                                "/entries/m/bytes_per_token"}));
  EXPECT_EQ(findingPlaces("{"), std::vector<std::string>{"byte 2"});
  EXPECT_EQ(findingPlaces("[]"), std::vector<std::string>{"/"});
}

TEST(CatalogueFileTest, BaseMayAlreadyBePublished) {
  EntryMap Entries;
  Entries[EntryName("a")].m_Kind = catalogue::EntryKind::Adapter;
  Entries[EntryName("a")].m_Base = EntryName("m");
  findings::FindingList Missing;
  checkReferences(Entries, nullptr, Missing);
  EXPECT_EQ(Missing.items().size(), 1u);
  fold::ClusterState State;
  fold::CatalogueChange Change;
  Change.m_Entry = EntryName("m");
  Change.m_Spec.emplace();
  Change.m_Spec->m_Team = "t";
  Change.m_Spec->m_WeightBytes = 1;
  Change.m_Spec->m_BytesPerToken = 1;
  State.apply(1, Change);
  findings::FindingList Findings;
  checkReferences(Entries, &State, Findings);
  EXPECT_TRUE(Findings.empty());
}

} // namespace
} // namespace sff::ctl
