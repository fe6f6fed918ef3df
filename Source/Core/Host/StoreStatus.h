#pragma once

#include "Common/Time/Clock.h"
#include "Core/Serving/CallBackoff.h"
#include "Net/Timers/AsyncCondition.h"

#include <random>

namespace sff::host {

/// Whether the store answers this host, by the reads of the registrations.
/// Those are repeated about once a second while it does not, and so find out
/// when it is back; all other calls wait for that.
/// Thread safety: use from the host's io_context only.
class StoreStatus {
public:
  bool isReachable() const { return m_IsReachable; }
  void setReachable(bool IsReachable) {
    m_IsReachable = IsReachable;
    if (!IsReachable) {
      m_LostAt = now();
      return;
    }
    m_RegainedAt = now();
    m_Regained.notifyAll();
  }
  /// When the store answered again for the last time.
  Instant regainedAt() const { return m_RegainedAt; }

  /// Time to wait after a read of the registrations that got no answer.
  Duration registrationsDelay(serving::CallBackoff &Backoff) {
    const bool IsShort = m_IsReachable || now() - m_LostAt < ShortOutage;
    return Backoff.onFailure(m_Random, Duration::zero(),
                             IsShort ? MaxShortReturnDelay : MaxReturnDelay);
  }
  /// Time to wait after another call that got no answer.
  Duration delay(serving::CallBackoff &Backoff) {
    if (m_IsReachable)
      return Backoff.onFailure(m_Random, Duration::zero(), MaxReturnDelay);
    return Backoff.onFailure(m_Random, OutageDelay, OutageDelay);
  }
  /// Waits for that time, or until the store answers again.
  boost::asio::awaitable<void> waitToRepeat(serving::CallBackoff &Backoff) {
    return waitForReturn(delay(Backoff));
  }
  /// Waits until the store answers again, for at most \p Limit.
  boost::asio::awaitable<void> waitForReturn(Duration Limit) {
    return m_Regained.wait(Limit);
  }

private:
  /// Longest delay until a host finds out that the store is back.
  static constexpr milliseconds MaxReturnDelay{1000};
  /// The same after a short outage, such as a restart of the store.
  static constexpr milliseconds MaxShortReturnDelay{480};
  static constexpr milliseconds ShortOutage{3200};
  /// Delay of calls that wait for the reads of the registrations. Bounds the
  /// wait if those fail for a reason of their own.
  static constexpr milliseconds OutageDelay{8000};

  bool m_IsReachable = true;
  Instant m_RegainedAt;
  Instant m_LostAt;
  timers::AsyncCondition m_Regained;
  std::mt19937_64 m_Random{std::random_device{}()};
};

} // namespace sff::host
