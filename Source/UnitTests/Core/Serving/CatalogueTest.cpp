#include "Core/Serving/Catalogue.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

Route makeRoute(std::string Host, std::string Prefix, std::string Service) {
  Route Result;
  Result.m_Host = std::move(Host);
  Result.m_PathPrefix = std::move(Prefix);
  Result.m_ServiceShares = {{std::move(Service), 1}};
  return Result;
}

// Guards against a short prefix that shadows a longer one.
TEST(CatalogueTest, LongestPrefixOfTheHostWins) {
  Catalogue Config;
  Config.m_Routes = {makeRoute("a.example", "/x/", "short"),
                     makeRoute("a.example", "/x/y/", "long"),
                     makeRoute("b.example", "/x/y/z/", "other")};
  Config.buildIndex();
  EXPECT_EQ(Config.findRoute("a.example", "/x/y/z/1")->m_PathPrefix, "/x/y/");
  EXPECT_EQ(Config.findRoute("A.Example:80", "/x/1")->m_PathPrefix, "/x/");
  EXPECT_EQ(Config.findRoute("a.example", "/x"), nullptr);
  EXPECT_EQ(Config.findRoute("c.example", "/x/1"), nullptr);
}

// Guards against sending requests to a service with weight 0.
TEST(CatalogueTest, RequestsAreSplitByWeight) {
  Route Config;
  Config.m_ServiceShares = {{"none", 0}, {"most", 3}, {"least", 1}};
  EXPECT_EQ(Config.serviceAt(0), "most");
  EXPECT_EQ(Config.serviceAt(1ULL << 63), "most");
  EXPECT_EQ(Config.serviceAt(~0ULL), "least");
}

// Guards against repeating a stream that must not be resumed.
TEST(CatalogueTest, OnlyResumableStreamsAreIdempotent) {
  Route Config;
  Config.m_Kind = RouteKind::Stream;
  EXPECT_FALSE(Config.isIdempotent());
  Config.m_Resumable = true;
  EXPECT_TRUE(Config.isIdempotent());
  Config.m_Kind = RouteKind::NonIdempotent;
  EXPECT_FALSE(Config.isIdempotent());
}

} // namespace
} // namespace sff::serving
