#include "Core/Serving/AttemptHistory.h"

namespace sff::serving {

void AttemptHistory::clearExclusions(bool AllowReexecution) {
  std::erase_if(m_Excluded, [this, AllowReexecution](const EndpointId &Id) {
    return AllowReexecution || !m_PossiblyExecutedOn.contains(Id);
  });
}

bool AttemptHistory::canTryAnotherEndpoint() const {
  return static_cast<int>(m_PossiblyExecutedOn.size()) <
         m_MaxEndpointsPerRequest;
}

bool AttemptHistory::canTryAnotherEndpointAfter(
    const EndpointId &Current) const {
  const std::size_t Additional = m_PossiblyExecutedOn.contains(Current) ? 0 : 1;
  return static_cast<int>(m_PossiblyExecutedOn.size() + Additional) <
         m_MaxEndpointsPerRequest;
}

} // namespace sff::serving
