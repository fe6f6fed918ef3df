#include "StandIns/PlatformLog/LogService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace sff::standin {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t DefaultReadRecords = 1000;
constexpr std::int64_t MaxReadRecords = 100000;
constexpr milliseconds MaxReadWait{60000};

http::Response makeRead(const LogStream &Log, Offset From, std::size_t Limit) {
  return {200, {{"Content-Type", "application/json"}}, Log.read(From, Limit)};
}

} // namespace

LogService::LogService(asio::io_context &Context, LogOptions Options)
    : m_StandIn(Context, {{"late_append_ms", 0},
                          {"duplicate_append", false},
                          {"retention", Options.m_Retention}}),
      m_RateLimiter(Options.m_AppendsPerSecond) {
  const std::string Records = "/v1/streams/{}/records";
  m_StandIn.route(
      "POST", Records, ResponseFaults::Enabled,
      [this](RequestContext &Incoming) { return handleAppend(Incoming); });
  m_StandIn.route(
      "GET", Records, ResponseFaults::None,
      [this](RequestContext &Incoming) { return handleRead(Incoming); });
  m_StandIn.route("GET", "/v1/streams", ResponseFaults::None,
                  [this](RequestContext &) -> asio::awaitable<HandlerResult> {
                    co_return http::makeJsonResponse(200, describe());
                  });
}

Offset LogService::store(const std::string &Name, std::string Data) {
  Stream &Target = m_Streams[Name];
  const auto Configured = std::max<std::int64_t>(
      1, m_StandIn.faults().get<std::int64_t>("retention"));
  const auto Retention = static_cast<std::size_t>(Configured);
  const bool Duplicate = m_StandIn.faults().consume("duplicate_append");
  const Offset At = Target.m_Log.append(Data, Retention);
  if (Duplicate)
    Target.m_Log.append(std::move(Data), Retention);
  Target.m_Changed.notifyAll();
  return At;
}

asio::awaitable<HandlerResult>
LogService::handleAppend(RequestContext &Incoming) {
  if (!m_RateLimiter.tryAcquire(std::chrono::steady_clock::now()))
    co_return http::makeProblem(429, "Too Many Requests", "append rate");
  std::string Data = Incoming.json().dump();
  const std::string &Name = Incoming.m_PathParameters.front();
  const milliseconds AppendDelay(
      m_StandIn.faults().get<std::int64_t>("late_append_ms"));
  if (AppendDelay.count() > 0) {
    asio::co_spawn(
        m_StandIn.context(),
        [](LogService *Self, milliseconds Delay, std::string Stream,
           std::string Text) -> asio::awaitable<void> {
          co_await sleepFor(Delay);
          Self->store(Stream, std::move(Text));
        }(this, AppendDelay, Name, std::move(Data)),
        asio::detached);
    Incoming.m_Exchange.abort();
    co_return std::nullopt;
  }
  const Offset At = store(Name, std::move(Data));
  co_return http::makeJsonResponse(200, {{"offset", At}});
}

asio::awaitable<HandlerResult>
LogService::handleRead(RequestContext &Incoming) {
  const auto From = static_cast<Offset>(
      std::max<std::int64_t>(1, Incoming.number("from", 1)));
  const auto Limit = static_cast<std::size_t>(std::clamp<std::int64_t>(
      Incoming.number("max", DefaultReadRecords), 0, MaxReadRecords));
  const Instant End =
      std::chrono::steady_clock::now() +
      std::min(milliseconds(Incoming.number("wait_ms", 0)), MaxReadWait);
  Stream &Requested = m_Streams[Incoming.m_PathParameters.front()];
  while (Requested.m_Log.head() < From) {
    const Duration Left = End - std::chrono::steady_clock::now();
    if (Left <= Duration::zero())
      break;
    co_await Requested.m_Changed.wait(Left);
  }
  co_return makeRead(Requested.m_Log, From, Limit);
}

nlohmann::json LogService::describe() const {
  nlohmann::json Streams = nlohmann::json::object();
  for (const auto &[Name, Item] : m_Streams)
    Streams[Name] = {{"first", Item.m_Log.first()},
                     {"head", Item.m_Log.head()}};
  return {{"streams", Streams}};
}

} // namespace sff::standin
