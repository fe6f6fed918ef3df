#include "Core/Tenants/CallerIdentity.h"

#include <gtest/gtest.h>

namespace sff::tenants {
namespace {

constexpr milliseconds RevocationTime{5000};
constexpr RevocationPolicy FailsClosed{true, RevocationTime};
constexpr RevocationPolicy FailsOpen{false, RevocationTime};

serving::Catalogue makeCatalogue(std::vector<Tenant> Tenants) {
  serving::Catalogue Result;
  for (const std::int64_t Priority : {0, 2}) {
    serving::Route Route;
    Route.m_Host = "a.example";
    Route.m_PathPrefix = "/" + std::to_string(Priority) + "/";
    Route.m_Priority = Priority;
    Result.m_Routes.push_back(Route);
  }
  Result.m_Tenants = TenantIndex(std::move(Tenants));
  Result.buildIndex();
  return Result;
}

Tenant makeTenant(std::string Name, std::string Key,
                  std::optional<std::int64_t> Priority = {}) {
  Tenant Result;
  Result.m_Name = std::move(Name);
  Result.m_Keys = {std::move(Key)};
  Result.m_Priority = Priority;
  return Result;
}

// Guards against deployments without tenants that need a key or a proof.
TEST(CallerIdentityTest, NoKeyIsNeededWithoutTenants) {
  const auto Catalogue = makeCatalogue({});
  const auto Identity = identifyCaller(Catalogue, Catalogue.m_Routes[1], "any",
                                       FailsClosed, std::nullopt);
  EXPECT_EQ(Identity.m_Kind, CallerKind::Anonymous);
  EXPECT_FALSE(Identity.m_HasTenants);
  EXPECT_EQ(Identity.m_Priority, 2);
}

// Guards against a key that is passed to endpoints on an anonymous route.
TEST(CallerIdentityTest, AnonymousRouteNeedsNoKeyAndNoProof) {
  auto Catalogue = makeCatalogue({makeTenant("a", "key")});
  Catalogue.m_Routes[0].m_Anonymous = true;
  const auto Identity = identifyCaller(Catalogue, Catalogue.m_Routes[0], "key",
                                       FailsClosed, std::nullopt);
  EXPECT_EQ(Identity.m_Kind, CallerKind::Anonymous);
  EXPECT_TRUE(Identity.m_HasTenants);
  EXPECT_EQ(Identity.m_Tenant, "");
}

// Guards against a revoked key that is used beyond the bound, and against a new
// key that is refused for good because this host does not know it yet.
TEST(CallerIdentityTest, KeysAreJudgedOnlyByARecentCatalogue) {
  const auto Catalogue = makeCatalogue({makeTenant("a", "key")});
  const auto KindOf = [&](std::string_view Key, std::optional<Duration> Age,
                          const RevocationPolicy &Policy) {
    return identifyCaller(Catalogue, Catalogue.m_Routes[0], Key, Policy, Age)
        .m_Kind;
  };
  EXPECT_EQ(KindOf("key", milliseconds(4999), FailsClosed), CallerKind::Tenant);
  EXPECT_EQ(KindOf("key", RevocationTime, FailsClosed), CallerKind::Unproven);
  EXPECT_EQ(KindOf("key", std::nullopt, FailsClosed), CallerKind::Unproven);
  EXPECT_EQ(KindOf("wrong", RevocationTime, FailsClosed), CallerKind::Unproven);
  EXPECT_EQ(KindOf("wrong", milliseconds(0), FailsClosed),
            CallerKind::UnknownKey);
  EXPECT_EQ(KindOf("", milliseconds(0), FailsClosed), CallerKind::UnknownKey);
  EXPECT_EQ(KindOf("key", RevocationTime, FailsOpen), CallerKind::Tenant);
}

// Guards against a route's priority that comes before its tenant's, and against
// requests of one tenant that all get the same priority.
TEST(CallerIdentityTest, PriorityOfTheTenantComesBeforeThatOfTheRoute) {
  const auto Catalogue =
      makeCatalogue({makeTenant("high", "k0", 0), makeTenant("low", "k1", 1),
                     makeTenant("plain", "k2")});
  const auto RankOf = [&](std::string_view Key, std::size_t Route) {
    return identifyCaller(Catalogue, Catalogue.m_Routes[Route], Key,
                          FailsClosed, milliseconds(0))
        .m_Priority;
  };
  EXPECT_LT(RankOf("k0", 0), RankOf("k0", 1));
  EXPECT_LT(RankOf("k0", 1), RankOf("k1", 0));
  EXPECT_LT(RankOf("k1", 0), RankOf("k1", 1));
  EXPECT_EQ(RankOf("k2", 0), RankOf("k0", 0));
  EXPECT_GT(RankOf("k2", 1), RankOf("k1", 1));
}

// Guards against ranks beyond what endpoints accept.
TEST(CallerIdentityTest, RanksStayInTheRangeOfEndpoints) {
  constexpr int Count = 20;
  std::vector<Tenant> Tenants;
  Tenants.reserve(Count);
  for (int Priority = 0; Priority < Count; ++Priority)
    Tenants.push_back(
        makeTenant("t", "k" + std::to_string(Priority), Priority));
  const auto Catalogue = makeCatalogue(std::move(Tenants));
  EXPECT_EQ(Catalogue.priorityRank(19, 2), serving::Catalogue::HighestRank);
  EXPECT_EQ(Catalogue.priorityRank(0, 0), 0);
}

} // namespace
} // namespace sff::tenants
