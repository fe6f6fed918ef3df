#include "StandIns/Engine/OrderHandler.h"

#include "Common/Logging/Log.h"

namespace sff::standin {

namespace asio = boost::asio;

namespace {

constexpr std::size_t RememberedOrders = 2000;
constexpr milliseconds LoadWaitStep{1000};
/// Longest wait for the weight store, which queues loads above its rate.
constexpr milliseconds FetchTimeout{600000};

http::Response refuse(int Status, const char *Reason) {
  return http::makeJson(Status, {{"reason", Reason}});
}

http::Response answerReady(const std::string &Source) {
  return http::makeJson(200, {{"state", "ready"}, {"source", Source}});
}

} // namespace

OrderHandler::OrderHandler(asio::io_context &Context,
                           const EngineOptions &Options,
                           const FaultSwitches &Faults, ModelTable &Models,
                           AcceleratorMemory &Memory)
    : m_Options(Options), m_Faults(Faults), m_Models(Models), m_Memory(Memory),
      m_Cache(Options.m_MemoryCacheModels, Options.m_DiskCacheModels),
      m_Http(Context.get_executor()) {
  for (const std::string &Key : Options.m_OnDisk)
    m_Cache.putOnDisk(Key);
}

asio::awaitable<http::Response> OrderHandler::execute(Order Given) {
  if (m_Options.m_Fencing && Given.m_FencingToken < m_HighestToken)
    co_return http::makeJson(
        409, {{"reason", "fenced"}, {"highest_token", m_HighestToken}});
  m_HighestToken = std::max(m_HighestToken, Given.m_FencingToken);
  if (Given.m_Kind == "fence")
    co_return http::makeJson(200, {{"highest_token", m_HighestToken}});
  if (const auto Known = m_Orders.find(Given.m_Id); Known != m_Orders.end()) {
    const std::shared_ptr<Progress> Earlier = Known->second;
    while (!Earlier->m_Result)
      co_await Earlier->m_Done.wait(LoadWaitStep);
    co_return *Earlier->m_Result;
  }
  const std::string OrderId = Given.m_Id;
  const std::shared_ptr<Progress> Current = remember(OrderId);
  Current->m_Result = co_await executeOnce(std::move(Given));
  Current->m_Done.notifyAll();
  if (Current->m_Result->m_Status != 200)
    forget(OrderId);
  co_return *Current->m_Result;
}

asio::awaitable<http::Response> OrderHandler::executeOnce(Order Given) {
  log::entry(log::Category::Loading, "engine.order", Given.m_Model,
             {{"kind", Given.m_Kind},
              {"order_id", Given.m_Id},
              {"fencing_token", Given.m_FencingToken}});
  if (Given.m_Kind == "load")
    co_return co_await load(std::move(Given));
  if (Given.m_Kind == "unload")
    co_return unload(Given);
  if (Given.m_Kind != "role")
    co_return refuse(400, "unknown_kind");
  m_Role = Given.m_Role;
  co_return http::makeJson(200, {{"role", m_Role}});
}

asio::awaitable<http::Response> OrderHandler::load(Order Given) {
  while (const ModelTable::Entry *Known = m_Models.find(Given.m_Model)) {
    if (Known->m_Order.m_Version != Given.m_Version)
      co_return refuse(422, "other_version_loaded");
    if (Known->m_Ready)
      co_return answerReady("loaded");
    co_await m_LoadEnded.wait(LoadWaitStep);
  }
  if (!Given.m_Base.empty() && !m_Models.findReady(Given.m_Base))
    co_return refuse(422, "base_not_loaded");
  m_Models.add(Given);
  m_Memory.add(Given.m_Bytes);
  const WeightPlace From = m_Cache.locate(Given.weightKey());
  ++m_LoadsByPlace[toString(From)];
  const bool Complete = co_await fetch(Given, From);
  if (Complete) {
    m_Models.find(Given.m_Model)->m_Ready = true;
    m_Cache.putOnDisk(Given.weightKey());
  } else {
    m_Models.remove(Given.m_Model);
    m_Memory.remove(Given.m_Bytes);
  }
  m_LoadEnded.notifyAll();
  co_return Complete ? answerReady(toString(From))
                     : refuse(502, "weights_unavailable");
}

asio::awaitable<bool> OrderHandler::fetch(Order Given, WeightPlace From) {
  const Instant Start = std::chrono::steady_clock::now();
  bool Complete = true;
  if (From == WeightPlace::Remote)
    Complete = co_await fetchRemote(std::move(Given));
  else if (From == WeightPlace::Memory)
    co_await sleepFor(m_Options.m_MemoryLoadTime);
  else
    co_await sleepFor(m_Options.m_DiskLoadTime);
  const std::chrono::duration<double> Taken =
      std::chrono::steady_clock::now() - Start;
  const double Excess = m_Faults.get<double>("slow_load") - 1;
  co_await sleepFor(std::chrono::duration_cast<Duration>(Taken * Excess));
  co_return Complete;
}

asio::awaitable<bool> OrderHandler::fetchRemote(Order Given) {
  http::Request Message;
  Message.m_Target = "/v1/weights/" + Given.weightKey() +
                     "?bytes=" + std::to_string(Given.m_Bytes);
  http::ClientOptions Options;
  Options.m_ReadTimeout = FetchTimeout;
  const http::SendResult Result = co_await m_Http.send(
      m_Options.m_WeightStore, std::move(Message), Options);
  const auto *Answer = std::get_if<http::Response>(&Result);
  co_return Answer && Answer->m_Status == 200;
}

http::Response OrderHandler::unload(const Order &Given) {
  const ModelTable::Entry *Known = m_Models.find(Given.m_Model);
  if (!Known)
    return http::makeJson(200, {{"state", "absent"}});
  // Other reasons with 409 mean that the order was fenced off.
  if (!Known->m_Ready || Known->m_Requests > 0 ||
      m_Models.hasAdapterOf(Given.m_Model))
    return refuse(409, "busy");
  m_Cache.putInMemory(Known->m_Order.weightKey());
  m_Memory.remove(Known->m_Order.m_Bytes);
  m_Models.remove(Given.m_Model);
  return http::makeJson(200, {{"state", "absent"}});
}

std::shared_ptr<OrderHandler::Progress>
OrderHandler::remember(const std::string &OrderId) {
  m_OrderIds.push_back(OrderId);
  if (m_OrderIds.size() > RememberedOrders) {
    m_Orders.erase(m_OrderIds.front());
    m_OrderIds.pop_front();
  }
  return m_Orders[OrderId] = std::make_shared<Progress>();
}

void OrderHandler::forget(const std::string &OrderId) {
  m_Orders.erase(OrderId);
  std::erase(m_OrderIds, OrderId);
}

void OrderHandler::describe(nlohmann::json &Inventory) const {
  Inventory["highest_token"] = m_HighestToken;
  Inventory["fencing"] = m_Options.m_Fencing;
  Inventory["role"] = m_Role;
  Inventory["cached"] = m_Cache.describe();
  Inventory["loads"] = m_LoadsByPlace;
}

} // namespace sff::standin
