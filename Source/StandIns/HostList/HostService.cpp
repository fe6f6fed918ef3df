#include "StandIns/HostList/HostService.h"

#include "StandIns/Support/RateLimiter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sff::standin {

namespace asio = boost::asio;

HostService::HostService(asio::io_context &Context, milliseconds Lag,
                         const nlohmann::json &Initial)
    : m_StandIn(Context, {{"lag_ms", Lag.count()}}) {
  apply(Initial);
  m_StandIn.route(
      "GET", "/v1/hosts", ResponseFaults::None,
      [this](RequestContext &Incoming) { return handleList(Incoming); });
  m_StandIn.route(
      "POST", "/v1/hosts", ResponseFaults::None,
      [this](RequestContext &Incoming) { return handleChange(Incoming); });
}

asio::awaitable<HandlerResult>
HostService::handleList(RequestContext &Incoming) {
  http::Response Result = http::makeJsonResponse(200, describe());
  const std::string Tag =
      "\"" + std::to_string(std::hash<std::string>()(Result.m_Body)) + "\"";
  if (Incoming.header("If-None-Match") == Tag)
    Result = {304, {}, ""};
  Result.m_Headers.set("ETag", Tag);
  co_return Result;
}

void HostService::apply(const nlohmann::json &Hosts) {
  for (const nlohmann::json &Item : Hosts) {
    nlohmann::json &Target = m_Hosts[Item.at("host").get<std::string>()];
    if (Target.is_null())
      Target = {{"kind", "engine"}, {"state", "live"}};
    Target.update(Item);
  }
}

asio::awaitable<HandlerResult>
HostService::handleChange(RequestContext &Incoming) {
  nlohmann::json Hosts = Incoming.json().at("hosts");
  for (const nlohmann::json &Item : Hosts)
    Item.at("host").get<std::string>();
  const milliseconds Lag(m_StandIn.faults().get<std::int64_t>("lag_ms"));
  asio::co_spawn(
      m_StandIn.context(),
      [](HostService *Self, milliseconds Delay,
         nlohmann::json Change) -> asio::awaitable<void> {
        co_await sleepFor(Delay);
        Self->apply(Change);
      }(this, Lag, std::move(Hosts)),
      asio::detached);
  co_return http::makeJsonResponse(200, {{"shows_after_ms", Lag.count()}});
}

nlohmann::json HostService::describe() const {
  nlohmann::json Hosts = nlohmann::json::array();
  for (const auto &[Name, Item] : m_Hosts)
    Hosts.push_back(Item);
  return {{"hosts", Hosts}};
}

} // namespace sff::standin
