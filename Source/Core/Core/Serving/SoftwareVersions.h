#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Serving/EndpointDirectory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sff::serving {

/// Remembers which software versions the endpoints of each service have had. A
/// host that knows a single version for the whole life of a stream knows the
/// version of the stream without a record of it.
/// Thread safety: none.
class SoftwareVersions {
public:
  /// A new version begins no streams until every host in touch with the store
  /// has had the time to learn that it exists.
  static constexpr milliseconds SettleTime{3000};
  /// Oldest registrations from which a host may conclude that a version is the
  /// only one. Shorter than SettleTime, so that no host concludes this after
  /// another host has begun to use a second version.
  static constexpr milliseconds MaxBeliefAge{2500};

  /// A version that a service has had.
  struct KnownVersion {
    std::string m_Version;
    /// Until when an endpoint of the version may have begun streams.
    Instant m_LastSeen;
    bool m_IsPresent = false; ///< An endpoint of it is in the directory.
  };

  /// Records the versions that \p Directory holds at \p Now. Returns the
  /// services that have had several versions and of which one has come, come
  /// back or left.
  std::vector<std::string> update(const EndpointDirectory &Directory,
                                  Instant Now);
  /// Adds a version that other hosts knew before this one started.
  void addHistory(const std::string &Service, const KnownVersion &Earlier);
  /// Called when all versions from before this host started have been added.
  void onHistoryComplete() { m_KnowsHistory = true; }
  /// The versions that a service has had lately.
  std::vector<KnownVersion> known(std::string_view Service) const;

  /// The version of all endpoints of a service within \p Lifetime before
  /// \p Now. Nothing if there were several or the host has not followed the
  /// registrations for so long.
  std::optional<std::string> soleVersion(std::string_view Service,
                                         Duration Lifetime, Instant Now) const;
  /// The version of all endpoints of a service that are known, however short
  /// the time since.
  std::optional<std::string> onlyKnownVersion(std::string_view Service) const;
  /// Whether a service has had several versions within \p Lifetime.
  bool isMixed(std::string_view Service, Duration Lifetime, Instant Now) const;
  /// Whether the version may begin streams: it is not newer than SettleTime, or
  /// the service has had no other.
  bool isSettled(std::string_view Service, std::string_view Version,
                 Instant Now) const;

private:
  /// Versions that have not been seen for so long are dropped.
  static constexpr std::chrono::minutes Retention{5};

  struct Presence {
    Instant m_FirstSeen;
    /// Until when an endpoint of the version may have begun streams.
    Instant m_LastSeen;
    bool m_IsPresent = false; ///< An endpoint of it is in the directory.
  };
  using Versions = std::map<std::string, Presence, std::less<>>;

  /// Returns whether a version has come or left.
  static bool updateService(Versions &List,
                            const std::set<std::string> &Present, Instant Now);
  bool hasFollowedFor(Duration Lifetime, Instant Now) const;
  const Versions &versionsOf(std::string_view Service) const;

  std::map<std::string, Versions, std::less<>> m_Services;
  std::optional<Instant> m_FollowedSince;
  bool m_KnowsHistory = false;
};

} // namespace sff::serving
