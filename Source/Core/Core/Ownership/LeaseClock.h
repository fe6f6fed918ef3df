#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <vector>

namespace sff::ownership {

/// Durations that all controllers of a deployment share.
struct LeaseTimes {
  milliseconds m_Duration{6000};
  milliseconds m_RenewEvery{2000};
  /// What a claimant waits beyond the lease, for differing clock rates.
  milliseconds m_Margin{1500};
};

/// The owner's view of its own lease. The lease runs from the sending of a
/// renewal that later proved valid, so a slow log only shortens it.
/// Thread safety: none.
class LeaseClock {
public:
  explicit LeaseClock(LeaseTimes Times) : m_Times(Times) {}

  /// Notes that a renewal with this id is about to be handed to the log.
  /// When the answer is lost, the log may still accept it later.
  void onRenewalSent(const RecordId &Id, Instant Now);
  /// Notes that the fold accepted the renewal.
  void onRenewalAccepted(const RecordId &Id, Offset Position);
  /// Notes that the fold rejected it; the record has no effect.
  void onRenewalRejected(const RecordId &Id);

  /// The folded state holds no lease of this incarnation any more, because it
  /// owned nothing and did not renew for long. The next renewal is a first one.
  void onLeaseForgotten();

  bool isHeld(Instant Now) const;
  /// True when the next renewal should be sent. False while one is pending
  /// that is younger than the renewal period.
  bool isRenewalDue(Instant Now) const;
  /// Offset to name as the previous renewal; 0 before the first.
  Offset lastRenewal() const { return m_LastRenewal; }

private:
  LeaseTimes m_Times;
  std::map<RecordId, Instant> m_Pending;
  std::optional<Instant> m_LastSent;
  std::optional<Instant> m_HeldFrom;
  Offset m_LastRenewal = 0;
};

/// The claimant's view of other leases. Each lease is counted from the moment
/// this process read its last renewal.
/// Thread safety: none.
class LeaseObserver {
public:
  explicit LeaseObserver(LeaseTimes Times) : m_Times(Times) {}

  void onRenewalRead(const IncarnationId &Incarnation, Offset Position,
                     Instant Now);
  /// The log became readable again after an outage. All leases count as just
  /// renewed, so that owners can renew before anyone claims.
  void onLogRestored(Instant Now);
  /// True when lease and margin have passed since the last renewal was read.
  /// False for an incarnation of which no renewal was read.
  bool isLapsed(const IncarnationId &Incarnation, Instant Now) const;
  /// Offset of the last renewal read, 0 when none was.
  Offset lastRead(const IncarnationId &Incarnation) const;
  void forget(const IncarnationId &Incarnation);
  std::vector<IncarnationId> known() const;

private:
  struct Observation {
    Offset m_Offset = 0;
    Instant m_ReadAt;
  };
  LeaseTimes m_Times;
  std::map<IncarnationId, Observation> m_Observations;
};

} // namespace sff::ownership
