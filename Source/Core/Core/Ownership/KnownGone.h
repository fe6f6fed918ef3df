#pragma once

#include "Core/Fold/ClusterState.h"
#include "Core/Messages/ControllerMessages.h"

#include <span>
#include <vector>

namespace sff::ownership {

/// Controller incarnations that have certainly ended: the host list says that
/// their host is gone, or a later incarnation listens on the same address of
/// the same host. Thread safety: reentrant.
std::vector<IncarnationId>
findKnownGone(const fold::ClusterState &State,
              std::span<const messages::EndpointInfo> Hosts);

/// The live controller whose first renewal has the lowest offset lends the
/// weight store permits. Empty when \p Live is empty.
IncarnationId choosePermitLender(const fold::ClusterState &State,
                                 std::span<const IncarnationId> Live);

} // namespace sff::ownership
