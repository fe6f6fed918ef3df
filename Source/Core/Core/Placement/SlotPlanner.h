#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Messages/ControllerMessages.h"

#include <span>
#include <vector>

namespace sff::placement {

/// Weight of a key for a candidate; the highest weight wins (rendezvous hash).
/// The same on all hosts and in all releases. Thread safety: reentrant.
std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate);

struct PlanContext {
  const fold::ClusterState &m_State;
  std::span<const messages::EndpointInfo> m_Endpoints;
  IncarnationId m_Self;
  /// Endpoints that refuse old fencing tokens and have confirmed the present
  /// one. All others count as not fencing.
  std::span<const EndpointId> m_Fencing{};
  /// Controllers that the platform reports as gone or restarted.
  std::span<const IncarnationId> m_KnownGone{};
};

/// Memory that an endpoint needs to serve an entry at all: the weights, those
/// of an adapter's base and the attention state of one request, in bytes.
/// Thread safety: reentrant.
std::int64_t neededBytes(const fold::ClusterState &State,
                         const catalogue::EntrySpec &Spec);

/// Free slots that belong on endpoints of this controller. Slots of one entry
/// are spread over availability zones; adapters go where the base has a slot.
/// Only live engines whose memory can hold the weights and the attention state
/// of one request receive slots, in proportion to their memory. Assigned slots
/// are never moved. Thread safety: reentrant.
std::vector<fold::SlotItem> planGrants(const PlanContext &Context);

/// Slots on endpoints of this controller that have to be given up: the entry
/// was removed, the count was lowered, the weights no longer fit, the base has
/// no slot there any more, or the endpoint is leaving. The caller unloads the
/// replica and gets the unload confirmed before it releases. Adapters come
/// before models, because a base cannot be released while they have slots.
/// Nothing is listed for an endpoint that does not fence while a lapsed owner
/// may be alive, because its late order could load the replica again.
/// Thread safety: reentrant.
std::vector<fold::SlotItem> planReleases(const PlanContext &Context);

/// A replica that an endpoint has loaded, or is loading, as it was ordered.
struct LoadedReplica {
  EndpointId m_Endpoint;
  EntryName m_Entry;
  std::string m_Version;
  EntryName m_Base; ///< Of an adapter, else empty.
  std::int64_t m_WeightBytes = 0;
};

enum class UnloadReason {
  SlotMissing, ///< The endpoint holds no slot of the entry.
  SlotGivenUp, ///< planReleases() lists the slot.
  VersionChanged,
  BaseChanged,
  WeightChanged,
  BaseUnloaded, ///< The base on the same endpoint is unloaded or missing.
};

struct UnloadItem {
  EndpointId m_Endpoint;
  EntryName m_Entry;
  UnloadReason m_Reason = UnloadReason::SlotMissing;
};

/// Replicas on endpoints of this controller that differ from the catalogue and
/// have to be unloaded before their slot is used again or released. Adapters
/// come before models. Thread safety: reentrant.
std::vector<UnloadItem> planUnloads(const PlanContext &Context,
                                    std::span<const LoadedReplica> Loaded);

/// True while a late order of a lapsed owner may still take effect at
/// \p Endpoint. Thread safety: reentrant.
bool mayReceiveLateOrders(const PlanContext &Context,
                          const EndpointId &Endpoint);

/// Memory to keep free at \p Endpoint for late orders, in bytes: the largest
/// weights of an entry with a slot there that is not in \p Loaded, once for
/// each lapsed owner that is not known to be gone. 0 for an endpoint that
/// fences. Counts the largest weights that an entry ever had, because the late
/// order may name an older version. Thread safety: reentrant.
std::int64_t requiredHeadroom(const PlanContext &Context,
                              const EndpointId &Endpoint,
                              std::span<const EntryName> Loaded);

} // namespace sff::placement
