#include "StandIns/Engine/OrderHandler.h"

#include "Common/Logging/Log.h"

namespace sff::standin {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxRecordedOrders = 2000;
constexpr milliseconds LoadPollPeriod{1000};
/// Read timeout for the weight store; long because the store queues loads above
/// its rate.
constexpr milliseconds FetchTimeout{600000};

http::Response makeRejection(int Status, const char *Reason) {
  return http::makeJsonResponse(Status, {{"reason", Reason}});
}

http::Response makeReadyResponse(const std::string &Source) {
  return http::makeJsonResponse(200, {{"state", "ready"}, {"source", Source}});
}

} // namespace

OrderHandler::OrderHandler(asio::io_context &Context,
                           const EngineOptions &Options,
                           const InjectedFaults &Faults, ModelTable &Models,
                           AcceleratorMemory &Memory)
    : m_Options(Options), m_Faults(Faults), m_Models(Models),
      m_AcceleratorMemory(Memory),
      m_Cache(Options.m_MemoryCacheModels, Options.m_DiskCacheModels),
      m_Http(Context.get_executor()) {
  for (const std::string &Key : Options.m_OnDisk)
    m_Cache.putOnDisk(Key);
}

asio::awaitable<http::Response> OrderHandler::execute(Order NewOrder) {
  if (m_Options.m_Fencing && NewOrder.m_FencingToken < m_HighestToken)
    co_return http::makeJsonResponse(
        409, {{"reason", "fenced"}, {"highest_token", m_HighestToken}});
  m_HighestToken = std::max(m_HighestToken, NewOrder.m_FencingToken);
  if (NewOrder.m_Kind == "fence")
    co_return http::makeJsonResponse(200, {{"highest_token", m_HighestToken}});
  if (const auto Existing = m_Orders.find(NewOrder.m_Id);
      Existing != m_Orders.end()) {
    const std::shared_ptr<OrderExecution> Earlier = Existing->second;
    while (!Earlier->m_Result)
      co_await Earlier->m_Done.wait(LoadPollPeriod);
    co_return *Earlier->m_Result;
  }
  const std::string OrderId = NewOrder.m_Id;
  const std::shared_ptr<OrderExecution> Current = beginOrder(OrderId);
  Current->m_Result = co_await executeNew(std::move(NewOrder));
  Current->m_Done.notifyAll();
  if (Current->m_Result->m_Status != 200)
    forgetOrder(OrderId);
  co_return *Current->m_Result;
}

asio::awaitable<http::Response> OrderHandler::executeNew(Order NewOrder) {
  log::entry(log::Category::Loading, "engine.order", NewOrder.m_Model,
             {{"kind", NewOrder.m_Kind},
              {"order_id", NewOrder.m_Id},
              {"fencing_token", NewOrder.m_FencingToken}});
  if (NewOrder.m_Kind == "load")
    co_return co_await load(std::move(NewOrder));
  if (NewOrder.m_Kind == "unload")
    co_return unload(NewOrder);
  if (NewOrder.m_Kind != "role")
    co_return makeRejection(400, "unknown_kind");
  m_Role = NewOrder.m_Role;
  co_return http::makeJsonResponse(200, {{"role", m_Role}});
}

asio::awaitable<http::Response> OrderHandler::load(Order NewOrder) {
  while (const ModelTable::Entry *Existing = m_Models.find(NewOrder.m_Model)) {
    if (Existing->m_Order.m_Version != NewOrder.m_Version)
      co_return makeRejection(422, "other_version_loaded");
    if (Existing->m_Ready)
      co_return makeReadyResponse("loaded");
    co_await m_LoadFinished.wait(LoadPollPeriod);
  }
  if (!NewOrder.m_BaseModel.empty() &&
      !m_Models.findReady(NewOrder.m_BaseModel))
    co_return makeRejection(422, "base_not_loaded");
  m_Models.add(NewOrder);
  m_AcceleratorMemory.add(NewOrder.m_Bytes);
  const WeightLocation From = m_Cache.locate(NewOrder.weightKey());
  ++m_LoadsByLocation[toString(From)];
  const bool Complete = co_await fetch(NewOrder, From);
  if (Complete) {
    m_Models.find(NewOrder.m_Model)->m_Ready = true;
    m_Cache.putOnDisk(NewOrder.weightKey());
  } else {
    m_Models.remove(NewOrder.m_Model);
    m_AcceleratorMemory.remove(NewOrder.m_Bytes);
  }
  m_LoadFinished.notifyAll();
  co_return Complete ? makeReadyResponse(toString(From))
                     : makeRejection(502, "weights_unavailable");
}

asio::awaitable<bool> OrderHandler::fetch(Order NewOrder, WeightLocation From) {
  const Instant Start = std::chrono::steady_clock::now();
  bool Complete = true;
  if (From == WeightLocation::Remote)
    Complete = co_await fetchRemote(std::move(NewOrder));
  else if (From == WeightLocation::Memory)
    co_await sleepFor(m_Options.m_MemoryLoadTime);
  else
    co_await sleepFor(m_Options.m_DiskLoadTime);
  const std::chrono::duration<double> Taken =
      std::chrono::steady_clock::now() - Start;
  const double Excess = m_Faults.get<double>("slow_load") - 1;
  co_await sleepFor(std::chrono::duration_cast<Duration>(Taken * Excess));
  co_return Complete;
}

asio::awaitable<bool> OrderHandler::fetchRemote(Order NewOrder) {
  http::Request Message;
  Message.m_Target = "/v1/weights/" + NewOrder.weightKey() +
                     "?bytes=" + std::to_string(NewOrder.m_Bytes);
  http::ClientOptions Options;
  Options.m_ReadTimeout = FetchTimeout;
  const http::SendResult Result = co_await m_Http.send(
      m_Options.m_WeightStore, std::move(Message), Options);
  const auto *Received = std::get_if<http::Response>(&Result);
  co_return Received && Received->m_Status == 200;
}

http::Response OrderHandler::unload(const Order &NewOrder) {
  const ModelTable::Entry *Existing = m_Models.find(NewOrder.m_Model);
  if (!Existing)
    return http::makeJsonResponse(200, {{"state", "absent"}});
  // With 409, any reason other than "busy" means that the order was fenced.
  if (!Existing->m_Ready || Existing->m_ActiveRequests > 0 ||
      m_Models.hasAdapterOf(NewOrder.m_Model))
    return makeRejection(409, "busy");
  m_Cache.putInMemory(Existing->m_Order.weightKey());
  m_AcceleratorMemory.remove(Existing->m_Order.m_Bytes);
  m_Models.remove(NewOrder.m_Model);
  return http::makeJsonResponse(200, {{"state", "absent"}});
}

std::shared_ptr<OrderHandler::OrderExecution>
OrderHandler::beginOrder(const std::string &OrderId) {
  m_OrderIds.push_back(OrderId);
  if (m_OrderIds.size() > MaxRecordedOrders) {
    m_Orders.erase(m_OrderIds.front());
    m_OrderIds.pop_front();
  }
  return m_Orders[OrderId] = std::make_shared<OrderExecution>();
}

void OrderHandler::forgetOrder(const std::string &OrderId) {
  m_Orders.erase(OrderId);
  std::erase(m_OrderIds, OrderId);
}

void OrderHandler::describe(nlohmann::json &Inventory) const {
  Inventory["highest_token"] = m_HighestToken;
  Inventory["fencing"] = m_Options.m_Fencing;
  Inventory["role"] = m_Role;
  Inventory["cached"] = m_Cache.describe();
  Inventory["loads"] = m_LoadsByLocation;
}

} // namespace sff::standin
