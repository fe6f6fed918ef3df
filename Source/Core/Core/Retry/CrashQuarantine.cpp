#include "Core/Retry/CrashQuarantine.h"

#include <algorithm>

namespace sff::retry {

CrashQuarantine::CrashQuarantine(std::size_t MaxFingerprints,
                                 milliseconds Period)
    : m_MaxFingerprints(MaxFingerprints), m_Period(Period) {}

std::int64_t CrashQuarantine::onCrash(const std::string &Fingerprint,
                                      Instant Now) {
  CrashRecord &Record = updateRecord(Fingerprint, Now);
  return ++Record.m_Crashes;
}

void CrashQuarantine::merge(const std::string &Fingerprint,
                            std::int64_t Crashes, Instant Now) {
  CrashRecord &Record = updateRecord(Fingerprint, Now);
  Record.m_Crashes = std::max(Record.m_Crashes, Crashes);
}

bool CrashQuarantine::mergeCrashCount(const std::string &Fingerprint,
                                      std::int64_t Crashes, Instant Now) {
  const auto Found = m_Records.find(Fingerprint);
  const bool IsKnown = Found != m_Records.end() &&
                       !isExpired(Found->second, Now) &&
                       Found->second.m_Crashes >= Crashes;
  if (!IsKnown)
    merge(Fingerprint, Crashes, Now);
  return !IsKnown;
}

void CrashQuarantine::onSuccess(const std::string &Fingerprint) {
  m_Records.erase(Fingerprint);
}

std::map<std::string, std::int64_t>
CrashQuarantine::recentCrashCounts(Instant Now) const {
  std::map<std::string, std::int64_t> Result;
  for (const auto &[Fingerprint, Record] : m_Records)
    if (Now - Record.m_LastCrash < RecentCrashPeriod)
      Result.emplace(Fingerprint, Record.m_Crashes);
  return Result;
}

QuarantineVerdict CrashQuarantine::verdict(const std::string &Fingerprint,
                                           Instant Now) {
  const auto Found = m_Records.find(Fingerprint);
  if (Found == m_Records.end())
    return QuarantineVerdict::Normal;
  if (isExpired(Found->second, Now)) {
    m_Records.erase(Found);
    return QuarantineVerdict::Normal;
  }
  if (Found->second.m_Crashes >= 2)
    return QuarantineVerdict::Reject;
  return Found->second.m_Crashes == 1 ? QuarantineVerdict::Isolate
                                      : QuarantineVerdict::Normal;
}

bool CrashQuarantine::isExpired(const CrashRecord &Record, Instant Now) const {
  return Now - Record.m_LastCrash >= m_Period;
}

CrashQuarantine::CrashRecord &
CrashQuarantine::updateRecord(const std::string &Fingerprint, Instant Now) {
  if (!m_Records.contains(Fingerprint) &&
      m_Records.size() >= std::max<std::size_t>(m_MaxFingerprints, 1))
    evictRecords(Now);
  CrashRecord &Record = m_Records[Fingerprint];
  if (isExpired(Record, Now))
    Record.m_Crashes = 0;
  Record.m_LastCrash = std::max(Record.m_LastCrash, Now);
  return Record;
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
