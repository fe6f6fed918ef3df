#pragma once

#include "Common/Time/Clock.h"
#include "Host/Ports.h"
#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <map>

namespace sff::host {

/// An endpoint that carries out one order at a time, as the platform's
/// endpoints do. Its report shows its state of some time ago.
/// Thread safety: none.
class FakeEngine final : public EngineControl {
public:
  static constexpr milliseconds ReportLag{100};

  FakeEngine(boost::asio::io_context &Context, serving::Inventory Held)
      : m_Context(Context) {
    m_State.m_Inventory = std::move(Held);
  }

  milliseconds m_UnloadTime{60};
  milliseconds m_LoadTime{200};
  int m_Conflicts = 0;
  int m_Accepted = 0;
  int m_Reports = 0;
  /// Time from the end of the last unload to the next accepted order.
  Duration m_IdleTime{0};

  Task<OrderAnswer> send(http::Address, EndpointId, Order Request) override {
    co_return OrderAnswer{answer(Request), {}};
  }

  Task<ReportAnswer> report(http::Address, EndpointId) override {
    ++m_Reports;
    EngineReport Seen = m_First;
    for (const auto &[At, State] : m_History)
      if (At <= now() - ReportLag)
        Seen = State;
    co_return ReportAnswer{m_History.empty() ? m_State : Seen, {}};
  }

private:
  OrderStatus answer(const Order &Request) {
    const bool IsHeld = m_State.m_Inventory.holds(Request.m_Name);
    const bool IsDone = IsHeld == (Request.m_Kind == OrderKind::Load);
    if (!m_State.m_OrderRunning && IsDone)
      return OrderStatus::AlreadyApplied;
    if (m_State.m_OrderRunning ||
        Request.m_ExpectedOrders != m_State.m_AcceptedOrders) {
      ++m_Conflicts;
      return OrderStatus::Conflict;
    }
    if (m_UnloadedAt)
      m_IdleTime = now() - *m_UnloadedAt;
    if (m_History.empty())
      m_First = m_State;
    ++m_Accepted;
    ++m_State.m_AcceptedOrders;
    m_State.m_OrderRunning = true;
    m_History[now()] = m_State;
    boost::asio::co_spawn(m_Context, execute(Request), boost::asio::detached);
    return OrderStatus::Accepted;
  }

  Task<void> execute(Order Request) {
    const bool IsLoad = Request.m_Kind == OrderKind::Load;
    co_await timers::sleepFor(IsLoad ? m_LoadTime : m_UnloadTime);
    m_State.m_Inventory.setLoaded(Request.m_Name, IsLoad);
    m_State.m_OrderRunning = false;
    m_History[now()] = m_State;
    m_UnloadedAt = IsLoad ? std::nullopt : std::optional(now());
  }

  boost::asio::io_context &m_Context;
  EngineReport m_State;
  EngineReport m_First; ///< Before the first order.
  std::map<Instant, EngineReport> m_History;
  std::optional<Instant> m_UnloadedAt;
};

} // namespace sff::host
