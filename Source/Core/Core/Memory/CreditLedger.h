#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace sff::memory {

/// A running request as the endpoint's own inventory reports it.
struct RunningRequest {
  IncarnationId m_Router;
  std::int64_t m_Bytes = 0;
};

/// The owner's account of one endpoint's accelerator memory: weights, loans to
/// routers, and headroom for orders and requests that may still arrive.
///
/// Invariant: used bytes never exceed the capacity.
/// Thread safety: none.
class CreditLedger {
public:
  CreditLedger(std::int64_t CapacityBytes, milliseconds LoanTimeToLive)
      : m_Capacity(CapacityBytes), m_TimeToLive(LoanTimeToLive) {}

  /// Reserves memory for weights. Returns false, without effect, when the
  /// memory is not free. Reserving an entry twice has no effect.
  bool reserveWeights(const EntryName &Entry, std::int64_t Bytes);
  /// Counts weights that the endpoint reports as loaded or loading, even when
  /// they exceed the free memory: the report is a fact.
  void adoptWeights(const EntryName &Entry, std::int64_t Bytes);
  /// Call only after the endpoint has confirmed the unload.
  void releaseWeights(const EntryName &Entry);

  /// Lends credits of \p BytesEach for up to \p Count requests and returns how
  /// many were lent. A known loan id is renewed and returns its count.
  std::int64_t lend(const LoanId &Loan, const IncarnationId &Router,
                    const EntryName &Entry, std::int64_t BytesEach,
                    std::int64_t Count, Instant Now);
  /// Takes back credits and renews the rest of the loan. Totals only grow, so
  /// a repeated or late message has no effect.
  void returnCredits(const LoanId &Loan, std::int64_t ReturnedTotal,
                     Instant Now);
  /// Lapses loans that were not renewed within their time to live. A lapsed
  /// loan keeps the larger of one request and what the endpoint reports for
  /// that router counted, until the router is seen again or known to be gone.
  void expire(Instant Now);
  void onRouterSeen(const IncarnationId &Router);
  void onRouterGone(const IncarnationId &Router);

  /// Starts an account after a takeover: nothing is lent until the loans of
  /// the predecessor have lapsed and a later report was read.
  void onTakeover(Instant Now);
  /// Takes notice of the endpoint's own report, read at \p Now.
  void onReport(std::span<const RunningRequest> Running, Instant Now);
  /// Memory kept free for one late order of each lapsed predecessor, bytes.
  void setHeadroom(std::int64_t Bytes);

  std::int64_t capacityBytes() const { return m_Capacity; }
  std::int64_t usedBytes() const;
  std::int64_t freeBytes() const { return m_Capacity - usedBytes(); }
  /// Credits of an entry that are lent and not returned.
  std::int64_t lentCount(const EntryName &Entry) const;
  bool mayLend(Instant Now) const;

private:
  struct Loan {
    IncarnationId m_Router;
    EntryName m_Entry;
    std::int64_t m_BytesEach = 0;
    std::int64_t m_Count = 0;
    std::int64_t m_Returned = 0;
    Instant m_ExpiresAt;
    bool m_Lapsed = false;
  };

  std::int64_t m_Capacity;
  milliseconds m_TimeToLive;
  std::int64_t m_Headroom = 0;
  std::map<EntryName, std::int64_t> m_Weights;
  std::map<LoanId, Loan> m_Loans;
  std::map<IncarnationId, std::int64_t> m_ReportedBytes;
  /// Running requests at takeover that belong to no loan of this ledger.
  std::int64_t m_InheritedBytes = 0;
  std::optional<Instant> m_LendFrom;
};

} // namespace sff::memory
