#pragma once

#include "Common/Identity/Ids.h"

#include <span>

namespace sff::membership {

struct SnapshotProgress {
  Offset m_Applied = 0;      ///< Of the control stream.
  Offset m_LastSnapshot = 0; ///< Newest snapshot that is known to be stored.
  Offset m_Records = 0;      ///< Records between two snapshots.
};

/// Decides whether the host \p Self writes the next snapshot. Hosts are ranked
/// by a hash of their name and the last snapshot, so that the duty moves; the
/// first rank writes when the records have passed, and each further rank waits
/// for an eighth of them more, in case those before it are gone. Two writers
/// do no harm. \p Others are the live hosts without \p Self.
bool shouldWriteSnapshot(const HostId &Self, std::span<const HostId> Others,
                         const SnapshotProgress &Progress);

} // namespace sff::membership
