#pragma once

#include "Core/Retry/RetryBudget.h"
#include "Net/Http/Client.h"
#include "Router/Decisions.h"
#include "Router/Mailbox.h"
#include "Router/RouterMetrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sff::router {

/// Counts of open requests. Sessions share it, because those that a forced
/// stop leaves behind are destroyed last, with the loop.
struct OpenRequests {
  std::multiset<RequestId> m_Requests;
  std::map<std::string, std::int64_t> m_ByTeam;
};

/// What all sessions of the HTTP duty share.
/// Thread safety: use on the HTTP loop's thread only.
struct FrontState {
  struct Options {
    milliseconds m_ProgressTimeout{2000};
    milliseconds m_ProbeTimeout{500};
    milliseconds m_ExecutionTimeout{60000};
    milliseconds m_MaxDeadline{600000};
    std::int64_t m_TeamRequests = 512;
  };

  FrontState(timers::DutyLoop &Http, Decisions &Peers,
             const settings::Settings &Values, IncarnationId Self);

  timers::DutyLoop &m_Http;
  Decisions &m_Decisions;
  Options m_Options;
  IncarnationId m_Incarnation;
  http::Client m_Client;
  RouterMetrics m_Metrics;
  retry::RetryBudget m_Budget;
  std::shared_ptr<OpenRequests> m_Open = std::make_shared<OpenRequests>();
  /// Executions and releases that go on after their caller was answered.
  std::int64_t m_Background = 0;
  bool m_Draining = false;
};

/// Counts and logs the final outcome of a request and returns its wire form.
http::Response recordOutcome(FrontState &State, const PlacementRequest &Asked,
                             const execution::Outcome &Value);

inline Instant now() { return std::chrono::steady_clock::now(); }

/// Runs \p Work on the decisions duty. Waits while its ring is full, because a
/// lost end of a request would hold its credit for ever.
boost::asio::awaitable<void> postToDecisions(FrontState &State,
                                             timers::DutyLoop::Task Work);

/// Asks the decisions duty and waits for the answer. \p Start receives a
/// callback for the answer. Returns nothing when the duty's ring is full.
template <typename T>
boost::asio::awaitable<std::optional<T>>
queryDecisions(FrontState &State,
               std::function<void(std::function<void(T)>)> Start) {
  constexpr milliseconds WaitSlice{1000};
  auto Box = std::make_shared<Mailbox<T>>(State.m_Http);
  std::function<void(T)> Done = [Box](T Value) { Box->put(std::move(Value)); };
  if (!State.m_Decisions.loop().tryPost([Start, Done] { Start(Done); }))
    co_return std::nullopt;
  std::optional<T> Value;
  while (!Value)
    Value = co_await Box->wait(WaitSlice);
  co_return Value;
}

/// Waits without blocking the duty.
boost::asio::awaitable<void> pause(FrontState &State, milliseconds Length);

} // namespace sff::router
