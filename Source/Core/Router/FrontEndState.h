#pragma once

#include "Common/Time/Clock.h"
#include "Core/Retry/RetryBudget.h"
#include "Net/Http/Client.h"
#include "Router/AsyncQueue.h"
#include "Router/RouterMetrics.h"
#include "Router/RoutingCore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sff::router {

/// Open requests, by id and by team. Shared with the sessions, because sessions
/// that outlive a forced stop are destroyed with the event loop, after this
/// state.
struct OpenRequests {
  std::multiset<RequestId> m_Requests;
  std::map<std::string, std::int64_t> m_ByTeam;
};

/// State shared by all sessions on the HTTP event loop.
/// Thread safety: use on the HTTP loop's thread only.
struct FrontEndState {
  struct Options {
    milliseconds m_ProgressTimeout{2000};
    milliseconds m_ProbeTimeout{500};
    milliseconds m_ExecutionTimeout{60000};
    milliseconds m_MaxDeadline{600000};
    std::int64_t m_TeamRequests = 512;
  };

  FrontEndState(timers::EventLoop &Http, RoutingCore &Core,
                const settings::Settings &Values, IncarnationId Self);

  timers::EventLoop &m_Http;
  RoutingCore &m_RoutingCore;
  Options m_Options;
  IncarnationId m_Incarnation;
  http::Client m_Client;
  RouterMetrics m_Metrics;
  retry::RetryBudget m_Budget;
  std::shared_ptr<OpenRequests> m_Open = std::make_shared<OpenRequests>();
  /// Number of executions and cancellations that continue after their caller
  /// was answered.
  std::int64_t m_BackgroundTasks = 0;
  bool m_Draining = false;
};

/// Records the final outcome of a request in metrics and log, and returns the
/// HTTP response for it.
http::Response recordOutcome(FrontEndState &State, const PlacementRequest &Req,
                             const execution::Outcome &Value);

/// Runs \p Work on the routing core's event loop. Waits while the loop's task
/// queue is full: a lost end of a request would leak its credit.
boost::asio::awaitable<void> postToRoutingCore(FrontEndState &State,
                                               timers::EventLoop::Task Work);

/// Runs a query on the routing core's event loop and waits for its result,
/// which \p Start passes to its callback. Returns nothing if the loop's task
/// queue is full.
template <typename T>
boost::asio::awaitable<std::optional<T>>
queryRoutingCore(FrontEndState &State,
                 std::function<void(std::function<void(T)>)> Start) {
  constexpr milliseconds PollPeriod{1000};
  auto Queue = std::make_shared<AsyncQueue<T>>(State.m_Http);
  std::function<void(T)> Done = [Queue](T Value) {
    Queue->push(std::move(Value));
  };
  if (!State.m_RoutingCore.loop().tryPost([Start, Done] { Start(Done); }))
    co_return std::nullopt;
  std::optional<T> Value;
  while (!Value)
    Value = co_await Queue->wait(PollPeriod);
  co_return Value;
}

/// Suspends the coroutine without blocking the event loop.
boost::asio::awaitable<void> pause(FrontEndState &State, milliseconds Length);

} // namespace sff::router
