#include "Router/Router.h"

#include "Router/RouterSettings.h"

#include <future>
#include <thread>

namespace sff::router {

namespace {

constexpr std::size_t RingCapacity = 16384;
constexpr milliseconds PollPeriod{10};
// Cancellations at an unresponsive endpoint must not delay the stop; their
// loans expire on their own.
constexpr std::chrono::seconds BackgroundTimeout{5};
constexpr std::chrono::seconds CreditReturnTimeout{3};

http::ServerLimits limitsOf(const settings::Settings &Values) {
  http::ServerLimits Result;
  Result.m_MaxHeaderBytes =
      static_cast<std::uint32_t>(Values.get(HeaderBytesSetting));
  Result.m_MaxBodyBytes =
      static_cast<std::uint64_t>(Values.get(BodyBytesSetting));
  Result.m_ReadTimeout = Values.get(RequestReadTimeoutSetting);
  Result.m_MaxConnections =
      static_cast<std::size_t>(Values.get(ConnectionsSetting));
  return Result;
}

} // namespace

Router::Router(const settings::Settings &Values,
               const log::ProcessIdentity &Identity)
    : m_Settings(Values), m_Http("http", RingCapacity),
      m_RoutingCore(Values, Identity),
      m_State(m_Http, m_RoutingCore, Values,
              IncarnationId(Identity.m_Incarnation)),
      m_FrontEnd(m_State),
      m_Server(m_Http.context(), limitsOf(Values),
               [this](http::Request Incoming, http::Exchange &Caller) {
                 return m_FrontEnd.handle(std::move(Incoming), Caller);
               }) {}

Router::~Router() {
  m_Http.stop();
  m_RoutingCore.stop();
}

void Router::start() {
  m_RoutingCore.start();
  const std::string Listen = m_Settings.get(ListenSetting);
  m_Server.listen(http::Address::parse(Listen).value_or(http::Address()));
  log::info(log::Category::Http, "router.listening",
            {{"address", Listen},
             {"peer_address", m_Settings.get(PeerListenSetting)}});
}

void Router::runOnHttpLoop(std::function<void()> Work) {
  std::promise<void> Done;
  m_Http.postCompletion([&] {
    Work();
    Done.set_value();
  });
  Done.get_future().wait();
}

std::int64_t Router::backgroundTasks() {
  std::int64_t Result = 0;
  runOnHttpLoop([&] { Result = m_State.m_BackgroundTasks; });
  return Result;
}

void Router::stop() {
  if (m_Stopped)
    return;
  m_Stopped = true;
  log::info(log::Category::Process, "router.draining");
  runOnHttpLoop([this] { m_State.m_Draining = true; });
  std::this_thread::sleep_for(m_Settings.get(DrainDelaySetting));
  m_Server.stopAccepting();
  finishRequests();
  returnCredits();
  m_Http.stop();
  m_RoutingCore.stop();
}

void Router::finishRequests() {
  // A request may still arrive on a connection that is about to be closed.
  while (m_Server.connections() > 0)
    std::this_thread::sleep_for(PollPeriod);
  const Instant Limit = now() + BackgroundTimeout;
  while (backgroundTasks() > 0 && now() < Limit)
    std::this_thread::sleep_for(PollPeriod);
}

void Router::returnCredits() {
  auto Returned = std::make_shared<std::promise<void>>();
  m_RoutingCore.loop().postCompletion([this, Returned] {
    m_RoutingCore.credits().returnAll([Returned] { Returned->set_value(); });
  });
  Returned->get_future().wait_for(CreditReturnTimeout);
}

} // namespace sff::router
