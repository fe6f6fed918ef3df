#include "Router/LoadPoller.h"

#include "Common/Codec/BoundedJson.h"
#include "Common/Time/Clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sff::router {

namespace {

constexpr std::chrono::seconds InUsePeriod{10};
constexpr milliseconds ReadTimeout{1000};

nlohmann::json bodyOf(const http::SendResult &Result) {
  const auto *Answer = std::get_if<http::Response>(&Result);
  if (!Answer || Answer->m_Status != 200)
    return nullptr;
  nlohmann::json Body = codec::tryParseBounded(Answer->m_Body);
  return Body.is_object() ? Body : nlohmann::json();
}

} // namespace

LoadPoller::LoadPoller(timers::EventLoop &Loop, ClusterView &View,
                       EndpointRegistry &Registry, milliseconds Period)
    : m_Loop(Loop), m_View(View), m_Registry(Registry), m_Period(Period),
      m_Timers(Loop.context().get_executor()),
      m_Client(Loop.context().get_executor()) {}

void LoadPoller::start() {
  m_Timer = m_Timers.every(m_Period, [this] { poll(); });
}

void LoadPoller::poll() {
  for (const EndpointId &Endpoint : m_Registry.usedSince(now() - InUsePeriod)) {
    const auto Addr = http::Address::parse(m_View.addressOf(Endpoint));
    PollState &State = m_PollStates[Endpoint];
    if (State.m_InFlight || !Addr)
      continue;
    State.m_InFlight = true;
    boost::asio::co_spawn(m_Loop.context(), pollEndpoint(Endpoint, *Addr),
                          boost::asio::detached);
  }
}

boost::asio::awaitable<void> LoadPoller::pollEndpoint(EndpointId Endpoint,
                                                      http::Address Addr) {
  http::ClientOptions Options;
  Options.m_ConnectTimeout = ReadTimeout;
  Options.m_ReadTimeout = ReadTimeout;
  http::Request Load;
  Load.m_Target = "/control/load";
  auto Result = co_await m_Client.send(Addr, std::move(Load), Options);
  onLoad(Endpoint, bodyOf(Result));
  if (m_View.isEngine(Endpoint)) {
    http::Request Events;
    Events.m_Target = "/control/cache-events?from=" +
                      std::to_string(m_PollStates[Endpoint].m_NextEvent);
    Result = co_await m_Client.send(Addr, std::move(Events), Options);
    onEvents(Endpoint, bodyOf(Result));
  }
  m_PollStates[Endpoint].m_InFlight = false;
}

void LoadPoller::onLoad(const EndpointId &Endpoint,
                        const nlohmann::json &Report) {
  if (!Report.contains("running") || !Report["running"].is_number_integer())
    return;
  const auto Lag = Report.contains("age_ms") && Report["age_ms"].is_number()
                       ? milliseconds(Report["age_ms"].get<std::int64_t>())
                       : milliseconds(0);
  m_Registry.loadView().onReport(
      Endpoint, Report["running"].get<std::int64_t>(), Lag, now());
}

void LoadPoller::onEvents(const EndpointId &Endpoint,
                          const nlohmann::json &Report) {
  if (!Report.contains("events") || !Report["events"].is_array())
    return;
  PollState &State = m_PollStates[Endpoint];
  const std::string Incarnation = Report.value("incarnation", "");
  if (State.m_Incarnation != Incarnation) {
    // A restarted engine has an empty cache and numbers its events from 1
    // again.
    m_Registry.prefixIndex().forget(Endpoint);
    const bool Restarted = !State.m_Incarnation.empty();
    State.m_Incarnation = Incarnation;
    State.m_NextEvent = 1;
    if (Restarted)
      return;
  }
  for (const nlohmann::json &Event : Report["events"]) {
    try {
      const auto Sequence = Event.at("sequence").get<std::uint64_t>();
      m_Registry.prefixIndex().onEvent(Endpoint, Sequence,
                                       Event.at("block").get<std::uint64_t>(),
                                       Event.at("stored").get<bool>());
      State.m_NextEvent = std::max(State.m_NextEvent, Sequence + 1);
    } catch (const nlohmann::json::exception &Error) {
      log::warning(log::Category::Routing, "cache_event.malformed",
                   {{"endpoint", Endpoint.str()}, {"detail", Error.what()}});
      return;
    }
  }
}

} // namespace sff::router
