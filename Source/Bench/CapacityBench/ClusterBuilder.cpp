#include "CapacityBench/ClusterBuilder.h"

namespace sff::bench {

namespace {

constexpr std::size_t Zones = 6;
constexpr std::int64_t EndpointMemoryBytes = std::int64_t(80) << 30;
constexpr std::int64_t WeightBytes = std::int64_t(10) << 30;

ZoneId zone(std::size_t Index) {
  return ZoneId("zone-" + std::to_string(Index % Zones));
}

} // namespace

IncarnationId ClusterBuilder::incarnationId(std::size_t Host) {
  // As long as a real incarnation id, so that sizes are realistic.
  std::string Text = std::to_string(Host);
  return IncarnationId(std::string(32 - Text.size(), '0') + Text);
}

EntryName ClusterBuilder::entryName(std::size_t Index) {
  return EntryName("entry-" + std::to_string(Index));
}

catalogue::EntrySpec ClusterBuilder::entrySpec() {
  catalogue::EntrySpec Result;
  Result.m_Team = "team-a";
  Result.m_WeightBytes = WeightBytes;
  Result.m_BytesPerToken = 1 << 17;
  return Result;
}

ClusterBuilder::ClusterBuilder(ClusterSize Size) {
  addHosts(Size.m_Hosts);
  addEndpoints(Size.m_Endpoints, Size.m_Hosts);
  addEntries(Size.m_Entries);
}

Offset ClusterBuilder::apply(const fold::Record &Value) {
  const Offset Position = m_State.appliedOffset() + 1;
  m_State.apply(Position, Value);
  return Position;
}

void ClusterBuilder::addHosts(std::size_t Count) {
  for (std::size_t Host = 0; Host < Count; ++Host)
    apply(fold::LeaseRenewal{makeId<RecordId>(), incarnationId(Host), 0,
                             HostId("host-" + std::to_string(Host)), zone(Host),
                             "10.0.0.1:7001", "10.0.0.1:7002"});
}

void ClusterBuilder::addEndpoints(std::size_t Count, std::size_t Hosts) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    messages::EndpointInfo Info;
    Info.m_Endpoint = EndpointId("endpoint-" + std::to_string(Index));
    Info.m_Address = "10.0.0.1:8000";
    Info.m_Zone = zone(Index);
    Info.m_Kind = "engine";
    Info.m_State = "live";
    Info.m_MemoryBytes = EndpointMemoryBytes;
    apply(fold::OwnershipClaim{makeId<RecordId>(),
                               incarnationId(Index % Hosts),
                               {{Info.m_Endpoint, 0, 0}}});
    m_Endpoints.push_back(std::move(Info));
  }
}

void ClusterBuilder::addEntries(std::size_t Count) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    apply(fold::CatalogueChange{makeId<RecordId>(), entryName(Index), 0,
                                entrySpec(), "operator"});
    const EndpointId &Endpoint =
        m_Endpoints[Index % m_Endpoints.size()].m_Endpoint;
    const fold::Ownership &Owned = *m_State.findOwnership(Endpoint);
    apply(
        fold::SlotGrant{makeId<RecordId>(),
                        Owned.m_Owner,
                        {{entryName(Index), 0, Endpoint, 0, Owned.m_Offset}}});
  }
}

fold::LeaseRenewal ClusterBuilder::nextRenewal(std::size_t Host) const {
  return {makeId<RecordId>(),
          incarnationId(Host),
          m_State.findLease(incarnationId(Host))->m_LastRenewal,
          HostId(),
          ZoneId(),
          "",
          ""};
}

fold::CatalogueChange ClusterBuilder::entryChange(std::size_t Index) const {
  return {makeId<RecordId>(), entryName(Index),
          m_State.versionOf(entryName(Index)), entrySpec(), "operator"};
}

} // namespace sff::bench
