#include "Core/Retry/CrashQuarantine.h"

#include <algorithm>

namespace sff::retry {

CrashQuarantine::CrashQuarantine(std::size_t MaxFingerprints,
                                 milliseconds Period)
    : m_MaxFingerprints(MaxFingerprints), m_Period(Period) {}

bool CrashQuarantine::add(const CrashReport &Report, Instant Now) {
  if (Now - Report.m_At >= m_Period)
    return false;
  if (!m_Records.contains(Report.m_Fingerprint) &&
      m_Records.size() >= std::max<std::size_t>(m_MaxFingerprints, 1))
    evictRecords(Now);
  CrashRecord &Record = m_Records[Report.m_Fingerprint];
  if (isExpired(Record, Now))
    Record.m_Crashes.clear();
  const bool IsNew =
      Record.m_Crashes.try_emplace(Report.m_Crash, KnownCrash{Report.m_At, Now})
          .second;
  if (IsNew)
    Record.m_LastCrash = std::max(Record.m_LastCrash, Report.m_At);
  return IsNew;
}

void CrashQuarantine::onSuccess(const std::string &Fingerprint) {
  const auto Found = m_Records.find(Fingerprint);
  if (Found == m_Records.end())
    return;
  for (auto &[Crash, Known] : Found->second.m_Crashes)
    Known.m_Counts = false;
}

std::size_t CrashQuarantine::crashCount(const std::string &Fingerprint,
                                        Instant Now) const {
  const CrashRecord *Record = find(Fingerprint, Now);
  if (!Record)
    return 0;
  return static_cast<std::size_t>(
      std::ranges::count_if(Record->m_Crashes, [](const auto &Entry) {
        return Entry.second.m_Counts;
      }));
}

QuarantineVerdict CrashQuarantine::verdict(const std::string &Fingerprint,
                                           Instant Now) const {
  const std::size_t Crashes = crashCount(Fingerprint, Now);
  if (Crashes >= 2)
    return QuarantineVerdict::Reject;
  return Crashes == 1 ? QuarantineVerdict::Isolate : QuarantineVerdict::Normal;
}

std::vector<CrashReport> CrashQuarantine::recentReports(Instant Now) const {
  std::vector<CrashReport> Result;
  for (const auto &[Fingerprint, Record] : m_Records)
    for (const auto &[Crash, Known] : Record.m_Crashes)
      if (Now - Known.m_AddedAt < RecentCrashPeriod)
        Result.push_back({Fingerprint, Crash, Known.m_At});
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
  const CrashRecord *Record = find(Fingerprint, Now);
  if (!Record || Now - Record->m_LastShared < SharePeriod)
    return Result;
  for (const auto &[Crash, Known] : Record->m_Crashes)
    if (Known.m_Counts)
      Result.push_back({Fingerprint, Crash, Known.m_At});
  onShared(Fingerprint, Now);
  return Result;
}

const CrashQuarantine::CrashRecord *
CrashQuarantine::find(const std::string &Fingerprint, Instant Now) const {
  const auto Found = m_Records.find(Fingerprint);
  if (Found == m_Records.end() || isExpired(Found->second, Now))
    return nullptr;
  return &Found->second;
}

bool CrashQuarantine::isExpired(const CrashRecord &Record, Instant Now) const {
  return Now - Record.m_LastCrash >= m_Period;
}

void CrashQuarantine::evictRecords(Instant Now) {
  if (std::erase_if(m_Records, [&](const auto &Item) {
        return isExpired(Item.second, Now);
      }) > 0)
    return;
  m_Records.erase(std::min_element(
      m_Records.begin(), m_Records.end(), [](const auto &A, const auto &B) {
        return A.second.m_LastCrash < B.second.m_LastCrash;
      }));
}

} // namespace sff::retry
