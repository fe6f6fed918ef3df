#include "Router/Router.h"

#include "Router/RouterSettings.h"

#include <future>
#include <thread>

namespace sff::router {

namespace {

constexpr std::size_t RingCapacity = 16384;
constexpr milliseconds PollPeriod{10};
// Cancellations at a silent endpoint must not hold up the stop; their loans
// lapse by themselves.
constexpr std::chrono::seconds BackgroundLimit{5};
constexpr std::chrono::seconds ReturnLimit{3};

http::ServerLimits limitsOf(const settings::Settings &Values) {
  http::ServerLimits Result;
  Result.m_HeaderBytes =
      static_cast<std::uint32_t>(Values.get(HeaderBytesSetting));
  Result.m_BodyBytes = static_cast<std::uint64_t>(Values.get(BodyBytesSetting));
  Result.m_ReadTimeout = Values.get(RequestReadTimeoutSetting);
  Result.m_Connections =
      static_cast<std::size_t>(Values.get(ConnectionsSetting));
  return Result;
}

} // namespace

Router::Router(const settings::Settings &Values,
               const log::ProcessIdentity &Identity)
    : m_Settings(Values), m_Http("http", RingCapacity),
      m_Decisions(Values, Identity),
      m_State(m_Http, m_Decisions, Values,
              IncarnationId(Identity.m_Incarnation)),
      m_Front(m_State),
      m_Server(m_Http.context(), limitsOf(Values),
               [this](http::Request Incoming, http::Exchange &Caller) {
                 return m_Front.handle(std::move(Incoming), Caller);
               }) {}

Router::~Router() {
  m_Http.stop();
  m_Decisions.stop();
}

void Router::start() {
  m_Decisions.start();
  const std::string Listen = m_Settings.get(ListenSetting);
  m_Server.listen(http::Address::parse(Listen).value_or(http::Address()));
  log::info(log::Category::Http, "router.listening",
            {{"address", Listen},
             {"peer_address", m_Settings.get(PeerListenSetting)}});
}

void Router::onHttpLoop(std::function<void()> Work) {
  std::promise<void> Done;
  m_Http.postCompletion([&] {
    Work();
    Done.set_value();
  });
  Done.get_future().wait();
}

std::int64_t Router::backgroundWork() {
  std::int64_t Result = 0;
  onHttpLoop([&] { Result = m_State.m_Background; });
  return Result;
}

void Router::stop() {
  if (m_Stopped)
    return;
  m_Stopped = true;
  log::info(log::Category::Process, "router.draining");
  onHttpLoop([this] { m_State.m_Draining = true; });
  std::this_thread::sleep_for(m_Settings.get(DrainDelaySetting));
  m_Server.stopAccepting();
  finishRequests();
  returnCredits();
  m_Http.stop();
  m_Decisions.stop();
}

void Router::finishRequests() {
  while (m_Server.activeRequests() > 0)
    std::this_thread::sleep_for(PollPeriod);
  const Instant Limit = now() + BackgroundLimit;
  while (backgroundWork() > 0 && now() < Limit)
    std::this_thread::sleep_for(PollPeriod);
}

void Router::returnCredits() {
  auto Returned = std::make_shared<std::promise<void>>();
  m_Decisions.loop().postCompletion([this, Returned] {
    m_Decisions.credits().returnAll([Returned] { Returned->set_value(); });
  });
  Returned->get_future().wait_for(ReturnLimit);
}

} // namespace sff::router
