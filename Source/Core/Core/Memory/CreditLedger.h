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
/// Invariant: used bytes never exceed the capacity. What the endpoint reports
/// beyond the capacity after a takeover counts as a full endpoint.
/// Thread safety: none.
class CreditLedger {
public:
  CreditLedger(std::int64_t CapacityBytes, milliseconds LoanTimeToLive)
      : m_Capacity(CapacityBytes), m_TimeToLive(LoanTimeToLive) {}

  /// Reserves memory for weights that are to be loaded. Returns false, without
  /// effect, when the memory is not free, or while a takeover is not settled,
  /// because routers may still start requests under loans of the predecessor.
  /// Reserving an entry twice with the same size has no effect; another size
  /// is refused, because the entry has to be unloaded first.
  bool reserveWeights(const EntryName &Entry, std::int64_t Bytes);
  /// Counts weights that the endpoint's inventory shows as loaded or loading.
  /// They are there, so this never fails.
  void adoptWeights(const EntryName &Entry, std::int64_t Bytes);
  /// Call only after the endpoint has confirmed the unload.
  void releaseWeights(const EntryName &Entry);

  /// Lends credits of \p BytesEach for up to \p Count requests and returns how
  /// many were lent. A known loan id is renewed and returns its count; 0 when
  /// that loan has lapsed or belongs to another router or entry.
  std::int64_t lend(const LoanId &Loan, const IncarnationId &Router,
                    const EntryName &Entry, std::int64_t BytesEach,
                    std::int64_t Count, Instant Now);
  /// Takes back credits and renews the rest of the loan. Totals only grow, so
  /// a repeated or late message has no effect. Returns false when the loan has
  /// lapsed or is unknown; the router must not count it as renewed then.
  bool returnCredits(const LoanId &Loan, std::int64_t ReturnedTotal,
                     Instant Now);
  /// Lapses loans that were not renewed within their time to live. A lapsed
  /// loan stays counted whole until a report that was asked for afterwards was
  /// read, because the router may have started requests until the end. Then
  /// the larger of one request and what the endpoint reports for that router
  /// stays counted; once the router was seen or is known to be gone, only what
  /// the endpoint reports.
  void expire(Instant Now);
  void onRouterSeen(const IncarnationId &Router);
  void onRouterGone(const IncarnationId &Router);

  /// Starts an account after a takeover: loans are dropped, and nothing is
  /// lent until the loans of the predecessor have lapsed and a report that was
  /// asked for later was read.
  void onTakeover(Instant Now);
  /// Takes notice of the endpoint's own report. \p AskedAt is the time at
  /// which the report was asked for, not the time at which it arrived. A
  /// report that was asked for before the last one is ignored.
  void onReport(std::span<const RunningRequest> Running, Instant AskedAt);
  /// Memory kept free for one late order of each lapsed predecessor, bytes.
  void setHeadroom(std::int64_t Bytes);

  std::int64_t capacityBytes() const { return m_Capacity; }
  std::int64_t usedBytes() const;
  std::int64_t freeBytes() const { return m_Capacity - usedBytes(); }
  /// Credits of an entry that are lent and not returned, lapsed ones included
  /// as far as they are still counted.
  std::int64_t lentCount(const EntryName &Entry) const;
  /// False until a takeover is settled.
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
    /// A report that was asked for after the lapse was read.
    bool m_Reported = false;
    /// The router was seen after the lapse or is gone.
    bool m_RouterKnown = false;
    /// What a lapsed loan still counts.
    std::int64_t m_KeptBytes = 0;

    std::int64_t outstandingBytes() const {
      return (m_Count - m_Returned) * m_BytesEach;
    }
    std::int64_t countedBytes() const {
      return m_Lapsed ? m_KeptBytes : outstandingBytes();
    }
  };

  void trimLapsed(Loan &Item) const;
  void eraseSettled();
  void noteRouter(const IncarnationId &Router);

  std::int64_t m_Capacity;
  milliseconds m_TimeToLive;
  std::int64_t m_Headroom = 0;
  std::map<EntryName, std::int64_t> m_Weights;
  std::map<LoanId, Loan> m_Loans;
  std::map<IncarnationId, std::int64_t> m_ReportedBytes;
  std::optional<Instant> m_LastReport;
  /// Running requests at takeover that belong to no loan of this ledger.
  std::map<IncarnationId, std::int64_t> m_InheritedBytes;
  /// Set while a takeover is not settled.
  std::optional<Instant> m_LendFrom;
};

} // namespace sff::memory
