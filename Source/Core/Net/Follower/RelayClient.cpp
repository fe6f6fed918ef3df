#include "Net/Follower/RelayClient.h"

namespace sff::follower {

RelayClient::RelayClient(timers::DutyLoop &Loop,
                         std::vector<std::string> Addresses) {
  for (const std::string &Address : Addresses)
    m_Callers.push_back(std::make_unique<peer::Caller>(Loop, Address));
}

void RelayClient::onFailure(std::size_t Used) {
  if (Used == m_Current)
    m_Current = (m_Current + 1) % m_Callers.size();
}

} // namespace sff::follower
