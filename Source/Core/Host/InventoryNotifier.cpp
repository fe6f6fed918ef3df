#include "Host/InventoryNotifier.h"

#include "Host/PeerCall.h"

namespace sff::host {

namespace {

/// Limits the messages that a holder sends per second. With more hosts, changes
/// are batched for longer, so that the cost of a holder does not grow with the
/// number of hosts.
constexpr std::int64_t MaxMessagesPerSecond = 150;
constexpr milliseconds NoticeTimeout{1000};

} // namespace

void InventoryNotifier::apply(const InventoryChange &Change) {
  const serving::ModelName Name{Change.m_Model, Change.m_Adapter};
  if (Change.m_Held)
    m_State.m_Endpoints.overrideAsLoaded(Change.m_Endpoint, Name, now());
  else
    m_State.m_Endpoints.overrideAsNotLoaded(Change.m_Endpoint, Name, now());
}

void InventoryNotifier::onNotice(const InventoryNotice &Notice) {
  for (const InventoryChange &Change : Notice.m_Changes)
    apply(Change);
  m_State.m_Changed.notifyAll();
}

void InventoryNotifier::publish(const InventoryChange &Change,
                                const std::set<HostId> &Hosts) {
  apply(Change);
  m_State.m_Changed.notifyAll();
  const bool First = m_Pending.m_Changes.empty();
  m_Pending.m_Changes.push_back(Change);
  m_Hosts.insert(Hosts.begin(), Hosts.end());
  if (First)
    m_State.spawn("send_inventory", sendBatch());
}

Task<void> InventoryNotifier::sendBatch() {
  const auto Hosts = static_cast<std::int64_t>(m_Hosts.size());
  co_await sleepFor(milliseconds(1000 * Hosts / MaxMessagesPerSecond));
  const InventoryNotice Notice = std::exchange(m_Pending, {});
  for (const HostId &Host : std::exchange(m_Hosts, {}))
    if (Host.str() != m_Member)
      m_State.spawn("send_inventory", send(Host, Notice));
}

Task<void> InventoryNotifier::send(HostId Host, InventoryNotice Notice) {
  // The result is ignored: a host that misses the notice gets the change from
  // the registry.
  co_await callPeer<Acknowledgement>(m_Peers, Host.str(), InventoryPath,
                                     std::move(Notice), NoticeTimeout);
}

} // namespace sff::host
