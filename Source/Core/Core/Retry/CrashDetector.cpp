#include "Core/Retry/CrashDetector.h"

#include "Core/Retry/PartQuarantine.h"

namespace sff::retry {

void CrashDetector::RunningRequest::onProgress(Instant Now) {
  if (!m_AnswerBegunAt)
    m_AnswerBegunAt = Now;
  m_Report.m_WasWritten =
      Now - *m_AnswerBegunAt >= PartQuarantine::WritingProofTime;
}

CrashDetector::RunningRequest *
CrashDetector::findRunning(const EndpointId &Endpoint, const RequestId &Run) {
  const auto Running = m_RunningRequests.find(Endpoint);
  if (Running == m_RunningRequests.end())
    return nullptr;
  const auto Found = Running->second.find(Run);
  return Found == Running->second.end() ? nullptr : &Found->second;
}

void CrashDetector::onAnswerProgress(const EndpointId &Endpoint,
                                     const RequestId &Run, Instant Now) {
  if (RunningRequest *Running = findRunning(Endpoint, Run))
    Running->onProgress(Now);
}

void CrashDetector::onRequestLost(const EndpointCrash &Possible,
                                  std::string Fingerprint, RequestId Run,
                                  Instant Now) {
  std::deque<CrashReport> &List = m_LostRequests[Possible.m_Endpoint];
  while (!List.empty() && (Now - List.front().m_At > CorrelationWindow ||
                           List.size() >= MaxPerEndpoint))
    List.pop_front();
  CrashReport Report{std::move(Fingerprint), Possible, Now, std::move(Run)};
  if (const RunningRequest *Running =
          findRunning(Possible.m_Endpoint, Report.m_Run)) {
    Report.m_Parts = Running->m_Report.m_Parts;
    Report.m_WasWritten = Running->m_Report.m_WasWritten;
  }
  List.push_back(std::move(Report));
}

void CrashDetector::onRequestSent(const EndpointCrash &Possible,
                                  std::string Fingerprint, RequestId Run,
                                  Instant Now,
                                  std::vector<PromptPartId> Parts) {
  RunningRequest Running{
      {std::move(Fingerprint), Possible, Now, Run, std::move(Parts)}, {}};
  m_RunningRequests[Possible.m_Endpoint].insert_or_assign(std::move(Run),
                                                          std::move(Running));
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
  auto Extracted = m_RunningRequests.extract(Endpoint);
  if (Extracted.empty())
    return {};
  std::vector<CrashReport> Result;
  for (auto &[Run, Running] : Extracted.mapped()) {
    Running.m_Report.m_At = Now;
    Result.push_back(std::move(Running.m_Report));
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
