#include "Relay/PeerPool.h"

#include <algorithm>

namespace sff::relay {

peer::PeerClient &PeerPool::at(const std::string &Address) {
  const auto It = std::ranges::find(m_Entries, Address, &Entry::m_Address);
  if (It != m_Entries.end()) {
    m_Entries.splice(m_Entries.begin(), m_Entries, It);
    return *m_Entries.front().m_PeerClient;
  }
  if (m_Entries.size() >= m_Capacity)
    m_Entries.pop_back();
  m_Entries.push_front(
      {Address, std::make_unique<peer::PeerClient>(m_Loop, Address)});
  return *m_Entries.front().m_PeerClient;
}

} // namespace sff::relay
