#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"
#include "Core/Serving/Catalogue.h"
#include "Core/Serving/ReleaseWatch.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sff::serving {

/// One start of an endpoint. An endpoint that starts again under its id holds
/// nothing and knows nothing of what was sent to it before.
struct Incarnation {
  std::int64_t m_StartedAtMs = 0; ///< Unix time.
  friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

struct ResidentModel {
  std::string m_Name;
  std::int64_t m_Version = 0;
  std::set<std::string, std::less<>> m_Adapters;
};

/// What an endpoint holds, by its own word.
struct Inventory {
  std::vector<ResidentModel> m_Models;
  std::set<std::string, std::less<>> m_InHostMemory;
  std::set<std::string, std::less<>> m_OnDisk;

  const ResidentModel *find(std::string_view Model) const;
  /// The model and, where \p Name has one, its adapter are loaded.
  bool holds(const ModelName &Name) const;
  /// Adds or removes a model, or an adapter of a model that is held.
  void note(const ModelName &Name, bool IsHeld);
};

/// What an endpoint registers of itself.
struct Registration {
  EndpointId m_Id;
  Incarnation m_Incarnation;
  std::int64_t m_Heartbeat = 0; ///< Counts its registrations from its start.
  std::string m_Service;
  std::string m_Address; ///< "ip:port".
  ZoneId m_Zone;
  int m_Slots = 0;
  bool m_Draining = false;
  Inventory m_Inventory;
};

/// What this host believes of an endpoint.
struct Endpoint {
  Registration m_Registered;
  /// The entry lapsed at a time at which the registry was away, so the
  /// endpoint may live; it counts as gone from this time on.
  std::optional<Instant> m_GoneAt;
  Instant m_AddedAt; ///< When this host first heard of it.

  bool takesWork() const { return !m_Registered.m_Draining; }
  const EndpointId &id() const { return m_Registered.m_Id; }
  const Inventory &inventory() const { return m_Registered.m_Inventory; }
};

/// How a registration changed the directory.
enum class RegistrationEffect {
  Stale,     ///< Older than what is known; ignored.
  Refreshed, ///< Nothing that matters to requests has changed.
  Changed,
  Added,
  Restarted, ///< A new incarnation under a known id.
};

/// The endpoints that take work, from their registrations. An entry that
/// lapsed while the registry was away stays until a short time after the
/// registry's return. Thread safety: none.
class EndpointDirectory {
public:
  /// Endpoints are back in the registry within two seconds of its return; the
  /// rest is the delay with which this host reads it.
  static constexpr milliseconds LapseGrace{3000};
  /// A registration may have been written before a change that this host has
  /// heard of, and read this much later.
  static constexpr milliseconds NoteValidity{2500};

  RegistrationEffect apply(Registration Item, Instant Now);
  /// The entry is no longer in the registry. Returns true when the endpoint
  /// left the directory at once.
  bool remove(const EndpointId &Id, Instant Now);
  /// Removes all that \p Present does not name, as remove() does. For a whole
  /// listing of the registry.
  void retain(const std::set<EndpointId> &Present, Instant Now);

  void onRegistryLost();
  void onRegistryRegained(Instant Now);
  /// Removes endpoints whose grace has ended.
  void expire(Instant Now);

  /// The endpoint is known to hold the model, or the adapter of a model that
  /// it holds. Goes before its registrations for NoteValidity.
  void noteHeld(const EndpointId &Id, const ModelName &Name, Instant Now);
  /// The endpoint is known not to hold the model or adapter. Goes before its
  /// registrations for NoteValidity.
  void noteMissing(const EndpointId &Id, const ModelName &Name, Instant Now);

  const Endpoint *find(const EndpointId &Id) const;
  /// Endpoints of a service that take work.
  std::vector<const Endpoint *> serving(std::string_view Service) const;
  const std::map<EndpointId, Endpoint> &all() const { return m_Endpoints; }
  /// The endpoint leaves or is about to: it drains, or the endpoints of its
  /// service are being replaced.
  bool isLeaving(const Endpoint &Item, Instant Now) const;

private:
  struct Note {
    bool m_Held = false;
    Instant m_ValidUntil;
  };
  using Notes = std::map<ModelName, Note>;

  void note(const EndpointId &Id, const ModelName &Name, bool IsHeld,
            Instant Now);
  void applyNotes(Registration &Item, Instant Now);
  bool isRegistryDoubtful(Instant Now) const;

  std::map<EndpointId, Endpoint> m_Endpoints;
  std::map<EndpointId, Notes> m_Notes;
  ReleaseWatch m_Releases;
  bool m_RegistryLost = false;
  std::optional<Instant> m_RegainedAt;
};

} // namespace sff::serving
