#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Messages/ControllerMessages.h"

#include <span>
#include <vector>

namespace sff::ownership {

/// Returns the controller incarnations that are known to have terminated: the
/// host list reports their host as gone, or a later incarnation uses the same
/// address on the same host. Thread safety: reentrant.
std::vector<IncarnationId>
findTerminatedControllers(const fold::ClusterState &State,
                          std::span<const messages::EndpointInfo> Hosts);

/// Chooses the controller that grants weight store permits: the one of \p Live
/// whose first renewal has the lowest offset. Empty when \p Live is empty.
IncarnationId choosePermitIssuer(const fold::ClusterState &State,
                                 std::span<const IncarnationId> Live);

} // namespace sff::ownership
