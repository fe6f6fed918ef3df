#include "Core/Serving/SoftwareVersions.h"

#include <algorithm>
#include <set>

namespace sff::serving {

std::vector<std::string>
SoftwareVersions::update(const EndpointDirectory &Directory, Instant Now) {
  if (!m_FollowedSince)
    m_FollowedSince = Now;
  std::map<std::string, std::set<std::string>> Present;
  for (const auto &[Id, Known] : Directory.all())
    Present[Known.m_Registration.m_Service].insert(
        Known.m_Registration.m_SoftwareVersion);
  for (const auto &[Service, Names] : Present)
    for (const std::string &Version : Names)
      m_Services[Service].try_emplace(Version, Presence{Now, Now});
  std::vector<std::string> Changed;
  for (auto &[Service, List] : m_Services) {
    const bool IsChanged = updateService(List, Present[Service], Now);
    dropOld(Service, List, Now);
    if (IsChanged && List.size() > 1)
      Changed.push_back(Service);
  }
  return Changed;
}

bool SoftwareVersions::updateService(Versions &List,
                                     const std::set<std::string> &Present,
                                     Instant Now) {
  bool IsChanged = false;
  for (auto &[Version, Seen] : List) {
    const bool IsPresent = Present.contains(Version);
    if (IsPresent && !Seen.m_IsPresent) {
      Seen.m_FirstSeen = Now;
      // Another host may be about to remove the record of a version that left.
      Seen.m_IsRecorded = false;
      Seen.m_WasSeen = true;
    }
    // A version that has just left was taken to be in use until now.
    if (IsPresent || Seen.m_IsPresent)
      Seen.m_LastSeen = Now;
    IsChanged = IsChanged || IsPresent != Seen.m_IsPresent;
    Seen.m_IsPresent = IsPresent;
  }
  return IsChanged;
}

void SoftwareVersions::dropOld(const std::string &Service, Versions &List,
                               Instant Now) {
  for (const auto &[Version, Seen] : List) {
    if (Seen.m_IsPresent)
      m_Obsolete.erase({Service, Version});
    else if (Seen.m_IsRecorded && Seen.m_LastSeen + Retention < Now)
      m_Obsolete.insert({Service, Version});
  }
  std::erase_if(List, [Now](const auto &Entry) {
    return Entry.second.m_LastSeen + Retention < Now;
  });
}

void SoftwareVersions::onInterruption(Instant Now) {
  m_FollowedSince = Now;
  m_WithHistory.clear();
}

void SoftwareVersions::onStoreRestored() {
  for (auto &[Service, List] : m_Services)
    for (auto &[Version, Seen] : List)
      Seen.m_IsRecorded = false;
}

void SoftwareVersions::applyRecords(const std::vector<ServiceVersion> &Records,
                                    bool AreComplete, Instant Now) {
  onStoreRestored();
  m_WithHistory.clear();
  for (const ServiceVersion &Record : Records) {
    Presence &Seen = m_Services[Record.m_Service]
                         .try_emplace(Record.m_Version, Presence{Now, Now})
                         .first->second;
    Seen.m_LastSeen = Now;
    Seen.m_IsRecorded = true;
    if (AreComplete)
      m_WithHistory.insert(Record.m_Service);
  }
}

std::vector<ServiceVersion> SoftwareVersions::unrecorded() const {
  std::vector<ServiceVersion> Result;
  for (const auto &[Service, List] : m_Services)
    for (const auto &[Version, Seen] : List)
      if (!Seen.m_IsRecorded)
        Result.push_back({Service, Version});
  return Result;
}

void SoftwareVersions::onRecorded(const ServiceVersion &Written) {
  const auto List = m_Services.find(Written.m_Service);
  if (List == m_Services.end())
    return;
  const auto Found = List->second.find(Written.m_Version);
  if (Found != List->second.end())
    Found->second.m_IsRecorded = true;
}

std::vector<ServiceVersion> SoftwareVersions::obsoleteRecords() const {
  return {m_Obsolete.begin(), m_Obsolete.end()};
}

bool SoftwareVersions::hasFollowedFor(std::string_view Service,
                                      Duration Lifetime, Instant Now) const {
  return m_FollowedSince && (m_WithHistory.contains(Service) ||
                             Now - *m_FollowedSince >= Lifetime);
}

const SoftwareVersions::Versions &
SoftwareVersions::versionsOf(std::string_view Service) const {
  static const Versions None;
  const auto Found = m_Services.find(Service);
  return Found == m_Services.end() ? None : Found->second;
}

std::optional<std::string>
SoftwareVersions::soleVersion(std::string_view Service, Duration Lifetime,
                              Instant Now) const {
  if (!hasFollowedFor(Service, Lifetime, Now) ||
      isMixed(Service, Lifetime, Now))
    return std::nullopt;
  for (const auto &[Version, Seen] : versionsOf(Service))
    if (Seen.m_LastSeen + Lifetime >= Now)
      return Version;
  return std::nullopt;
}

std::optional<std::string>
SoftwareVersions::onlyKnownVersion(std::string_view Service) const {
  const Versions &List = versionsOf(Service);
  return List.size() == 1 ? std::optional(List.begin()->first) : std::nullopt;
}

std::optional<std::string>
SoftwareVersions::onlySeenVersion(std::string_view Service) const {
  std::optional<std::string> Result;
  for (const auto &[Version, Seen] : versionsOf(Service)) {
    if (!Seen.m_WasSeen)
      continue;
    if (Result)
      return std::nullopt;
    Result = Version;
  }
  return Result;
}

bool SoftwareVersions::isMixed(std::string_view Service, Duration Lifetime,
                               Instant Now) const {
  return std::ranges::count_if(versionsOf(Service), [&](const auto &Entry) {
           return Entry.second.m_LastSeen + Lifetime >= Now;
         }) > 1;
}

bool SoftwareVersions::isSettled(std::string_view Service,
                                 std::string_view Version, Instant Now) const {
  const Versions &List = versionsOf(Service);
  const auto Found = List.find(Version);
  if (Found == List.end())
    return false;
  const Instant FirstSeen = Found->second.m_FirstSeen;
  const bool IsKnownToAll =
      Found->second.m_IsRecorded && FirstSeen + SettleTime <= Now;
  return IsKnownToAll ||
         std::ranges::all_of(List, [FirstSeen](const auto &Entry) {
           return Entry.second.m_FirstSeen >= FirstSeen;
         });
}

} // namespace sff::serving
