#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Serving/Catalogue.h"

#include <compare>
#include <cstdint>
#include <list>
#include <string>
#include <vector>

namespace sff::serving {

/// Identifies a model or adapter that is to be loaded on an endpoint of one
/// availability zone.
struct DemandKey {
  ZoneId m_Zone;
  std::string m_Service;
  ModelName m_Name;

  auto operator<=>(const DemandKey &) const = default;
};

/// The demand of one host for a model or adapter.
struct HostDemand {
  DemandKey m_Key;
  std::int64_t m_Requests = 1; ///< Number of requests waiting at the host.
  /// Rank of the most urgent request; 0 is the highest priority.
  std::int64_t m_Priority = 0;
  Instant m_Since;
  /// May be loaded from the weight store, because no endpoint has the weights
  /// locally.
  bool m_MayLoadRemote = false;
  /// Requests an additional replica of a busy model; no request is waiting for
  /// it.
  bool m_Replica = false;
};

/// The demand of all hosts for a model or adapter in one zone.
struct PendingDemand {
  DemandKey m_Key;
  double m_Urgency = 0;
  /// At least one demand permits a load from the weight store.
  bool m_MayLoadRemote = false;
  /// No request is waiting; hosts only ask for an additional replica.
  bool m_Replica = true;
};

/// Prioritizes the models that hosts wait for, so that an endpoint with free
/// capacity loads the one whose delay costs most. A model that has become busy
/// must not queue behind many rarely used ones. Thread safety: none.
class DemandQueue {
public:
  using Handle = std::list<HostDemand>::iterator;

  Handle add(HostDemand Demand);
  void remove(Handle Position) { m_Demands.erase(Position); }

  /// Returns the models in descending order of urgency. Urgency grows with the
  /// number of waiting requests and with their waiting time, so that rarely
  /// used models do not starve.
  std::vector<PendingDemand> ordered(Instant Now) const;
  std::size_t size() const { return m_Demands.size(); }

private:
  std::list<HostDemand> m_Demands;
};

} // namespace sff::serving
