#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Serving/Catalogue.h"
#include "Core/Serving/RolloutDetector.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace sff::serving {

/// Identifies one process lifetime of an endpoint. An endpoint that restarts
/// under the same id has nothing loaded and has no record of earlier requests.
struct Incarnation {
  std::int64_t m_StartedAtMs = 0; ///< Unix time in milliseconds.
  friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

struct ResidentModel {
  std::string m_Name;
  std::int64_t m_Version = 0;
  std::set<std::string, std::less<>> m_Adapters;
};

/// The models and weights that an endpoint reports to hold.
struct Inventory {
  std::vector<ResidentModel> m_Models;
  std::set<std::string, std::less<>> m_InHostMemory;
  std::set<std::string, std::less<>> m_OnDisk;

  const ResidentModel *find(std::string_view Model) const;
  /// Returns true if the model and, if \p Name has one, the adapter are loaded.
  bool holds(const ModelName &Name) const;
  /// Adds or removes a model, or an adapter of a loaded model.
  void setLoaded(const ModelName &Name, bool IsLoaded);
};

/// Orders the registrations of one endpoint.
struct RegistrationVersion {
  std::int64_t m_StartedAtMs = 0; ///< As in Incarnation.
  std::int64_t m_Heartbeat = 0;
  friend auto operator<=>(const RegistrationVersion &,
                          const RegistrationVersion &) = default;

  static constexpr auto describe() {
    return std::make_tuple(
        codec::field("started_at_ms", &RegistrationVersion::m_StartedAtMs),
        codec::field("heartbeat", &RegistrationVersion::m_Heartbeat));
  }
};

/// The registration record of an endpoint.
struct Registration {
  EndpointId m_Id;
  Incarnation m_Incarnation;
  /// Number of registrations since the endpoint started.
  std::int64_t m_Heartbeat = 0;
  std::string m_Service;
  std::string m_Address; ///< "ip:port".
  ZoneId m_Zone;
  /// Version of the endpoint's software, not of its weights; empty if it is not
  /// known, which counts as a version of its own.
  std::string m_SoftwareVersion;
  int m_Slots = 0;
  bool m_Draining = false;
  Inventory m_Inventory;

  RegistrationVersion version() const {
    return {m_Incarnation.m_StartedAtMs, m_Heartbeat};
  }
};

/// This host's view of an endpoint.
struct Endpoint {
  Registration m_Registration;
  /// Set if the registry entry is gone and may have expired in a registry
  /// outage, so that the endpoint may still serve. It is removed at this time
  /// unless confirmRemoval() comes first.
  std::optional<Instant> m_ExpiresAt;
  Instant m_AddedAt; ///< Time at which this host first saw the endpoint.
  /// The newest registration after which another endpoint answered at the
  /// address. Up to this version the registrations are void.
  std::optional<RegistrationVersion> m_VoidUpTo;

  bool isVoid() const {
    return m_VoidUpTo && m_Registration.version() <= *m_VoidUpTo;
  }
  bool acceptsRequests() const {
    return !m_Registration.m_Draining && !isVoid();
  }
  const EndpointId &id() const { return m_Registration.m_Id; }
  const Inventory &inventory() const { return m_Registration.m_Inventory; }
};

/// How a registration changed the directory.
enum class RegistrationEffect {
  Stale,     ///< Older than the known registration; ignored.
  Refreshed, ///< No change that affects requests.
  Changed,
  Added,
  Restarted, ///< A new incarnation under a known id.
};

/// Tracks the endpoints from their registrations. An entry that is gone after a
/// registry outage has either expired in it or been removed because its
/// endpoint left. The endpoint is kept until ExpiryGracePeriod after the
/// registry has recovered, or until confirmRemoval() says that it left. Whether
/// the registry was away or only the path to it cannot be told from here.
/// Thread safety: none.
class EndpointDirectory {
public:
  /// Endpoints re-register within two seconds of the registry's recovery; the
  /// remaining second covers the delay until this host reads the registration.
  static constexpr milliseconds ExpiryGracePeriod{3000};
  /// A registration that predates an observed inventory change may be read up
  /// to this long after the change.
  static constexpr milliseconds OverrideValidity{2500};

