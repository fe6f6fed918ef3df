#include "Router/FrontEndState.h"

#include "Router/OutcomeResponse.h"
#include "Router/RouterSettings.h"

namespace sff::router {

namespace {

constexpr milliseconds FullRingRetryDelay{5};

FrontEndState::Options optionsOf(const settings::Settings &Values) {
  return {Values.get(ProgressTimeoutSetting), Values.get(ProbeTimeoutSetting),
          Values.get(ServiceTimeoutSetting), Values.get(MaxDeadlineSetting),
          Values.get(TeamRequestsSetting)};
}

} // namespace

FrontEndState::FrontEndState(timers::EventLoop &Http, RoutingCore &Core,
                             const settings::Settings &Values,
                             IncarnationId Self)
    : m_Http(Http), m_RoutingCore(Core), m_Options(optionsOf(Values)),
      m_Incarnation(std::move(Self)), m_Client(Http.context().get_executor()),
      m_Budget(Values.get(RetryRatioSetting), Values.get(RetryBurstSetting)) {}

http::Response recordOutcome(FrontEndState &State, const PlacementRequest &Req,
                             const execution::Outcome &Value) {
  State.m_Metrics.onOutcome(Req.m_Class, Value, now() - Req.m_Arrival);
  http::Response Answer = toResponse(Value, Req.m_Id);
  log::request(log::Category::Execution, "request.finished", Req.m_Id.str(),
               Req.m_Entry.str(),
               {{"outcome", nameOf(Value)},
                {"reason", reasonOf(Value)},
                {"status", Answer.m_Status}});
  return Answer;
}

boost::asio::awaitable<void> pause(FrontEndState &State, milliseconds Length) {
  boost::asio::steady_timer Timer(State.m_Http.context());
  Timer.expires_after(Length);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

boost::asio::awaitable<void> postToRoutingCore(FrontEndState &State,
                                               timers::EventLoop::Task Work) {
  while (!State.m_RoutingCore.loop().tryPost(Work))
    co_await pause(State, FullRingRetryDelay);
}

} // namespace sff::router
