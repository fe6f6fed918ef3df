#include "ProcessTests/Support/ProcessTest.h"

#include <fstream>
#include <future>

namespace sff::test {
namespace {

using std::chrono::steady_clock;

class WeightStoreTest : public ProcessTest {
protected:
  void startStore(double LoadsPerSecond) {
    m_Store = startStandIn("weights", "standin-weights",
                           {{"weights",
                             {{"loads_per_second", LoadsPerSecond},
                              {"full_speed_loads", 1},
                              {"bytes_per_second", 1000.0}}}});
  }
  /// Runs \p Count loads concurrently and returns the time until all have
  /// finished.
  Duration loadConcurrently(int Count, int Bytes) {
    const Instant Start = steady_clock::now();
    std::vector<std::future<int>> Loads;
    Loads.reserve(static_cast<std::size_t>(Count));
    for (int Index = 0; Index < Count; ++Index)
      Loads.push_back(std::async(std::launch::async, [this, Bytes] {
        BlockingHttpClient Other;
        return Other
            .get(m_Store, "/v1/weights/m/1?bytes=" + std::to_string(Bytes))
            .status();
      }));
    for (auto &Load : Loads)
      EXPECT_EQ(Load.get(), 200);
    return steady_clock::now() - Start;
  }
  nlohmann::json loads() { return m_Http.get(m_Store, "/v1/loads").json(); }

  http::Address m_Store;
};

// Guards against a store that exceeds its configured bandwidth.
TEST_F(WeightStoreTest, ParallelLoadsShareTheBandwidth) {
  startStore(0);
  EXPECT_GE(loadConcurrently(1, 300), milliseconds(290));
  EXPECT_GE(loadConcurrently(3, 300), milliseconds(870));
  EXPECT_EQ(loads().at("started").at("m"), 4);
  EXPECT_EQ(loads().at("peak_running"), 3);
  setFaults(m_Store, {{"slowdown", 4.0}});
  EXPECT_GE(loadConcurrently(1, 100), milliseconds(390));
}

TEST_F(WeightStoreTest, LoadsStartAtTheConfiguredRate) {
  startStore(5);
  EXPECT_GE(loadConcurrently(3, 0), milliseconds(390));
}

TEST_F(WeightStoreTest, OutageStartsNoLoad) {
  startStore(0);
  setFaults(m_Store, {{"outage", true}});
  EXPECT_EQ(m_Http.get(m_Store, "/v1/weights/m/1?bytes=1").status(), 503);
  setFaults(m_Store, {{"outage", false}});
  EXPECT_TRUE(loads().at("started").empty());
}

class HostListTest : public ProcessTest {
protected:
  void SetUp() override {
    const std::string Path = folder() / "hosts.json";
    std::ofstream(Path) << R"([{"host":"e1","address":"127.0.0.1:1"}])";
    m_List = startStandIn("hosts", "standin-hosts",
                          {{"hosts", {{"hosts_file", Path}, {"lag_ms", 400}}}});
  }
  nlohmann::json hosts() {
    return m_Http.get(m_List, "/v1/hosts").json().at("hosts");
  }

  http::Address m_List;
};

TEST_F(HostListTest, ChangeIsVisibleAfterTheLag) {
  ASSERT_EQ(hosts().size(), 1);
  EXPECT_EQ(hosts().at(0).at("state"), "live");
  const auto Change = nlohmann::json::parse(
      R"({"hosts":[{"host":"e1","state":"leaving"},{"host":"e2"}]})");
  ASSERT_EQ(m_Http.post(m_List, "/v1/hosts", Change).status(), 200);
  EXPECT_EQ(hosts().size(), 1);
  ASSERT_TRUE(waitUntil([&] { return hosts().size() == 2; }));
  EXPECT_EQ(hosts().at(0).at("state"), "leaving");
  EXPECT_EQ(hosts().at(0).at("address"), "127.0.0.1:1");
}

TEST_F(HostListTest, OutageRejectsRequests) {
  setFaults(m_List, {{"outage", true}});
  EXPECT_EQ(m_Http.get(m_List, "/v1/hosts").status(), 503);
}

} // namespace
} // namespace sff::test
