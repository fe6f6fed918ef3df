#pragma once

#include "Common/Codec/Fields.h"
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

/// A software version of a service's endpoints.
struct ServiceVersion {
  std::string m_Service;
  std::string m_Version;

  static constexpr auto describe() {
    using codec::field;
    return std::make_tuple(field("service", &ServiceVersion::m_Service),
                           field("version", &ServiceVersion::m_Version));
  }
  friend auto operator<=>(const ServiceVersion &,
                          const ServiceVersion &) = default;
};

/// Remembers which software versions the endpoints of each service have had. A
/// host that knows a single version for the whole life of a stream knows the
/// version of the stream without a record of it.
///
/// The store has a record of each version whose streams may still be taken up,
/// for hosts that start: what they find registered does not tell which versions
/// left before. A service without a record has an unknown history.
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

  /// Records the versions that \p Directory holds at \p Now. Returns the
  /// services that have had several versions and of which one has come, come
  /// back or left.
  std::vector<std::string> update(const EndpointDirectory &Directory,
                                  Instant Now);
  /// Called when the registrations are read after a time in which versions may
  /// have come and left unseen. Until the records have been read again, or for
  /// the life of a stream, no version counts as the only one.
  void onInterruption(Instant Now);
  /// Called with all records of the store, which were read until \p Now. A
  /// recorded version may have begun streams until then: when its last endpoint
  /// left is not recorded, because the clocks of hosts may jump.
  /// Unless \p AreComplete, others may be missing.
  /// Precondition: the directory was read before the records were.
  void applyRecords(const std::vector<ServiceVersion> &Records,
                    bool AreComplete, Instant Now);
  /// Called when the store has been restored from an older copy: the records of
  /// all known versions are to be written again.
  void onStoreRestored();
  /// The versions of which the store has no record yet.
  std::vector<ServiceVersion> unrecorded() const;
  /// Called when the store has confirmed the record of a version.
  void onRecorded(const ServiceVersion &Written);
  /// Versions that are recorded though their streams have ended.
  std::vector<ServiceVersion> obsoleteRecords() const;
  /// Called when the store has confirmed the removal of a record.
  void onRecordRemoved(const ServiceVersion &Removed) {
    m_Obsolete.erase(Removed);
  }

  /// The version of all endpoints of a service within \p Lifetime before
  /// \p Now. Nothing if there were several or the host has not followed the
  /// registrations for so long.
  std::optional<std::string> soleVersion(std::string_view Service,
                                         Duration Lifetime, Instant Now) const;
  /// The version of all endpoints of a service that are known, however short
  /// the time since.
  std::optional<std::string> onlyKnownVersion(std::string_view Service) const;
  /// The same without the versions that only records name.
  std::optional<std::string> onlySeenVersion(std::string_view Service) const;
  /// Whether a service has had several versions within \p Lifetime.
  bool isMixed(std::string_view Service, Duration Lifetime, Instant Now) const;
  /// Whether the version may begin streams: it is not newer than SettleTime and
  /// the store has confirmed its record, or the service has had no other
  /// before.
  bool isSettled(std::string_view Service, std::string_view Version,
                 Instant Now) const;

private:
  /// Versions that have not been seen for so long are dropped.
  static constexpr std::chrono::minutes Retention{5};

  struct Presence {
    Instant m_FirstSeen;
    /// Until when an endpoint of the version may have begun streams.
    Instant m_LastSeen;
    bool m_IsPresent = false;  ///< An endpoint of it is in the directory.
    bool m_WasSeen = false;    ///< An endpoint of it has been in the directory.
    bool m_IsRecorded = false; ///< The store has a record of the version.
  };
  using Versions = std::map<std::string, Presence, std::less<>>;

  /// Returns whether a version has come or left.
  static bool updateService(Versions &List,
                            const std::set<std::string> &Present, Instant Now);
  /// Drops the versions whose streams have ended.
  void dropOld(const std::string &Service, Versions &List, Instant Now);
  bool hasFollowedFor(std::string_view Service, Duration Lifetime,
                      Instant Now) const;
  const Versions &versionsOf(std::string_view Service) const;

  std::map<std::string, Versions, std::less<>> m_Services;
  std::optional<Instant> m_FollowedSince;
  /// Services of which the store had a record when the records were read.
  std::set<std::string, std::less<>> m_WithHistory;
  std::set<ServiceVersion> m_Obsolete;
};

} // namespace sff::serving
