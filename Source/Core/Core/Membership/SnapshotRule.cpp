#include "Core/Membership/SnapshotRule.h"

#include <algorithm>
#include <string_view>

namespace sff::membership {

namespace {

/// Each rank waits for this fraction of the snapshot interval longer than the
/// one before it.
constexpr Offset RankDelayDivisor = 8;

/// FNV-1a followed by a mixing step. All builds must compute the same ranks,
/// which std::hash does not guarantee.
std::uint64_t rankHash(std::string_view Text, Offset Salt) {
  std::uint64_t Hash = 14695981039346656037ULL ^ Salt;
  for (const unsigned char Char : Text)
    Hash = (Hash ^ Char) * 1099511628211ULL;
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdULL;
  return Hash ^ (Hash >> 33);
}

} // namespace

bool shouldWriteSnapshot(const HostId &Self, std::span<const HostId> Others,
                         const SnapshotProgress &Progress) {
  if (Progress.m_AppliedOffset <
      Progress.m_LastSnapshot + Progress.m_SnapshotInterval)
    return false;
  const std::uint64_t Own = rankHash(Self.str(), Progress.m_LastSnapshot);
  const auto Rank =
      static_cast<Offset>(std::ranges::count_if(Others, [&](const HostId &Id) {
        const std::uint64_t Other = rankHash(Id.str(), Progress.m_LastSnapshot);
        return Other < Own || (Other == Own && Id < Self);
      }));
  const Offset Step =
      std::max<Offset>(1, Progress.m_SnapshotInterval / RankDelayDivisor);
  return Progress.m_AppliedOffset >=
         Progress.m_LastSnapshot + Progress.m_SnapshotInterval + Rank * Step;
}

} // namespace sff::membership
