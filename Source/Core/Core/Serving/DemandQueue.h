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

/// A model or adapter that is wanted on an endpoint of one zone.
struct DemandKey {
  ZoneId m_Zone;
  std::string m_Service;
  ModelName m_Name;

  auto operator<=>(const DemandKey &) const = default;
};

/// One host's wait for a model or adapter.
struct WaitingDemand {
  DemandKey m_Key;
  std::int64_t m_Requests = 1; ///< Requests that wait at the host.
  std::int64_t m_Rank = 0;     ///< Of the most urgent one; 0 is first.
  Instant m_Since;
  bool m_MayLoadRemote = false; ///< No endpoint has the weights at hand.
  /// A further replica of a busy model, which no request waits for.
  bool m_Replica = false;
};

/// What all hosts together want of a model or adapter in a zone.
struct PendingDemand {
  DemandKey m_Key;
  double m_Urgency = 0;
  bool m_MayLoadRemote = false; ///< Some request may cause such a load.
  bool m_Replica = true;        ///< No request waits, hosts only wish for it.
};

/// Orders the models for which hosts wait, so that an endpoint that becomes
/// free loads the one for which most is lost: a model that has become busy
/// must not queue behind many rare ones. Thread safety: none.
class DemandQueue {
public:
  using Entry = std::list<WaitingDemand>::iterator;

  Entry add(WaitingDemand Demand);
  void remove(Entry Item) { m_Waiting.erase(Item); }

  /// The models, the most urgent first. Urgency grows with the requests that
  /// wait and with their time, so that a rare model is served in the end.
  std::vector<PendingDemand> ordered(Instant Now) const;
  std::size_t size() const { return m_Waiting.size(); }

private:
  std::list<WaitingDemand> m_Waiting;
};

} // namespace sff::serving
