#pragma once

#include "Host/HostState.h"
#include "Host/PeerMessages.h"

#include <set>

namespace sff::host {

/// Tells the other hosts at once what endpoints have got or lose, so that they
/// send no requests there in vain. Changes are gathered for a short time.
/// Thread safety: use from the host's io_context only.
class InventoryNotifier {
public:
  /// \p Member is this host's own peer address.
  InventoryNotifier(HostState &State, std::string Member)
      : m_State(State), m_Member(std::move(Member)),
        m_Peers(State.m_Context.get_executor()) {}

  /// Applies the change here and sends it to \p Hosts, by their addresses.
  void publish(const InventoryChange &Change, const std::set<HostId> &Hosts);
  /// Applies what another host has published.
  void onNotice(const InventoryNotice &Notice);

private:
  void apply(const InventoryChange &Change);
  Task<void> sendSoon();
  Task<void> send(HostId Host, InventoryNotice Notice);

  HostState &m_State;
  std::string m_Member;
  http::Client m_Peers;
  InventoryNotice m_Pending;
  std::set<HostId> m_Hosts;
};

} // namespace sff::host
