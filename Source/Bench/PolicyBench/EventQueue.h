#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace sff::bench {

/// Event queue of a simulation. Times are in seconds since its start; events
/// with equal times run in the order in which they were scheduled.
/// Thread safety: none.
class EventQueue {
public:
  using Action = std::function<void()>;

  double now() const { return m_Now; }
  /// Schedules an action. A time in the past means now.
  void scheduleAt(double Time, Action Run) {
    m_Events.push(
        {Time < m_Now ? m_Now : Time, ++m_LastSequence, std::move(Run)});
  }
  void scheduleAfter(double Delay, Action Run) {
    scheduleAt(m_Now + Delay, std::move(Run));
  }

  /// Runs all events up to and including \p End, and advances the time to it.
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
    std::uint64_t m_Sequence;
    Action m_Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_Time, Other.m_Sequence) <
             std::tie(m_Time, m_Sequence);
    }
  };
  double m_Now = 0;
  std::uint64_t m_LastSequence = 0;
  std::priority_queue<Event> m_Events;
};

} // namespace sff::bench
