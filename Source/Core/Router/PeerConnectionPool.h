#pragma once

#include "Net/Peer/Dispatcher.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace sff::router {

/// Connections to controllers and other routers, by address.
/// Thread safety: all calls on the loop's thread.
class PeerConnectionPool {
public:
  explicit PeerConnectionPool(timers::EventLoop &Loop) : m_Loop(Loop) {}

  peer::PeerClient &at(const std::string &Address) {
    auto &Item = m_PeerClients[Address];
    if (!Item)
      Item = std::make_unique<peer::PeerClient>(m_Loop, Address);
    return *Item;
  }

  /// Closes connections to addresses that are no longer in use.
  void retainOnly(const std::set<std::string> &Addresses) {
    std::erase_if(m_PeerClients, [&](const auto &Item) {
      return !Addresses.contains(Item.first);
    });
  }

private:
  timers::EventLoop &m_Loop;
  std::map<std::string, std::unique_ptr<peer::PeerClient>> m_PeerClients;
};

} // namespace sff::router
