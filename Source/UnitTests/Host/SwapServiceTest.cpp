#include "Host/FakeEngine.h"
#include "Host/FakeStore.h"
#include "Host/HostTestSettings.h"

#include "Host/SwapService.h"

#include <gtest/gtest.h>

#include <functional>

namespace sff::host {
namespace {

const ZoneId Zone("zone-a");
const EndpointId Endpoint("e1");
constexpr int Models = 4;

std::string modelName(int Index) { return "m" + std::to_string(Index); }

serving::Inventory makeInventory() {
  serving::Inventory Result;
  Result.setLoaded({modelName(0), {}}, true);
  for (int Index = 0; Index < Models; ++Index)
    Result.m_OnDisk.insert(modelName(Index));
  return Result;
}

std::shared_ptr<serving::Catalogue> makeCatalogue() {
  auto Result = std::make_shared<serving::Catalogue>();
  serving::EngineSpec Engine;
  Engine.m_CapacityMb = 100;
  Engine.m_Slots = 8;
  for (int Index = 0; Index < Models; ++Index)
    Engine.m_Models[modelName(Index)] = {modelName(Index), 80, 1, 1, 0.2, 0.1};
  Result->m_Services["models"] = {"models", {}, Engine};
  Result->buildIndex();
  return Result;
}

/// A host that holds the order lease of an endpoint with room for one model.
class SwapServiceTest : public testing::Test {
protected:
  SwapServiceTest()
      : m_Store(std::make_shared<FakeStore>()),
        m_Engine(std::make_shared<FakeEngine>(m_Context, makeInventory())),
        m_State(m_Context, makeTestSettings(),
                {"sff-host", "h1", "zone-a", "i"},
                {nullptr, m_Store, m_Engine,
                 std::make_shared<FakeHealthChecker>(), nullptr}),
        m_Leases(m_State, "127.0.0.1:3"), m_Notifier(m_State, "127.0.0.1:3"),
        m_Swaps(m_State, m_Leases, m_Notifier) {
    m_Store->m_Membership = {1, true};
    m_State.m_Catalogue = makeCatalogue();
    serving::Registration Entry;
    Entry.m_Id = Endpoint;
    Entry.m_Service = "models";
    Entry.m_Zone = Zone;
    Entry.m_Address = "127.0.0.1:6";
    Entry.m_Slots = 8;
    Entry.m_Inventory = makeInventory();
    m_State.m_Endpoints.apply(Entry, now());
    m_Leases.start();
    runUntil([this] { return m_Leases.tokenForOrder(Zone).has_value(); });
  }

  void runUntil(const std::function<bool()> &Condition) {
    const Instant Deadline = now() + milliseconds(8000);
    while (!Condition() && now() < Deadline)
      m_Context.run_for(milliseconds(1));
    EXPECT_TRUE(Condition());
  }

  /// Demands the model until the endpoint holds it.
  void load(int Model) {
    ModelDemand Demand;
    Demand.m_Zone = Zone;
    Demand.m_Service = "models";
    Demand.m_Model = modelName(Model);
    Demand.m_WaitMs = 5000;
    Demand.m_Waiting = 50;
    std::optional<DemandResponse> Answer;
    boost::asio::co_spawn(
        m_Context,
        [&]() -> Task<void> { Answer = co_await m_Swaps.handleDemand(Demand); },
        boost::asio::detached);
    runUntil([&] { return Answer.has_value(); });
    EXPECT_EQ(Answer->m_Status, DemandStatus::Ready);
  }

  boost::asio::io_context m_Context;
  std::shared_ptr<FakeStore> m_Store;
  std::shared_ptr<FakeEngine> m_Engine;
  HostState m_State;
  OrderLeases m_Leases;
  InventoryNotifier m_Notifier;
  SwapService m_Swaps;
};

// Guards against repeating a load every 40 ms while the endpoint carries out
// the unload before: half of all orders were rejected.
TEST_F(SwapServiceTest, LoadIsSentWhenTheUnloadHasEnded) {
  for (int Model = 1; Model < Models; ++Model)
    load(Model);
  EXPECT_EQ(m_Engine->m_Accepted, 6);
  EXPECT_EQ(m_Engine->m_Conflicts, 0);
}

// Guards against rejected orders, and a load that starts late, while requests
// still run on the model that is unloaded.
TEST_F(SwapServiceTest, LoadFollowsALongUnload) {
  m_Engine->m_UnloadTime = milliseconds(900);
  load(1);
  EXPECT_EQ(m_Engine->m_Accepted, 2);
  EXPECT_LE(m_Engine->m_Conflicts, 1);
  // The report lags by 100 ms, and is read every 120 ms at least.
  EXPECT_GT(m_Engine->m_IdleTime, Duration::zero());
  EXPECT_LT(m_Engine->m_IdleTime, milliseconds(300));
  EXPECT_LT(m_Engine->m_Reports, 15);
}

// Guards against orders that ask every 40 ms whether a slow load has ended.
TEST_F(SwapServiceTest, SlowLoadIsAwaitedByReports) {
  m_Engine->m_LoadTime = milliseconds(900);
  load(1);
  EXPECT_LE(m_Engine->m_Conflicts, 1);
}

// Guards against the eviction of a model in the first moments of the demand,
// when no host has reported which models it needs.
TEST_F(SwapServiceTest, NothingIsEvictedBeforeTheDemandIsKnown) {
  const Instant Begin = now();
  load(1);
  EXPECT_GE(now() - Begin, serving::DemandKnowledge::MaxUnknownTime);
}

} // namespace
} // namespace sff::host