  RegistrationEffect apply(Registration Incoming, Instant Now);
  /// Handles an entry that is no longer in the registry. Returns the endpoint
  /// if it was removed immediately, nothing if it is unknown or its removal is
  /// delayed.
  std::optional<Endpoint> remove(const EndpointId &Id, Instant Now);
  /// Calls remove() for each endpoint that is not in \p Present, which is a
  /// complete listing of the registry. Returns the endpoints that were removed.
  std::vector<Endpoint> retain(const std::set<EndpointId> &Present,
                               Instant Now);

  void onRegistryUnavailable();
  void onRegistryRestored(Instant Now);
  /// Endpoints whose removal is delayed.
  std::vector<EndpointId> unconfirmedRemovals() const;
  /// Removes an endpoint whose removal is delayed and returns it. Returns
  /// nothing if it has registered again or is gone.
  std::optional<Endpoint> confirmRemoval(const EndpointId &Id, Instant Now);
  /// Removes endpoints whose grace period has ended, and returns them.
  std::vector<Endpoint> expire(Instant Now);

  /// Records that the model, or the adapter of a loaded model, is loaded at the
  /// endpoint. Overrides the endpoint's registrations for OverrideValidity.
  void overrideAsLoaded(const EndpointId &Id, const ModelName &Name,
                        Instant Now);
  /// Records that the model or adapter is not loaded at the endpoint. Overrides
  /// the endpoint's registrations for OverrideValidity.
  void overrideAsNotLoaded(const EndpointId &Id, const ModelName &Name,
                           Instant Now);

  /// Records that another endpoint answered at the address of the registration
  /// \p Version. The endpoint accepts no requests until a later registration
  /// of it is applied, as the answer may be older than that one. Returns true
  /// if it accepted requests before.
  bool onAddressReused(const EndpointId &Id,
                       const RegistrationVersion &Version);
  /// Returns the endpoints of a service whose registrations are void, with the
  /// versions up to which they are.
  std::map<EndpointId, RegistrationVersion>
  voidRegistrations(std::string_view Service) const;

  /// Records that the process \p Leaving of an endpoint has said itself that it
  /// leaves. It accepts no requests from then on, whatever its registrations
  /// say; a later process under the same id does. Returns true if it accepted
  /// requests before.
  bool onLeaving(const EndpointId &Id, const Incarnation &Leaving, Instant Now);
  /// Returns the endpoints of a service that have said themselves that they
  /// leave, with the registrations that are known of them.
  std::map<EndpointId, RegistrationVersion>
  departures(std::string_view Service) const;

  const Endpoint *find(const EndpointId &Id) const;
  /// Returns the endpoints of a service that accept requests.
  std::vector<const Endpoint *> serving(std::string_view Service) const;
  const std::map<EndpointId, Endpoint> &all() const { return m_Endpoints; }
  /// Returns true if the endpoint is draining, or is expected to because a
  /// rollout is replacing the endpoints of its service.
  bool isLeaving(const Endpoint &Candidate, Instant Now) const;

private:
  struct InventoryOverride {
    bool m_IsLoaded = false;
    Instant m_ValidUntil;
  };
  using InventoryOverrides = std::map<ModelName, InventoryOverride>;

  /// A process that has said itself that it leaves.
  struct Departure {
    Incarnation m_Process;
    Instant m_NoticedAt;
  };
  /// How long a departure is kept without a registration. A registration may
  /// expire in an outage and return while its endpoint still serves.
  static constexpr milliseconds DepartureRetention{600000};

  /// Returns whether the process of the registration has said that it leaves.
  bool hasSaidToLeave(const Registration &Entry) const;
  void setLoaded(const EndpointId &Id, const ModelName &Name, bool IsLoaded,
                 Instant Now);
  void applyOverrides(Registration &Incoming, Instant Now);
  bool isRegistryStateUncertain(Instant Now) const;
  Endpoint extract(std::map<EndpointId, Endpoint>::iterator Position,
                   Instant Now);

  std::map<EndpointId, Endpoint> m_Endpoints;
  std::map<EndpointId, InventoryOverrides> m_Overrides;
  std::map<EndpointId, Departure> m_Departures;
  RolloutDetector m_RolloutDetector;
  bool m_RegistryUnavailable = false;
  std::optional<Instant> m_RegistryRestoredAt;
};

} // namespace sff::serving
