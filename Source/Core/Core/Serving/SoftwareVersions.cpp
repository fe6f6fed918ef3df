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
      m_Services[Service].try_emplace(Version, Presence{Now, Now, false});
  std::vector<std::string> Changed;
  for (auto &[Service, List] : m_Services)
    if (updateService(List, Present[Service], Now) && List.size() > 1)
      Changed.push_back(Service);
  return Changed;
}

bool SoftwareVersions::updateService(Versions &List,
                                     const std::set<std::string> &Present,
                                     Instant Now) {
  bool IsChanged = false;
  for (auto &[Version, Seen] : List) {
    const bool IsPresent = Present.contains(Version);
    if (IsPresent && !Seen.m_IsPresent)
      Seen.m_FirstSeen = Now;
    // A version that has just left was taken to be in use until now.
    if (IsPresent || Seen.m_IsPresent)
      Seen.m_LastSeen = Now;
    IsChanged = IsChanged || IsPresent != Seen.m_IsPresent;
    Seen.m_IsPresent = IsPresent;
  }
  std::erase_if(List, [Now](const auto &Entry) {
    return Entry.second.m_LastSeen + Retention < Now;
  });
  return IsChanged;
}

void SoftwareVersions::addHistory(const std::string &Service,
                                  const KnownVersion &Earlier) {
  const auto [Position, IsNew] = m_Services[Service].try_emplace(
      Earlier.m_Version,
      Presence{Earlier.m_LastSeen, Earlier.m_LastSeen, false});
  Presence &Seen = Position->second;
  Seen.m_LastSeen = std::max(Seen.m_LastSeen, Earlier.m_LastSeen);
}

std::vector<SoftwareVersions::KnownVersion>
SoftwareVersions::known(std::string_view Service) const {
  std::vector<KnownVersion> Result;
  for (const auto &[Version, Seen] : versionsOf(Service))
    Result.push_back({Version, Seen.m_LastSeen, Seen.m_IsPresent});
  return Result;
}

bool SoftwareVersions::hasFollowedFor(Duration Lifetime, Instant Now) const {
  return m_FollowedSince &&
         (m_KnowsHistory || Now - *m_FollowedSince >= Lifetime);
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
  if (!hasFollowedFor(Lifetime, Now) || isMixed(Service, Lifetime, Now))
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
  return FirstSeen + SettleTime <= Now ||
         std::ranges::all_of(List, [FirstSeen](const auto &Entry) {
           return Entry.second.m_FirstSeen >= FirstSeen;
         });
}

} // namespace sff::serving
