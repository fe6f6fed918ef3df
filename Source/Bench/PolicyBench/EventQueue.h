#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace sff::bench {

/// The one queue of timed events of a run. Times are seconds since its start;
/// events of the same time run in the order of their entry.
/// Thread safety: none.
class EventQueue {
public:
  using Action = std::function<void()>;

  double now() const { return m_Now; }
  void at(double Time, Action Run) {
    m_Events.push({Time < m_Now ? m_Now : Time, ++m_Count, std::move(Run)});
  }
  void after(double Delay, Action Run) { at(m_Now + Delay, std::move(Run)); }

  /// Runs all events up to \p End.
  void run(double End) {
    while (!m_Events.empty() && m_Events.top().m_Time <= End) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_Time;
      Next.m_Run();
    }
    m_Now = End;
  }

private:
  struct Event {
    double m_Time;
    std::uint64_t m_Order;
    Action m_Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_Time, Other.m_Order) < std::tie(m_Time, m_Order);
    }
  };
  double m_Now = 0;
  std::uint64_t m_Count = 0;
  std::priority_queue<Event> m_Events;
};

} // namespace sff::bench
