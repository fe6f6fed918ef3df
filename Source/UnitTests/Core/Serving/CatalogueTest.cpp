#include "Core/Serving/Catalogue.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

Route makeRoute(std::string Host, std::string Prefix, std::string Service) {
  Route Result;
  Result.m_Host = std::move(Host);
  Result.m_PathPrefix = std::move(Prefix);
  Result.m_Shares = {{std::move(Service), 1}};
  return Result;
}

// Guards against a short prefix that takes the requests of a longer one.
TEST(CatalogueTest, LongestPrefixOfTheHostWins) {
  Catalogue Item;
  Item.m_Routes = {makeRoute("a.example", "/x/", "short"),
                   makeRoute("a.example", "/x/y/", "long"),
                   makeRoute("b.example", "/x/y/z/", "other")};
  Item.buildIndex();
  EXPECT_EQ(Item.findRoute("a.example", "/x/y/z/1")->m_PathPrefix, "/x/y/");
  EXPECT_EQ(Item.findRoute("A.Example:80", "/x/1")->m_PathPrefix, "/x/");
  EXPECT_EQ(Item.findRoute("a.example", "/x"), nullptr);
  EXPECT_EQ(Item.findRoute("c.example", "/x/1"), nullptr);
}

// Guards against a split that sends requests to a service with no weight.
TEST(CatalogueTest, SharesFollowTheirWeights) {
  Route Item;
  Item.m_Shares = {{"none", 0}, {"most", 3}, {"least", 1}};
  EXPECT_EQ(Item.serviceAt(0), "most");
  EXPECT_EQ(Item.serviceAt(1ULL << 63), "most");
  EXPECT_EQ(Item.serviceAt(~0ULL), "least");
}

// Guards against a stream that may not resume being repeated.
TEST(CatalogueTest, OnlyResumableStreamsAreIdempotent) {
  Route Item;
  Item.m_Kind = RouteKind::Stream;
  EXPECT_FALSE(Item.isIdempotent());
  Item.m_MayResume = true;
  EXPECT_TRUE(Item.isIdempotent());
  Item.m_Kind = RouteKind::NonIdempotent;
  EXPECT_FALSE(Item.isIdempotent());
}

} // namespace
} // namespace sff::serving
