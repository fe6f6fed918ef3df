#include "Core/Serving/DemandRates.h"

#include <cmath>

namespace sff::serving {

double DemandRates::decayed(const Entry &Known, Instant Now) const {
  return Known.m_Rate *
         std::exp(-toSeconds(Now - Known.m_At) / toSeconds(m_Memory));
}

void DemandRates::add(std::string_view Model, double Requests, Instant Now) {
  auto Found = m_Entries.find(Model);
  if (Found == m_Entries.end())
    Found = m_Entries.emplace(std::string(Model), Entry{0, Now}).first;
  Entry &Known = Found->second;
  Known.m_Rate = decayed(Known, Now) + Requests / toSeconds(m_Memory);
  Known.m_At = Now;
}

double DemandRates::rate(std::string_view Model, Instant Now) const {
  const auto Found = m_Entries.find(Model);
  return Found == m_Entries.end() ? 0 : decayed(Found->second, Now);
}

Instant DemandRates::lastRequest(std::string_view Model) const {
  const auto Found = m_Entries.find(Model);
  return Found == m_Entries.end() ? Instant() : Found->second.m_At;
}

} // namespace sff::serving
