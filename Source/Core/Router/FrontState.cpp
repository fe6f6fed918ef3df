#include "Router/FrontState.h"

#include "Router/OutcomeResponse.h"
#include "Router/RouterSettings.h"

namespace sff::router {

namespace {

constexpr milliseconds FullRingPause{5};

FrontState::Options optionsOf(const settings::Settings &Values) {
  return {Values.get(ProgressTimeoutSetting), Values.get(ProbeTimeoutSetting),
          Values.get(ServiceTimeoutSetting), Values.get(MaxDeadlineSetting),
          Values.get(TeamRequestsSetting)};
}

} // namespace

FrontState::FrontState(timers::DutyLoop &Http, Decisions &Peers,
                       const settings::Settings &Values, IncarnationId Self)
    : m_Http(Http), m_Decisions(Peers), m_Options(optionsOf(Values)),
      m_Incarnation(std::move(Self)), m_Client(Http.context().get_executor()),
      m_Budget(Values.get(RetryRatioSetting), Values.get(RetryBurstSetting)) {}

http::Response recordOutcome(FrontState &State, const PlacementRequest &Asked,
                             const execution::Outcome &Value) {
  State.m_Metrics.onOutcome(Asked.m_Class, Value, now() - Asked.m_Arrival);
  http::Response Answer = toResponse(Value, Asked.m_Id);
  log::request(log::Category::Execution, "request.finished", Asked.m_Id.str(),
               Asked.m_Entry.str(),
               {{"outcome", nameOf(Value)},
                {"reason", reasonOf(Value)},
                {"status", Answer.m_Status}});
  return Answer;
}

boost::asio::awaitable<void> pause(FrontState &State, milliseconds Length) {
  boost::asio::steady_timer Timer(State.m_Http.context());
  Timer.expires_after(Length);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

boost::asio::awaitable<void> postToDecisions(FrontState &State,
                                             timers::DutyLoop::Task Work) {
  while (!State.m_Decisions.loop().tryPost(Work))
    co_await pause(State, FullRingPause);
}

} // namespace sff::router
