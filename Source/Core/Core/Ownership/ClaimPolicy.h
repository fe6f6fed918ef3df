#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Messages/ControllerMessages.h"
#include "Core/Ownership/LeaseClock.h"

#include <span>
#include <vector>

namespace sff::ownership {

/// A controller that may own endpoints.
struct Candidate {
  IncarnationId m_Incarnation;
  HostId m_Host;
  ZoneId m_Zone;
};

struct ClaimContext {
  const fold::ClusterState &m_State;
  const LeaseObserver &m_Observer;
  /// Hosts that the platform reports as gone, or whose controller restarted.
  std::span<const IncarnationId> m_KnownGone;
  std::span<const messages::EndpointInfo> m_Endpoints;
  IncarnationId m_Self;
  Instant m_Now;
};

/// Notes the last renewal of every lease of \p State, as read at \p Now, and
/// forgets leases that the fold has forgotten. Call it after each fold step
/// and after a snapshot was taken over, before planClaims().
void observeLeases(const fold::ClusterState &State, LeaseObserver &Observer,
                   Instant Now);

/// Lists the endpoints that this controller should claim now: free ones, and
/// those whose owner's lease has lapsed, for which it ranks first among the
/// live controllers (same availability zone first, then rendezvous hash).
/// Leaving and gone endpoints are claimed too, because somebody has to drain
/// or retire them; a gone endpoint only until it is retired. An owner counts
/// as lapsed only if the observer has read its last folded renewal.
/// Empty while this controller has no lease in the folded state.
/// Thread safety: reentrant.
std::vector<fold::ClaimItem> planClaims(const ClaimContext &Context);

/// Controllers whose lease is neither released nor lapsed, this one included.
std::vector<Candidate> liveControllers(const ClaimContext &Context);

} // namespace sff::ownership
