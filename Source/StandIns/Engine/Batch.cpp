#include "StandIns/Engine/Batch.h"

namespace sff::standin {

namespace {

/// How soon a waiting request notices that its caller has left.
constexpr milliseconds GiveUpPollPeriod{50};

} // namespace

boost::asio::awaitable<bool> Batch::enter(Priority Class,
                                          std::function<bool()> GivenUp) {
  const Ticket Own{Class, ++m_LastTicket};
  m_Waiting.insert(Own);
  while (m_Running >= m_Limit || *m_Waiting.begin() != Own) {
    if (GivenUp()) {
      m_Waiting.erase(Own);
      m_Changed.notifyAll();
      co_return false;
    }
    co_await m_Changed.wait(GiveUpPollPeriod);
  }
  m_Waiting.erase(Own);
  ++m_Running;
  m_Changed.notifyAll();
  co_return true;
}

void Batch::leave() {
  --m_Running;
  m_Changed.notifyAll();
}

} // namespace sff::standin
