#include "Core/Serving/RelayTargets.h"

#include <algorithm>
#include <vector>

namespace sff::serving {

void RelayTargets::onNamed(std::span<const HostId> Hosts, Instant Now) {
  for (const HostId &Host : Hosts)
    m_Targets[Host].m_NamedAt = Now;
  std::erase_if(m_Targets, [Now](const auto &Entry) {
    return Entry.second.m_Running == 0 && Now - Entry.second.m_NamedAt > MaxAge;
  });
}

std::optional<HostId> RelayTargets::choose(const std::set<HostId> &Tried,
                                           Instant Now) {
  std::vector<HostId> Eligible;
  for (const auto &[Host, State] : m_Targets)
    if (!Tried.contains(Host) && Now >= State.m_PausedUntil)
      Eligible.push_back(Host);
  if (Eligible.empty())
    return std::nullopt;
  std::ranges::shuffle(Eligible, m_Random);
  if (Eligible.size() == 1)
    return Eligible.front();
  const bool SecondIsLessLoaded =
      m_Targets.at(Eligible[1]).m_Running < m_Targets.at(Eligible[0]).m_Running;
  return Eligible[SecondIsLessLoaded ? 1 : 0];
}

void RelayTargets::onFailed(const HostId &Host, Instant Now) {
  if (const auto Found = m_Targets.find(Host); Found != m_Targets.end())
    Found->second.m_PausedUntil = Now + PauseAfterFailure;
}

void RelayTargets::onFinished(const HostId &Host) {
  if (const auto Found = m_Targets.find(Host); Found != m_Targets.end())
    --Found->second.m_Running;
}

} // namespace sff::serving
