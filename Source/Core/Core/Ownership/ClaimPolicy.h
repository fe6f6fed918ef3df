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

/// Input of planClaims() and liveControllers().
struct ClaimContext {
  const fold::ClusterState &m_State;
  const LeaseObserver &m_Observer;
  /// Controllers that are known to have terminated; see findKnownGone().
  std::span<const IncarnationId> m_TerminatedControllers;
  std::span<const messages::EndpointInfo> m_Endpoints;
  IncarnationId m_Self;
  Instant m_Now;
};

/// Records in \p Observer the last renewal of every lease of \p State as read
/// at \p Now, and removes leases that \p State no longer contains. Must be
/// called after each applied record and after a snapshot was loaded, before
/// planClaims().
void observeLeases(const fold::ClusterState &State, LeaseObserver &Observer,
                   Instant Now);

/// Returns the claims that this controller should make now. A claimable
/// endpoint is free, or its owner's lease has expired, or its owner is known to
/// have terminated. This controller claims those for which it ranks first among
/// the live controllers (same availability zone first, then rendezvous hash).
/// Leaving and gone endpoints are included, because they have to be drained or
/// retired; a gone endpoint only until it is retired. The lease of an owner
/// counts as expired only if the observer has read its last applied renewal.
/// Empty while this controller has no lease in the state or has released it.
/// Thread safety: reentrant.
std::vector<fold::ClaimItem> planClaims(const ClaimContext &Context);

/// Controllers with a lease that is neither released nor expired and that are
/// not known to have terminated. The lease of this controller never counts as
/// expired here.
std::vector<Candidate> liveControllers(const ClaimContext &Context);

} // namespace sff::ownership
