#include "Controller/EndpointClient.h"

#include "Common/Codec/BoundedJson.h"
#include "Net/Http/Body.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sff::controller {

namespace asio = boost::asio;

namespace {

/// Endpoints respond to a load order when the load is complete, which takes
/// long if the weight store is slow.
constexpr milliseconds OrderTimeout{60000};
constexpr milliseconds FenceTimeout{1000};
constexpr milliseconds ReadTimeout{1000};
constexpr milliseconds ConnectTimeout{500};

struct HostListResponse {
  std::vector<messages::EndpointInfo> m_Hosts;
  static constexpr auto describe() {
    return std::make_tuple(codec::field("hosts", &HostListResponse::m_Hosts));
  }
};

bool isBusy(const std::string &Body) {
  const auto Parsed = codec::tryParseBounded(Body);
  return Parsed.is_object() && Parsed.value("reason", "") == "busy";
}

control::OrderResult toOrderResult(const http::SendResult &Result) {
  const auto *Answer = std::get_if<http::Response>(&Result);
  if (!Answer)
    return control::OrderResult::Unknown;
  if (Answer->m_Status == 200)
    return control::OrderResult::Done;
  if (Answer->m_Status == 409)
    return isBusy(Answer->m_Body) ? control::OrderResult::Busy
                                  : control::OrderResult::Refused;
  return control::OrderResult::Failed;
}

} // namespace

EndpointClient::EndpointClient(timers::EventLoop &EndpointLoop,
                               timers::EventLoop &ControlLoop)
    : m_EndpointLoop(EndpointLoop), m_ControlLoop(ControlLoop),
      m_Http(EndpointLoop.context().get_executor()) {}

void EndpointClient::sendOrder(const std::string &Address,
                               control::OrderRequest Order,
                               std::function<void(control::OrderResult)> Done) {
  const auto Remote = http::Address::parse(Address).value_or(http::Address{});
  asio::co_spawn(
      m_EndpointLoop.context(),
      [this, Remote, Order = std::move(Order),
       Done = std::move(Done)]() -> asio::awaitable<void> {
        http::ClientOptions Options;
        Options.m_ConnectTimeout = ConnectTimeout;
        Options.m_ReadTimeout =
            Order.m_Kind == "fence" ? FenceTimeout : OrderTimeout;
        // A pooled connection may be dead without notice, and an order sent on
        // it would wait for the full timeout.
        Options.m_ForceNewConnection = true;
        http::Request Message;
        Message.m_Method = "POST";
        Message.m_Target = "/control/orders";
        Message.m_Headers.set("Content-Type", "application/json");
        Message.m_Body = nlohmann::json(Order).dump();
        const http::SendResult Result =
            co_await m_Http.send(Remote, std::move(Message), Options);
        m_ControlLoop.postCompletion(
            [Done, Value = toOrderResult(Result)] { Done(Value); });
      },
      asio::detached);
}

template <typename T>
void EndpointClient::get(const std::string &Address, std::string Target,
                         Caching Mode,
                         std::function<void(std::optional<T>)> Done) {
  const auto Remote = http::Address::parse(Address).value_or(http::Address{});
  asio::co_spawn(
      m_EndpointLoop.context(),
      [this, Remote, Target = std::move(Target), Mode,
       Done = std::move(Done)]() -> asio::awaitable<void> {
        http::ClientOptions Options;
        Options.m_ConnectTimeout = ConnectTimeout;
        Options.m_ReadTimeout = ReadTimeout;
        http::Request Message;
        Message.m_Target = Target;
        if (Mode == Caching::EntityTag && !m_HostListTag.empty())
          Message.m_Headers.set("If-None-Match", m_HostListTag);
        const http::SendResult Result =
            co_await m_Http.send(Remote, std::move(Message), Options);
        // After a failure the other pooled connections may be dead too.
        if (std::holds_alternative<http::TransportFailure>(Result))
          m_Http.dropIdle(Remote);
        const auto *Answer = std::get_if<http::Response>(&Result);
        if (Mode == Caching::EntityTag && Answer && Answer->m_Status == 200)
          m_HostListTag = Answer->m_Headers.find("ETag").value_or("");
        m_ControlLoop.postCompletion(
            [Done, Value = http::parseResponse<T>(
                       Result, log::Category::Platform)] { Done(Value); });
      },
      asio::detached);
}

void EndpointClient::readInventory(
    const std::string &Address,
    std::function<void(std::optional<control::Inventory>)> Done) {
  get<control::Inventory>(Address, "/control/inventory", Caching::Off,
                          std::move(Done));
}

void EndpointClient::readHosts(
    const std::string &Address,
    std::function<void(std::optional<std::vector<messages::EndpointInfo>>)>
        Done) {
  get<HostListResponse>(Address, "/v1/hosts", Caching::EntityTag,
                        [Done](std::optional<HostListResponse> Answer) {
                          if (Answer)
                            Done(std::move(Answer->m_Hosts));
                          else
                            Done(std::nullopt);
                        });
}

} // namespace sff::controller
