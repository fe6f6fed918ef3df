#include "Core/Retry/CrashDetector.h"

namespace sff::retry {

void CrashDetector::onRequestLost(const EndpointCrash &Possible,
                                  std::string Fingerprint, Instant Now) {
  std::deque<CrashReport> &List = m_LostRequests[Possible.m_Endpoint];
  while (!List.empty() && (Now - List.front().m_At > CorrelationWindow ||
                           List.size() >= MaxPerEndpoint))
    List.pop_front();
  List.push_back({std::move(Fingerprint), Possible, Now});
}

std::vector<CrashReport>
CrashDetector::popLostRequests(const EndpointId &Endpoint, Instant Now) {
  auto Lost = m_LostRequests.extract(Endpoint);
  if (Lost.empty())
    return {};
  std::vector<CrashReport> Result;
  for (CrashReport &Report : Lost.mapped())
    if (Now - Report.m_At <= CorrelationWindow)
      Result.push_back(std::move(Report));
  return Result;
}

} // namespace sff::retry
