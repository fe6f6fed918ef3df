#include "Core/Retry/CrashWatch.h"

namespace sff::retry {

void CrashWatch::onBroken(const EndpointId &Endpoint, std::string Fingerprint,
                          Instant Now) {
  std::deque<Broken> &List = m_Broken[Endpoint];
  while (!List.empty() &&
         (Now - List.front().m_At > Window || List.size() >= MaxPerEndpoint))
    List.pop_front();
  List.push_back({std::move(Fingerprint), Now});
}

std::vector<std::string> CrashWatch::onDown(const EndpointId &Endpoint,
                                            Instant Now) {
  const auto Found = m_Broken.find(Endpoint);
  if (Found == m_Broken.end())
    return {};
  std::vector<std::string> Result;
  for (Broken &Item : Found->second)
    if (Now - Item.m_At <= Window)
      Result.push_back(std::move(Item.m_Fingerprint));
  m_Broken.erase(Found);
  return Result;
}

} // namespace sff::retry
