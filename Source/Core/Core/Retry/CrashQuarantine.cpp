#include "Core/Retry/CrashQuarantine.h"

#include <algorithm>

namespace sff::retry {

CrashQuarantine::CrashQuarantine(std::size_t MaxFingerprints,
                                 milliseconds Period)
    : m_MaxFingerprints(MaxFingerprints), m_Period(Period) {}

std::int64_t CrashQuarantine::onCrash(const std::string &Fingerprint,
                                      Instant Now) {
  Suspect &Entry = refresh(Fingerprint, Now);
  return ++Entry.m_Crashes;
}

void CrashQuarantine::merge(const std::string &Fingerprint,
                            std::int64_t Crashes, Instant Now) {
  Suspect &Entry = refresh(Fingerprint, Now);
  Entry.m_Crashes = std::max(Entry.m_Crashes, Crashes);
}

void CrashQuarantine::mergeNews(const std::string &Fingerprint,
                                std::int64_t Crashes, Instant Now) {
  const auto Found = m_Suspects.find(Fingerprint);
  const bool Known = Found != m_Suspects.end() &&
                     !isForgotten(Found->second, Now) &&
                     Found->second.m_Crashes >= Crashes;
  if (!Known)
    merge(Fingerprint, Crashes, Now);
}

void CrashQuarantine::onSuccess(const std::string &Fingerprint) {
  m_Suspects.erase(Fingerprint);
}

std::map<std::string, std::int64_t>
CrashQuarantine::recentSuspects(Instant Now) const {
  std::map<std::string, std::int64_t> Result;
  for (const auto &[Fingerprint, Known] : m_Suspects)
    if (Now - Known.m_LastCrash < NewsPeriod)
      Result.emplace(Fingerprint, Known.m_Crashes);
  return Result;
}

QuarantineVerdict CrashQuarantine::verdict(const std::string &Fingerprint,
                                           Instant Now) {
  const auto Found = m_Suspects.find(Fingerprint);
  if (Found == m_Suspects.end())
    return QuarantineVerdict::Normal;
  if (isForgotten(Found->second, Now)) {
    m_Suspects.erase(Found);
    return QuarantineVerdict::Normal;
  }
  if (Found->second.m_Crashes >= 2)
    return QuarantineVerdict::Refuse;
  return Found->second.m_Crashes == 1 ? QuarantineVerdict::Isolate
                                      : QuarantineVerdict::Normal;
}

bool CrashQuarantine::isForgotten(const Suspect &Entry, Instant Now) const {
  return Now - Entry.m_LastCrash >= m_Period;
}

CrashQuarantine::Suspect &
CrashQuarantine::refresh(const std::string &Fingerprint, Instant Now) {
  if (!m_Suspects.contains(Fingerprint) &&
      m_Suspects.size() >= std::max<std::size_t>(m_MaxFingerprints, 1))
    makeRoom(Now);
  Suspect &Entry = m_Suspects[Fingerprint];
  if (isForgotten(Entry, Now))
    Entry.m_Crashes = 0;
  Entry.m_LastCrash = std::max(Entry.m_LastCrash, Now);
  return Entry;
}

void CrashQuarantine::makeRoom(Instant Now) {
  if (std::erase_if(m_Suspects, [&](const auto &Item) {
        return isForgotten(Item.second, Now);
      }) > 0)
    return;
  m_Suspects.erase(std::min_element(
      m_Suspects.begin(), m_Suspects.end(), [](const auto &A, const auto &B) {
        return A.second.m_LastCrash < B.second.m_LastCrash;
      }));
}

} // namespace sff::retry
