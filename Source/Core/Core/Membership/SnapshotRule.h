#pragma once

#include "Common/Identity/Ids.h"

#include <span>

namespace sff::membership {

/// Offsets of the control stream that determine when a snapshot is due.
struct SnapshotProgress {
  Offset m_AppliedOffset = 0; ///< Last applied offset.
  Offset m_LastSnapshot = 0;  ///< Newest snapshot that is known to be stored.
  Offset m_SnapshotInterval = 0; ///< Records between two snapshots.
};

/// Decides whether the host \p Self writes the next snapshot. Hosts are ranked
/// by a hash of their name and the offset of the last snapshot, so that the
/// work rotates among them. The host of the first rank writes once
/// m_SnapshotInterval records have been applied since that snapshot. Each
/// further rank waits for an eighth of that number more, in case the hosts
/// before it are gone. It is harmless if two hosts write a snapshot. \p Others
/// are the live hosts without \p Self.
bool shouldWriteSnapshot(const HostId &Self, std::span<const HostId> Others,
                         const SnapshotProgress &Progress);

} // namespace sff::membership
