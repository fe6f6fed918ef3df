#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <map>
#include <optional>
#include <vector>

namespace sff::ownership {

/// Lease durations that all controllers of a deployment share.
struct LeaseTimes {
  milliseconds m_Duration{6000};
  milliseconds m_RenewalInterval{2000};
  /// Time that a claimant waits beyond the lease duration, to allow for
  /// differences between clock rates.
  milliseconds m_ClockRateMargin{1500};
};

/// Tracks whether this controller holds its own lease. The lease starts when a
/// renewal that was later accepted was sent, so a slow log can only shorten it.
/// Thread safety: none.
class LeaseClock {
public:
  explicit LeaseClock(LeaseTimes Times) : m_Times(Times) {}

  /// Called right before a renewal with this id is sent to the log. When the
  /// answer is lost, the log may still append it later.
  void onRenewalSent(const RecordId &Id, Instant Now);
  /// Called when ClusterState accepted the renewal.
  void onRenewalAccepted(const RecordId &Id, Offset Position);
  /// Called when ClusterState rejected the renewal, which has no effect.
  void onRenewalRejected(const RecordId &Id);

  /// Called when the state no longer contains a lease of this incarnation. It
  /// was pruned because the incarnation owned no endpoint and did not renew for
  /// a long time. The next renewal starts a new lease.
  void onLeasePruned();

  bool isHeld(Instant Now) const;
  /// True when the last renewal was sent at least one renewal interval ago, or
  /// when none was sent yet.
  bool isRenewalDue(Instant Now) const;
  /// Offset of the last accepted renewal, which the next one has to name as its
  /// predecessor; 0 before the first.
  Offset lastRenewal() const { return m_LastRenewal; }

private:
  LeaseTimes m_Times;
  std::map<RecordId, Instant> m_PendingRenewals;
  std::optional<Instant> m_LastSent;
  std::optional<Instant> m_HeldSince;
  Offset m_LastRenewal = 0;
};

/// Tracks the leases of other controllers, to decide when their endpoints may
/// be claimed. The duration of each lease is measured from the time at which
/// this process read its last renewal.
/// Thread safety: none.
class LeaseObserver {
public:
  explicit LeaseObserver(LeaseTimes Times) : m_Times(Times) {}

  void onRenewalRead(const IncarnationId &Incarnation, Offset Position,
                     Instant Now);
  /// Called when the log became readable again after an outage. All leases
  /// count as renewed at \p Now, so that owners can renew before any controller
  /// claims their endpoints.
  void onLogRestored(Instant Now);
  /// True when the lease duration and the margin have passed since the last
  /// renewal was read. False for an incarnation of which no renewal was read.
  bool isExpired(const IncarnationId &Incarnation, Instant Now) const;
  /// Offset of the last renewal that was read; 0 when there is none.
  Offset lastRenewalRead(const IncarnationId &Incarnation) const;
  void forget(const IncarnationId &Incarnation);
  std::vector<IncarnationId> observedIncarnations() const;

private:
  struct Observation {
    Offset m_Offset = 0;
    Instant m_ReadAt;
  };
  LeaseTimes m_Times;
  std::map<IncarnationId, Observation> m_Observations;
};

} // namespace sff::ownership
