#pragma once

#include "Net/Http/Client.h"
#include "StandIns/Engine/EngineOptions.h"
#include "StandIns/Engine/ModelTable.h"
#include "StandIns/Engine/WeightCache.h"
#include "StandIns/Support/InjectedFaults.h"
#include "StandIns/Support/RateLimiter.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace sff::standin {

/// Executes the owner's orders, with fencing and idempotency by order id. Loads
/// take the weights from the nearest location: host memory, local disk or the
/// weight store.
/// Thread safety: use from the io_context's thread.
class OrderHandler {
public:
  /// Precondition: all references outlive this object.
  OrderHandler(boost::asio::io_context &Context, const EngineOptions &Options,
               const InjectedFaults &Faults, ModelTable &Models,
               AcceleratorMemory &Memory);

  /// Returns the response once the order has completed. A load continues if its
  /// caller disconnects. Only successful results are reused for repeats of the
  /// same order id; a failed order is executed again.
  boost::asio::awaitable<http::Response> execute(Order NewOrder);

  /// Adds the highest fencing token, the role, the cached weights and the load
  /// counts to \p Inventory.
  void describe(nlohmann::json &Inventory) const;

private:
  struct OrderExecution {
    std::optional<http::Response> m_Result;
    AsyncCondition m_Done;
  };

  boost::asio::awaitable<http::Response> executeNew(Order NewOrder);
  boost::asio::awaitable<http::Response> load(Order NewOrder);
  boost::asio::awaitable<bool> fetch(Order NewOrder, WeightLocation From);
  boost::asio::awaitable<bool> fetchRemote(Order NewOrder);
  http::Response unload(const Order &NewOrder);
  std::shared_ptr<OrderExecution> beginOrder(const std::string &OrderId);
  void forgetOrder(const std::string &OrderId);

  const EngineOptions &m_Options;
  const InjectedFaults &m_Faults;
  ModelTable &m_Models;
  AcceleratorMemory &m_AcceleratorMemory;
  WeightCache m_Cache;
  http::Client m_Http;
  AsyncCondition m_LoadFinished;
  std::uint64_t m_HighestToken = 0;
  std::string m_Role = "both";
  std::map<std::string, std::shared_ptr<OrderExecution>> m_Orders;
  std::deque<std::string> m_OrderIds;
  std::map<std::string, std::int64_t> m_LoadsByLocation;
};

} // namespace sff::standin
