#include "Core/Ownership/TerminatedControllers.h"

#include <algorithm>
#include <map>
#include <set>

namespace sff::ownership {

std::vector<IncarnationId>
findTerminatedControllers(const fold::ClusterState &State,
                          std::span<const messages::EndpointInfo> Hosts) {
  std::set<std::string> GoneHosts;
  for (const messages::EndpointInfo &Item : Hosts)
    if (Item.m_State == "gone")
      GoneHosts.insert(Item.m_Endpoint.str());
  std::map<std::pair<HostId, std::string>, Offset> Latest;
  for (const auto &[Incarnation, Item] : State.leases()) {
    Offset &First = Latest[{Item.m_Host, Item.m_ControllerAddress}];
    First = std::max(First, Item.m_FirstRenewal);
  }
  std::vector<IncarnationId> Result;
  for (const auto &[Incarnation, Item] : State.leases()) {
    const Offset Newest = Latest[{Item.m_Host, Item.m_ControllerAddress}];
    if (GoneHosts.contains(Item.m_Host.str()) || Newest > Item.m_FirstRenewal)
      Result.push_back(Incarnation);
  }
  return Result;
}

IncarnationId choosePermitIssuer(const fold::ClusterState &State,
                                 std::span<const IncarnationId> Live) {
  IncarnationId Result;
  Offset Lowest = 0;
  for (const IncarnationId &Candidate : Live) {
    const fold::Lease *Item = State.findLease(Candidate);
    if (!Item || (!Result.empty() && Item->m_FirstRenewal >= Lowest))
      continue;
    Result = Candidate;
    Lowest = Item->m_FirstRenewal;
  }
  return Result;
}

} // namespace sff::ownership
