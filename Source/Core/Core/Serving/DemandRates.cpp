#include "Core/Serving/DemandRates.h"

#include <algorithm>
#include <cmath>

namespace sff::serving {

double DemandRates::decayedRate(const Entry &State, Instant Now) const {
  return State.m_Rate * std::exp(-toSeconds(Now - State.m_UpdatedAt) /
                                 toSeconds(m_TimeConstant));
}

void DemandRates::add(std::string_view Model, double Requests, Instant Now) {
  auto Found = m_Entries.find(Model);
  if (Found == m_Entries.end()) {
    removeOldEntries(Now);
    Found = m_Entries.emplace(std::string(Model), Entry{0, Now}).first;
  }
  Entry &State = Found->second;
  State.m_Rate = decayedRate(State, Now) + Requests / toSeconds(m_TimeConstant);
  State.m_UpdatedAt = Now;
}

void DemandRates::removeOldEntries(Instant Now) {
  if (m_Entries.size() < m_CleanupSize)
    return;
  std::erase_if(m_Entries, [this, Now](const auto &Item) {
    return Now - Item.second.m_UpdatedAt > ForgetAfter * m_TimeConstant;
  });
  m_CleanupSize = std::max(MinCleanupSize, 2 * m_Entries.size());
}

double DemandRates::rate(std::string_view Model, Instant Now) const {
  const auto Found = m_Entries.find(Model);
  return Found == m_Entries.end() ? 0 : decayedRate(Found->second, Now);
}

Instant DemandRates::lastRequest(std::string_view Model) const {
  const auto Found = m_Entries.find(Model);
  return Found == m_Entries.end() ? Instant() : Found->second.m_UpdatedAt;
}

} // namespace sff::serving
