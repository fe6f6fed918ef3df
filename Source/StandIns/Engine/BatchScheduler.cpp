#include "StandIns/Engine/BatchScheduler.h"

namespace sff::standin {

namespace {

/// Interval at which a queued request checks whether it has been cancelled.
constexpr milliseconds CancellationPollPeriod{50};

} // namespace

boost::asio::awaitable<bool>
BatchScheduler::admit(Priority Class, std::function<bool()> IsCancelled) {
  const QueueKey Key{Class, ++m_LastArrival};
  m_Waiting.insert(Key);
  while (m_Running >= m_Limit || *m_Waiting.begin() != Key) {
    if (IsCancelled()) {
      m_Waiting.erase(Key);
      m_Changed.notifyAll();
      co_return false;
    }
    co_await m_Changed.wait(CancellationPollPeriod);
  }
  m_Waiting.erase(Key);
  ++m_Running;
  m_Changed.notifyAll();
  co_return true;
}

void BatchScheduler::release() {
  --m_Running;
  m_Changed.notifyAll();
}

} // namespace sff::standin
