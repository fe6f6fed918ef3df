#include "Relay/PeerDirectory.h"

#include "Common/Time/Clock.h"

#include <algorithm>

namespace sff::relay {

namespace {

/// On average one exchange in this many goes to a configured seed relay, so
/// that hosts that removed each other during a network partition find each
/// other again.
constexpr int SeedExchangeInterval = 8;

} // namespace

PeerDirectory::PeerDirectory(messages::HostHeartbeat Self,
                             std::vector<std::string> Seeds,
                             membership::GossipLimits Limits)
    : m_Hosts(std::move(Self), now()), m_Seeds(std::move(Seeds)),
      m_Limits(Limits) {
  std::erase(m_Seeds, m_Hosts.self().m_RelayAddress);
}

membership::GossipPlan PeerDirectory::plan() const {
  return membership::planGossip(m_Hosts.size(), m_Limits);
}

std::vector<messages::HostHeartbeat> PeerDirectory::live() const {
  return m_Hosts.liveOthers(now(), plan().m_MaxLiveAge);
}

std::vector<std::string> PeerDirectory::sourcesWithLogAccess() {
  std::vector<std::string> Result;
  for (const messages::HostHeartbeat &Item : live())
    if (Item.m_LogReachable)
      Result.push_back(Item.m_RelayAddress);
  std::ranges::shuffle(Result, m_Random);
  return Result;
}

std::vector<std::string> PeerDirectory::sources() {
  std::vector<std::string> Result = sourcesWithLogAccess();
  std::vector<std::string> Others = m_Seeds;
  for (const messages::HostHeartbeat &Item : live())
    if (!Item.m_LogReachable)
      Others.push_back(Item.m_RelayAddress);
  std::ranges::shuffle(Others, m_Random);
  for (std::string &Address : Others)
    if (std::ranges::find(Result, Address) == Result.end())
      Result.push_back(std::move(Address));
  return Result;
}

std::string PeerDirectory::randomPeer() {
  std::vector<std::string> Candidates;
  for (const messages::HostHeartbeat &Item : live())
    Candidates.push_back(Item.m_RelayAddress);
  std::uniform_int_distribution<int> SeedDraw(1, SeedExchangeInterval);
  if (Candidates.empty() || (!m_Seeds.empty() && SeedDraw(m_Random) == 1))
    Candidates = m_Seeds;
  if (Candidates.empty())
    return {};
  std::uniform_int_distribution<std::size_t> CandidateDraw(
      0, Candidates.size() - 1);
  return Candidates[CandidateDraw(m_Random)];
}

std::vector<HostId> PeerDirectory::liveHosts() const {
  std::vector<HostId> Result;
  for (const messages::HostHeartbeat &Item : live())
    Result.push_back(Item.m_Host);
  return Result;
}

} // namespace sff::relay
