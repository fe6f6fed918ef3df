#include "Net/Follower/RelayClient.h"

namespace sff::follower {

RelayClient::RelayClient(timers::EventLoop &Loop,
                         std::vector<std::string> Addresses) {
  for (const std::string &Address : Addresses)
    m_PeerClients.push_back(std::make_unique<peer::PeerClient>(Loop, Address));
}

void RelayClient::failOver(std::size_t RelayIndex) {
  if (RelayIndex == m_CurrentRelay)
    m_CurrentRelay = (m_CurrentRelay + 1) % m_PeerClients.size();
}

} // namespace sff::follower
