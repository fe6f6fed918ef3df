#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Messages/ControllerMessages.h"

#include <vector>

namespace sff::bench {

struct ClusterSize {
  std::size_t m_Hosts = 0;
  std::size_t m_Endpoints = 0;
  std::size_t m_Entries = 0;
};

/// Cluster state of a given size, built by applying records to it.
class ClusterBuilder {
public:
  explicit ClusterBuilder(ClusterSize Size);

  fold::ClusterState &state() { return m_State; }
  const std::vector<messages::EndpointInfo> &endpoints() const {
    return m_Endpoints;
  }
  static IncarnationId incarnationId(std::size_t Host);
  static EntryName entryName(std::size_t Index);
  static catalogue::EntrySpec entrySpec();

  /// Returns the next renewal of a host's lease.
  fold::LeaseRenewal nextRenewal(std::size_t Host) const;
  /// Returns a change of an existing entry, based on its current version.
  fold::CatalogueChange entryChange(std::size_t Index) const;
  /// Applies the record at the next offset, which it returns.
  Offset apply(const fold::Record &Value);

private:
  void addHosts(std::size_t Count);
  void addEndpoints(std::size_t Count, std::size_t Hosts);
  void addEntries(std::size_t Count);

  fold::ClusterState m_State;
  std::vector<messages::EndpointInfo> m_Endpoints;
};

} // namespace sff::bench
