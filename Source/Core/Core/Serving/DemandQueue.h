#pragma once

#include "Common/Time/Instant.h"
#include "Core/Serving/Catalogue.h"

#include <cstdint>
#include <list>
#include <vector>

namespace sff::serving {

/// One host's wait for a model or adapter.
struct WaitingDemand {
  ModelName m_Name;
  std::int64_t m_Requests = 1; ///< Requests that wait at the host.
  std::int64_t m_Rank = 0;     ///< Of the most urgent one; 0 is first.
  Instant m_Since;
};

/// A model for which hosts wait, all their requests together.
struct ModelUrgency {
  ModelName m_Name;
  double m_Urgency = 0;
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
  std::vector<ModelUrgency> ordered(Instant Now) const;
  double urgency(const ModelName &Name, Instant Now) const;
  std::size_t size() const { return m_Waiting.size(); }

private:
  std::list<WaitingDemand> m_Waiting;
};

} // namespace sff::serving
