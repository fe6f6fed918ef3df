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
};

/// Free slots that belong on endpoints of this controller. Slots of one entry
/// are spread over availability zones; adapters go where the base has a slot.
/// Only live engines whose memory can hold the weights receive slots.
/// Thread safety: reentrant.
std::vector<fold::SlotItem> planGrants(const PlanContext &Context);

/// Slots on endpoints of this controller that have to be given up: the entry
/// was removed, the count was lowered, or the endpoint is leaving. The caller
/// unloads the replica and gets the unload confirmed before it releases.
std::vector<fold::SlotItem> planReleases(const PlanContext &Context);

} // namespace sff::placement
