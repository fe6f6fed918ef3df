#include "ProcessTests/StandIns/EngineFixture.h"

#include <future>

namespace sff::test {
namespace {

using EngineControlTest = EngineFixture;

TEST_F(EngineControlTest, RejectsOldFencingTokens) {
  startEngine();
  EXPECT_EQ(order(makeOrder("f", "fence", "", 9)).status(), 200);
  const HttpResult Rejected = order(makeOrder("l", "load", "m", 8));
  EXPECT_EQ(Rejected.status(), 409);
  EXPECT_EQ(Rejected.json().at("highest_token"), 9);
  EXPECT_TRUE(inventory().at("models").empty());
}

TEST_F(EngineControlTest, EngineWithoutFencingAcceptsOldTokens) {
  startEngine({{"fencing", false}});
  order(makeOrder("f", "fence", "", 9));
  EXPECT_EQ(order(makeOrder("l", "load", "m", 8)).status(), 200);
}

// Guards against a repeated order that starts a second load, and against
// fetching weights from the store although they are cached locally.
TEST_F(EngineControlTest, RepeatedOrderLoadsOnceAndFillsCaches) {
  const http::Address Store =
      startStandIn("weights", "standin-weights",
                   {{"weights", {{"bytes_per_second", 5000.0}}}});
  startEngine({{"weight_store", Store.str()}});
  auto Repeat = std::async(std::launch::async, [this] {
    BlockingHttpClient Other;
    return Other.post(m_Engine, "/control/orders", makeOrder("o", "load", "n"));
  });
  EXPECT_EQ(order(makeOrder("o", "load", "n")).status(), 200);
  EXPECT_EQ(Repeat.get().status(), 200);
  EXPECT_EQ(order(makeOrder("u", "unload", "n")).status(), 200);
  // The controller parses this member in exactly this form.
  const auto InMemory =
      nlohmann::json::parse(R"({"model":"n","version":"1","where":"memory"})");
  EXPECT_EQ(inventory().at("cached").at(0), InMemory);
  EXPECT_EQ(order(makeOrder("o2", "load", "n")).json().at("source"), "memory");
  const auto Loads = m_Http.get(Store, "/v1/loads").json();
  EXPECT_EQ(Loads.at("started").at("n"), 1);
}

TEST_F(EngineControlTest, FailedLoadReleasesModelAndMemory) {
  startEngine({{"weight_store", "127.0.0.1:1"}});
  EXPECT_EQ(order(makeOrder("o", "load", "n")).status(), 502);
  EXPECT_EQ(inventory().at("used_bytes"), 0);
  EXPECT_TRUE(inventory().at("models").empty());
}

TEST_F(EngineControlTest, UnloadIsRejectedWhileRequestsRun) {
  startEngine({{"token_ms", 20}});
  load();
  auto Running = std::async(std::launch::async,
                            [this] { return complete("r", "p", 100); });
  ASSERT_TRUE(waitUntil([&] { return !inventory().at("running").empty(); }));
  const auto Item = inventory().at("running").at(0);
  EXPECT_EQ(Item.at("bytes"), 1000);
  const HttpResult Busy = order(makeOrder("u1", "unload", "m"));
  EXPECT_EQ(Busy.status(), 409);
  EXPECT_EQ(Busy.json().at("reason"), "busy");
  EXPECT_EQ(textOf(Running.get()), expected("r", "p", 100));
  EXPECT_EQ(order(makeOrder("u1", "unload", "m")).status(), 200);
  EXPECT_EQ(inventory().at("used_bytes"), 0);
}

TEST_F(EngineControlTest, AdapterRequiresLoadedBaseModel) {
  startEngine({{"on_disk", {"a/1"}}});
  auto Adapter = makeOrder("a", "load", "a");
  Adapter["base"] = "m";
  EXPECT_EQ(order(Adapter).json().at("reason"), "base_not_loaded");
  load();
  EXPECT_EQ(order(makeOrder("u", "unload", "x")).status(), 200);
}

// Guards against a stand-in that does not report an overcommitment, which would
// hide an accounting error of the owner.
TEST_F(EngineControlTest, RecordsOvercommittedMemory) {
  startEngine({{"memory_bytes", 1500}});
  load();
  EXPECT_EQ(complete("r1", "p", 50).status(), 200);
  EXPECT_EQ(inventory().at("overcommitted"), 0);
  EXPECT_EQ(complete("r2", "p", 51).status(), 200);
  EXPECT_EQ(inventory().at("overcommitted"), 1);
  EXPECT_EQ(inventory().at("high_water_bytes"), 1510);
}

TEST_F(EngineControlTest, CacheEventsAreDelayedAndDropped) {
  startEngine({{"cache_event_delay_ms", 300}, {"drop_each_nth_event", 2}});
  load();
  const std::string Prompt(3 * standin::PromptBlockBytes, 'x');
  complete("r1", Prompt, 1);
  const auto Events = [this] {
    return m_Http.get(m_Engine, "/control/cache-events?from=1").json();
  };
  ASSERT_TRUE(waitUntil([&] { return Events().at("events").size() == 2; }));
  const auto Listed = Events().at("events");
  EXPECT_EQ(Listed.at(0).at("sequence"), 1);
  EXPECT_EQ(Listed.at(1).at("sequence"), 3);
  EXPECT_EQ(Listed.at(1).at("block"),
            standin::promptBlockHashes(Prompt).front());
  EXPECT_EQ(Events().at("next"), 4);
}

} // namespace
} // namespace sff::test
