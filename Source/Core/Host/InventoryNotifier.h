#pragma once

#include "Host/HostState.h"
#include "Host/PeerMessages.h"

#include <set>

namespace sff::host {

/// Publishes inventory changes of endpoints to the other hosts, so that they do
/// not send requests to endpoints that lack the model. Changes are batched for
/// a short time that grows with the number of hosts.
/// Thread safety: use from the host's io_context only.
class InventoryNotifier {
public:
  /// \p Member is this host's own peer address.
  InventoryNotifier(HostState &State, std::string Member)
      : m_State(State), m_Member(std::move(Member)),
        m_Peers(State.m_Context.get_executor()) {}

  /// Applies the change locally and sends it to \p Hosts, which are peer
  /// addresses.
  void publish(const InventoryChange &Change, const std::set<HostId> &Hosts);
  /// Applies the changes that another host has published.
  void onNotice(const InventoryNotice &Notice);

private:
  void apply(const InventoryChange &Change);
  Task<void> sendBatch();
  Task<void> send(HostId Host, InventoryNotice Notice);

  HostState &m_State;
  std::string m_Member;
  http::Client m_Peers;
  InventoryNotice m_Pending;
  std::set<HostId> m_Hosts;
};

} // namespace sff::host
