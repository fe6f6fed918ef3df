#pragma once

#include "Core/Membership/GossipPlan.h"
#include "Core/Membership/HostTable.h"

#include <random>
#include <string>
#include <vector>

namespace sff::relay {

/// Which relays there are and which of them have contact with the log.
/// Thread safety: all calls from the peer loop's thread.
class PeerDirectory {
public:
  PeerDirectory(messages::HostHeartbeat Self, std::vector<std::string> Seeds,
                membership::GossipLimits Limits);

  membership::HostTable &hosts() { return m_Hosts; }
  const membership::HostTable &hosts() const { return m_Hosts; }
  membership::GossipPlan plan() const;

  /// Addresses of other relays in random order; those that have published
  /// direct contact with the log come first.
  std::vector<std::string> sources();
  /// Only those that have published direct contact with the log.
  std::vector<std::string> sourcesWithLog();
  /// A relay to gossip with; empty when none is known.
  std::string randomPeer();
  /// Names of the live hosts other than this one.
  std::vector<HostId> liveHosts() const;

private:
  std::vector<messages::HostHeartbeat> live() const;

  membership::HostTable m_Hosts;
  std::vector<std::string> m_Seeds;
  membership::GossipLimits m_Limits;
  std::mt19937_64 m_Random{std::random_device{}()};
};

} // namespace sff::relay
