#pragma once

#include "Net/Peer/Dispatcher.h"

#include <list>
#include <memory>
#include <string>

namespace sff::relay {

/// Pool of connections to other relays. When it is full, the least recently
/// used connection is closed for a new one.
/// Thread safety: all calls on the loop's thread.
class PeerPool {
public:
  PeerPool(timers::EventLoop &Loop, std::size_t Capacity)
      : m_Loop(Loop), m_Capacity(Capacity) {}

  /// Returns the connection to \p Address and creates it if there is none.
  peer::PeerClient &at(const std::string &Address);

private:
  struct Entry {
    std::string m_Address;
    std::unique_ptr<peer::PeerClient> m_PeerClient;
  };

  timers::EventLoop &m_Loop;
  std::size_t m_Capacity;
  std::list<Entry> m_Entries; ///< Most recently used first.
};

} // namespace sff::relay
