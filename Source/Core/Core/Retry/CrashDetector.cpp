#include "Core/Retry/CrashDetector.h"

namespace sff::retry {

std::vector<PromptPartId> CrashDetector::partsOf(const EndpointId &Endpoint,
                                                 const RequestId &Run) const {
  const auto Running = m_RunningRequests.find(Endpoint);
  if (Running == m_RunningRequests.end())
    return {};
  const auto Found = Running->second.find(Run);
  if (Found == Running->second.end())
    return {};
  return Found->second.m_Parts;
}

void CrashDetector::onRequestLost(const EndpointCrash &Possible,
                                  std::string Fingerprint, RequestId Run,
                                  Instant Now) {
  std::deque<CrashReport> &List = m_LostRequests[Possible.m_Endpoint];
  while (!List.empty() && (Now - List.front().m_At > CorrelationWindow ||
                           List.size() >= MaxPerEndpoint))
    List.pop_front();
  CrashReport Report{std::move(Fingerprint), Possible, Now, std::move(Run)};
  Report.m_Parts = partsOf(Possible.m_Endpoint, Report.m_Run);
  List.push_back(std::move(Report));
}

bool CrashDetector::hasLostRequests(const EndpointId &Endpoint,
                                    Instant Now) const {
  const auto Lost = m_LostRequests.find(Endpoint);
  return Lost != m_LostRequests.end() && !Lost->second.empty() &&
         Now - Lost->second.back().m_At <= CorrelationWindow;
}

void CrashDetector::onRequestSent(const EndpointCrash &Possible,
                                  std::string Fingerprint, RequestId Run,
                                  Instant Now,
                                  std::vector<PromptPartId> Parts) {
  CrashReport Report{std::move(Fingerprint), Possible, Now, Run,
                     std::move(Parts)};
  m_RunningRequests[Possible.m_Endpoint].insert_or_assign(std::move(Run),
                                                          std::move(Report));
}

void CrashDetector::onRequestEnded(const EndpointId &Endpoint,
                                   const RequestId &Run) {
  const auto Running = m_RunningRequests.find(Endpoint);
  if (Running == m_RunningRequests.end())
    return;
  Running->second.erase(Run);
  if (Running->second.empty())
    m_RunningRequests.erase(Running);
}

std::vector<CrashReport>
CrashDetector::popRunningRequests(const EndpointId &Endpoint, Instant Now) {
  auto Running = m_RunningRequests.extract(Endpoint);
  if (Running.empty())
    return {};
  std::vector<CrashReport> Result;
  for (auto &[Run, Report] : Running.mapped()) {
    Report.m_At = Now;
    Result.push_back(std::move(Report));
  }
  return Result;
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

std::vector<CrashReport>
CrashDetector::popLostRequests(const EndpointCrash &Crash, Instant Now) {
  std::vector<CrashReport> Result;
  const auto Lost = m_LostRequests.find(Crash.m_Endpoint);
  if (Lost == m_LostRequests.end())
    return Result;
  std::erase_if(Lost->second, [&](const CrashReport &Report) {
    if (Report.m_Crash != Crash)
      return false;
    if (Now - Report.m_At <= CorrelationWindow)
      Result.push_back(Report);
    return true;
  });
  return Result;
}

} // namespace sff::retry
