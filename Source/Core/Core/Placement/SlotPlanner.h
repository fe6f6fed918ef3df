#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Messages/ControllerMessages.h"

#include <span>
#include <vector>

namespace sff::placement {

/// Rendezvous hash weight of a candidate for a key; the candidate with the
/// highest weight is chosen. The same on all hosts and in all releases.
/// Thread safety: reentrant.
std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate);

/// Input of the planning functions.
struct PlanContext {
  const fold::ClusterState &m_State;
  std::span<const messages::EndpointInfo> m_Endpoints;
  IncarnationId m_Self;
  /// Endpoints that reject old fencing tokens and have confirmed the current
  /// one. All others are treated as not fencing.
  std::span<const EndpointId> m_Fencing{};
  /// Controllers that the platform reports as gone or restarted.
  std::span<const IncarnationId> m_TerminatedControllers{};
};

/// Minimum memory that an endpoint needs to serve an entry, in bytes: the
/// weights, for an adapter also those of its base, and the attention state of
/// one request.
/// Thread safety: reentrant.
std::int64_t neededBytes(const fold::ClusterState &State,
                         const catalogue::EntrySpec &Spec);

/// Plans which free slots to assign to endpoints of this controller. Slots of
/// one entry are spread over availability zones; adapters are placed where
/// their base has a slot. Only live engines whose memory can hold the weights
/// and the attention state of one request receive slots, in proportion to
/// their memory. Assigned slots are never moved. Thread safety: reentrant.
std::vector<fold::SlotItem> planGrants(const PlanContext &Context);

/// Slots on endpoints of this controller that have to be released: the entry
/// was removed, the replica count was lowered, the weights no longer fit, the
/// base no longer has a slot there, or the endpoint is leaving. The caller
/// unloads the replica and waits for the confirmation before it releases the
/// slot. Adapters come before models, because a base cannot be released while
/// its adapters have slots. Nothing is listed for an endpoint that does not
/// fence while a lapsed owner may be alive, because a delayed order of that
/// owner could load the replica again.
/// Thread safety: reentrant.
std::vector<fold::SlotItem> planReleases(const PlanContext &Context);

/// A replica that an endpoint has loaded or is loading, with the parameters of
/// the load order.
struct LoadedReplica {
  EndpointId m_Endpoint;
  EntryName m_Entry;
  std::string m_Version;
  EntryName m_Base; ///< Base of an adapter; empty for a model.
  std::int64_t m_WeightBytes = 0;
};

enum class UnloadReason {
  SlotMissing,  ///< The endpoint holds no slot of the entry.
  SlotReleased, ///< planReleases() lists the slot.
  VersionChanged,
  BaseChanged,
  WeightChanged,
  BaseUnloaded, ///< The base on the same endpoint is to be unloaded or missing.
};

struct UnloadItem {
  EndpointId m_Endpoint;
  EntryName m_Entry;
  UnloadReason m_Reason = UnloadReason::SlotMissing;
};

/// Replicas on endpoints of this controller that do not match the catalogue or
/// their slot and have to be unloaded before the slot is reused or released.
/// Adapters come before models. Thread safety: reentrant.
std::vector<UnloadItem> planUnloads(const PlanContext &Context,
                                    std::span<const LoadedReplica> Loaded);

/// True while a delayed order of a lapsed owner may still take effect at
/// \p Endpoint. Thread safety: reentrant.
bool mayReceiveDelayedOrders(const PlanContext &Context,
                             const EndpointId &Endpoint);

/// Memory to keep free at \p Endpoint for delayed orders, in bytes: the size
/// of the largest weights among entries that have a slot there and are not in
/// \p Loaded, once for each lapsed owner that is not known to be gone. 0 for an
/// endpoint that fences. Uses the largest weights that an entry ever had,
/// because the delayed order may name an older version.
/// Thread safety: reentrant.
std::int64_t requiredHeadroom(const PlanContext &Context,
                              const EndpointId &Endpoint,
                              std::span<const EntryName> Loaded);

} // namespace sff::placement
