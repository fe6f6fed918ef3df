#include "Core/Retry/CrashQuarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sff::retry {

CrashQuarantine::CrashQuarantine(std::size_t MaxFingerprints,
                                 milliseconds Period)
    : m_MaxFingerprints(MaxFingerprints), m_Period(Period) {}

bool CrashQuarantine::add(const CrashReport &Report, Instant Now) {
  if (Now - Report.m_At >= maxAge())
    return false;
  auto &Crashes = makeRecord(Report.m_Fingerprint, Now).m_Crashes;
  const auto Known =
      Crashes.try_emplace(Report.m_Crash, KnownCrash{Report.m_At, Now}).first;
  if (!Known->second.addRun(Report.m_Run))
    return false;
  Known->second.m_AddedAt = Now;
  return true;
}

CrashQuarantine::CrashRecord &
CrashQuarantine::makeRecord(const std::string &Fingerprint, Instant Now) {
  if (!m_Records.contains(Fingerprint) &&
      m_Records.size() >= std::max<std::size_t>(m_MaxFingerprints, 1))
    evictRecord(Now);
  CrashRecord &Record = m_Records[Fingerprint];
  std::erase_if(Record.m_Crashes, [&](const auto &Entry) {
    return Now - Entry.second.m_At >= maxAge();
  });
  return Record;
}

std::vector<CrashProof>
CrashQuarantine::onSuccess(const std::string &Fingerprint, Instant Now) {
  std::vector<CrashProof> Proofs;
  const auto Found = m_Records.find(Fingerprint);
  if (Found == m_Records.end())
    return Proofs;
  for (auto &[Crash, Known] : Found->second.m_Crashes) {
    if (counts(Known, Now))
      Proofs.push_back({Fingerprint, Crash});
    Known.m_Counts = false;
  }
  return Proofs;
}

bool CrashQuarantine::addProof(const CrashProof &Proof, Instant Now) {
  auto &Crashes = makeRecord(Proof.m_Fingerprint, Now).m_Crashes;
  const auto Known =
      Crashes.try_emplace(Proof.m_Crash, KnownCrash{Now, Now}).first;
  return std::exchange(Known->second.m_Counts, false);
}

std::size_t CrashQuarantine::crashCount(const std::string &Fingerprint,
                                        Instant Now) const {
  const auto Found = m_Records.find(Fingerprint);
  return Found == m_Records.end() ? 0 : summarize(Found->second, Now).m_Count;
}

QuarantineVerdict CrashQuarantine::verdict(const std::string &Fingerprint,
                                           Instant Now) const {
  const auto Found = m_Records.find(Fingerprint);
  if (Found == m_Records.end())
    return QuarantineVerdict::Normal;
  const CrashSummary Summary = summarize(Found->second, Now);
  const bool IsRecent = Now - Summary.m_Last < periodFor(Summary.m_Count);
  if (Summary.m_Count == 0 || (Summary.m_Count == 1 && !IsRecent))
    return QuarantineVerdict::Normal;
  return Summary.isRejectable() && IsRecent ? QuarantineVerdict::Reject
                                            : QuarantineVerdict::Isolate;
}

void CrashQuarantine::appendReports(std::vector<CrashReport> &Out,
                                    const std::string &Fingerprint,
                                    const EndpointCrash &Crash,
                                    const KnownCrash &Known) {
  for (const RequestId &Run : Known.m_Runs)
    Out.push_back({Fingerprint, Crash, Known.m_At, Run});
}

std::vector<CrashReport> CrashQuarantine::recentReports(Instant Now) const {
  std::vector<CrashReport> Result;
  for (const auto &[Fingerprint, Record] : m_Records)
    for (const auto &[Crash, Known] : Record.m_Crashes)
      if (counts(Known, Now) && Now - Known.m_AddedAt < RecentCrashPeriod)
        appendReports(Result, Fingerprint, Crash, Known);
  return Result;
}

void CrashQuarantine::onShared(const std::string &Fingerprint, Instant Now) {
  const auto Found = m_Records.find(Fingerprint);
  if (Found != m_Records.end())
    Found->second.m_LastShared = Now;
}

std::vector<CrashReport>
CrashQuarantine::reportsToShareAgain(const std::string &Fingerprint,
                                     Instant Now) {
  std::vector<CrashReport> Result;
  const auto Found = m_Records.find(Fingerprint);
  if (Found == m_Records.end() ||
      Now - Found->second.m_LastShared < SharePeriod)
    return Result;
  for (const auto &[Crash, Known] : Found->second.m_Crashes)
    if (counts(Known, Now))
      appendReports(Result, Fingerprint, Crash, Known);
  Found->second.m_LastShared = Now;
  return Result;
}

CrashQuarantine::CrashSummary
CrashQuarantine::summarize(const CrashRecord &Record, Instant Now) const {
  CrashSummary Result;
  for (const auto &[Crash, Known] : Record.m_Crashes) {
    if (!counts(Known, Now))
      continue;
    ++Result.m_Count;
    Result.m_Runs += Known.m_Runs.size();
    Result.m_Last = std::max(Result.m_Last, Known.m_At);
  }
  return Result;
}

milliseconds CrashQuarantine::periodFor(std::size_t Crashes) const {
  const std::size_t Doublings =
      std::min(std::max<std::size_t>(Crashes, 2) - 2, MaxDoublings);
  return m_Period * (1 << Doublings);
}

void CrashQuarantine::evictRecord(Instant Now) {
  m_Records.erase(
      std::ranges::min_element(m_Records, {}, [&](const auto &Item) {
        const CrashSummary Summary = summarize(Item.second, Now);
        return std::tuple(Summary.m_Count, Summary.m_Runs, Summary.m_Last);
      }));
}

} // namespace sff::retry
