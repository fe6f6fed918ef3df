#include "Core/Retry/CrashDetector.h"

namespace sff::retry {

void CrashDetector::onConnectionLost(const EndpointId &Endpoint,
                                     std::string Fingerprint, Instant Now) {
  std::deque<BrokenRequest> &List = m_BrokenRequests[Endpoint];
  while (!List.empty() && (Now - List.front().m_At > CorrelationWindow ||
                           List.size() >= MaxPerEndpoint))
    List.pop_front();
  List.push_back({std::move(Fingerprint), Now});
}

std::vector<std::string>
CrashDetector::popLostRequests(const EndpointId &Endpoint, Instant Now) {
  const auto Found = m_BrokenRequests.find(Endpoint);
  if (Found == m_BrokenRequests.end())
    return {};
  std::vector<std::string> Result;
  for (BrokenRequest &Request : Found->second)
    if (Now - Request.m_At <= CorrelationWindow)
      Result.push_back(std::move(Request.m_Fingerprint));
  m_BrokenRequests.erase(Found);
  return Result;
}

} // namespace sff::retry
