#pragma once

#include "Net/Http/Client.h"
#include "StandIns/Engine/EngineOptions.h"
#include "StandIns/Engine/ModelTable.h"
#include "StandIns/Engine/WeightCache.h"
#include "StandIns/Support/FaultSwitches.h"
#include "StandIns/Support/Wait.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace sff::standin {

/// Executes the owner's orders: fencing, idempotency by order id, loads from
/// the nearest place that has the weights, and unloads.
/// Thread safety: use from the io_context's thread.
class OrderHandler {
public:
  /// Precondition: all references outlive this object.
  OrderHandler(boost::asio::io_context &Context, const EngineOptions &Options,
               const FaultSwitches &Faults, ModelTable &Models,
               AcceleratorMemory &Memory);

  /// Answers when the order is complete. A load continues when its caller
  /// leaves. Only success is remembered for repeats of the same order id.
  boost::asio::awaitable<http::Response> execute(Order Given);

  /// Adds the fencing token, the role, cached weights and load counts.
  void describe(nlohmann::json &Inventory) const;

private:
  struct Progress {
    std::optional<http::Response> m_Result;
    Signal m_Done;
  };

  boost::asio::awaitable<http::Response> executeOnce(Order Given);
  boost::asio::awaitable<http::Response> load(Order Given);
  boost::asio::awaitable<bool> fetch(Order Given, WeightPlace From);
  boost::asio::awaitable<bool> fetchRemote(Order Given);
  http::Response unload(const Order &Given);
  std::shared_ptr<Progress> remember(const std::string &OrderId);
  void forget(const std::string &OrderId);

  const EngineOptions &m_Options;
  const FaultSwitches &m_Faults;
  ModelTable &m_Models;
  AcceleratorMemory &m_Memory;
  WeightCache m_Cache;
  http::Client m_Http;
  Signal m_LoadEnded;
  std::uint64_t m_HighestToken = 0;
  std::string m_Role = "both";
  std::map<std::string, std::shared_ptr<Progress>> m_Orders;
  std::deque<std::string> m_OrderIds;
  std::map<std::string, std::int64_t> m_LoadsByPlace;
};

} // namespace sff::standin
