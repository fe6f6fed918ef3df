#include "Core/Serving/FleetSize.h"

#include <algorithm>

namespace sff::serving {

void FleetSize::onReport(const HostId &Host, Instant Now) {
  if (!m_Begun)
    m_Begun = Now;
  m_Heard[Host] = Now;
  std::erase_if(m_Heard,
                [Now](const auto &Item) { return Now - Item.second > Period; });
}

std::size_t FleetSize::count(Instant Now) const {
  const bool Complete = m_Begun && Now - *m_Begun >= Period;
  return Complete ? m_Heard.size() : std::max(m_Heard.size(), Assumed);
}

std::set<HostId> FleetSize::hosts() const {
  std::set<HostId> Result;
  for (const auto &[Host, Heard] : m_Heard)
    Result.insert(Host);
  return Result;
}

} // namespace sff::serving
