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

// Guards against names that a caller has made up and that count as known.
TEST(CatalogueTest, OnlyConfiguredModelsAndAdaptersAreKnown) {
  EngineSpec Engine;
  for (const char *Name : {"m1", "m2", "m3"})
    Engine.m_Models[Name].m_AdapterPrefix = "a";
  Engine.m_Models["m1"].m_AdapterCount = 12;
  Engine.m_Models["m3"].m_AdapterCount = 0;
  Catalogue Config;
  Config.m_Services["plain"] = {};
  Config.m_Services["engine"].m_Engine = Engine;
  const auto Knows = [&Config](const char *Name) {
    return Config.knows(ModelName::parse(Name));
  };
  for (const char *Known :
       {"m1", "m1/a1", "m1/a9", "m1/a10", "m1/a12", "m2/any", "m3", "m3/"})
    EXPECT_TRUE(Knows(Known)) << Known;
  for (const char *Unknown :
       {"", "/", "/a1", "m4", "M1", "m1/a", "m1/a0", "m1/a01", "m1/a13",
        "m1/a-1", "m1/a+1", "m1/a1 ", "m1/b1", "m1/1", "m1/a1/a1",
        "m1/a18446744073709551617", "m3/a1"})
    EXPECT_FALSE(Knows(Unknown)) << Unknown;
}

} // namespace
} // namespace sff::serving
