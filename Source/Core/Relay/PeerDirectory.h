#pragma once

#include "Core/Membership/GossipPlan.h"
#include "Core/Membership/HostTable.h"

#include <random>
#include <string>
#include <vector>

namespace sff::relay {

/// The known relays, and which of them have direct access to the log.
/// Thread safety: all calls on the peer loop's thread.
class PeerDirectory {
public:
  PeerDirectory(messages::HostHeartbeat Self, std::vector<std::string> Seeds,
                membership::GossipLimits Limits);

  membership::HostTable &hosts() { return m_Hosts; }
  const membership::HostTable &hosts() const { return m_Hosts; }
  membership::GossipPlan plan() const;

  /// Addresses of the live relays and of the configured seeds, without this
  /// one, in random order. Those that have published direct access to the log
  /// come first.
  std::vector<std::string> sources();
  /// Like sources(), but only the relays with direct access to the log.
  std::vector<std::string> sourcesWithLogAccess();
  /// Address of a random relay to gossip with; empty when none is known.
  std::string randomPeer();
  /// The live hosts other than this one.
  std::vector<HostId> liveHosts() const;

private:
  std::vector<messages::HostHeartbeat> live() const;

  membership::HostTable m_Hosts;
  std::vector<std::string> m_Seeds;
  membership::GossipLimits m_Limits;
  std::mt19937_64 m_Random{std::random_device{}()};
};

} // namespace sff::relay
