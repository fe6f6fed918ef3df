#include "Core/Serving/AttemptHistory.h"

namespace sff::serving {

void AttemptHistory::readmit(bool MayRunAgain) {
  std::erase_if(m_Excluded, [this, MayRunAgain](const EndpointId &Id) {
    return MayRunAgain || !m_MayHaveRun.contains(Id);
  });
}

bool AttemptHistory::mayRunElsewhere() const {
  return static_cast<int>(m_MayHaveRun.size()) < m_MaxEndpoints;
}

bool AttemptHistory::mayRunElsewhereAfter(const EndpointId &Current) const {
  const std::size_t Further = m_MayHaveRun.contains(Current) ? 0 : 1;
  return static_cast<int>(m_MayHaveRun.size() + Further) < m_MaxEndpoints;
}

} // namespace sff::serving
