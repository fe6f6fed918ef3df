#pragma once

#include "Common/Identity/Ids.h"
#include "Common/Time/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace sff::memory {

/// A running request, as reported by the endpoint's inventory.
struct RunningRequest {
  IncarnationId m_Router;
  std::int64_t m_Bytes = 0;
};

/// Accounts for the accelerator memory of one endpoint on behalf of its owner:
/// weights, loans to routers, and headroom for orders and requests that may
/// still arrive.
///
/// Invariant: used bytes never exceed the capacity. An endpoint that reports
/// more than its capacity after a takeover counts as full.
/// Thread safety: none.
class CreditLedger {
public:
  CreditLedger(std::int64_t CapacityBytes, milliseconds LoanTimeToLive)
      : m_CapacityBytes(CapacityBytes), m_LoanTimeToLive(LoanTimeToLive) {}

  /// Reserves memory for weights that are about to be loaded. Returns false,
  /// without effect, when there is not enough free memory, or while a takeover
  /// is not settled, because routers may still start requests under loans of
  /// the previous owner. Reserving an entry again with the same size has no
  /// effect; a different size is refused, because the entry has to be unloaded
  /// first.
  bool reserveWeights(const EntryName &Entry, std::int64_t Bytes);
  /// Counts weights that the endpoint's inventory shows as loaded or loading.
  /// Never fails, because the weights already occupy memory.
  void adoptWeights(const EntryName &Entry, std::int64_t Bytes);
  /// Frees the memory of an entry's weights. Precondition: the endpoint has
  /// confirmed the unload.
  void releaseWeights(const EntryName &Entry);

  /// Lends credits of \p BytesEach for up to \p Count requests and returns how
  /// many were lent. An existing loan is renewed and its count is returned; 0
  /// when that loan has expired or belongs to another router or entry.
  std::int64_t lend(const LoanId &Loan, const IncarnationId &Router,
                    const EntryName &Entry, std::int64_t BytesEach,
                    std::int64_t Count, Instant Now);
  /// Accepts returned credits and renews the rest of the loan.
  /// \p ReturnedTotal is cumulative and only grows, so a duplicate or delayed
  /// message returns no credit twice. Returns false when the loan has expired
  /// or is unknown; the router must not count it as renewed then.
  bool returnCredits(const LoanId &Loan, std::int64_t ReturnedTotal,
                     Instant Now);
  /// Expires loans that were not renewed within their time to live. An expired
  /// loan counts in full until a report that was requested after the expiry
  /// has been processed, because the router may have started requests until
  /// then. From that report on it counts the larger of one request and the
  /// memory that the endpoint reports for that router; once the router was
  /// seen or is known to be gone, only the reported memory.
  void expire(Instant Now);
  /// A message from the router has arrived.
  void onRouterMessage(const IncarnationId &Router);
  /// The router is known to be gone.
  void onRouterGone(const IncarnationId &Router);

  /// Resets the ledger after a takeover: drops all loans and lends nothing
  /// until the loans of the previous owner have expired and a report requested
  /// after that has been processed.
  void onTakeover(Instant Now);
  /// Processes the endpoint's report of its running requests. \p AskedAt is
  /// the time at which the report was requested, not the time at which it
  /// arrived. A report requested earlier than the last one is ignored.
  void onReport(std::span<const RunningRequest> Running, Instant AskedAt);
  /// Sets the memory kept free for one delayed order of each previous owner
  /// whose lease has lapsed, in bytes.
  void setHeadroom(std::int64_t Bytes);

  std::int64_t capacityBytes() const { return m_CapacityBytes; }
  std::int64_t usedBytes() const;
  std::int64_t freeBytes() const { return m_CapacityBytes - usedBytes(); }
  /// Credits of an entry that are lent and not returned. Includes expired ones
  /// as long as they are counted.
  std::int64_t lentCredits(const EntryName &Entry) const;
  /// False from a takeover until it is settled.
  bool canLend(Instant Now) const;

private:
  struct Loan {
    IncarnationId m_Router;
    EntryName m_Entry;
    std::int64_t m_BytesEach = 0;
    std::int64_t m_Count = 0;
    std::int64_t m_Returned = 0;
    Instant m_ExpiresAt;
    bool m_Expired = false;
    /// A report requested after the loan expired has been processed.
    bool m_HasReportAfterExpiry = false;
    /// The router was seen after the loan expired, or is gone.
    bool m_RouterStateKnown = false;
    /// Memory that the loan still counts after it has expired.
    std::int64_t m_ExpiredBytes = 0;

    std::int64_t outstandingBytes() const {
      return (m_Count - m_Returned) * m_BytesEach;
    }
    std::int64_t countedBytes() const {
      return m_Expired ? m_ExpiredBytes : outstandingBytes();
    }
  };

  void reduceExpiredLoan(Loan &Item) const;
  void eraseEmptyLoans();
  void markRouterStateKnown(const IncarnationId &Router);

  std::int64_t m_CapacityBytes;
  milliseconds m_LoanTimeToLive;
  std::int64_t m_HeadroomBytes = 0;
  std::map<EntryName, std::int64_t> m_Weights;
  std::map<LoanId, Loan> m_Loans;
  std::map<IncarnationId, std::int64_t> m_ReportedBytes;
  std::optional<Instant> m_LastReportAskedAt;
  /// Memory of requests that ran at takeover, which belong to no loan of this
  /// ledger.
  std::map<IncarnationId, std::int64_t> m_InheritedBytes;
  /// When the last loan of the previous owner expires; set until a takeover is
  /// settled.
  std::optional<Instant> m_InheritedLoansExpireAt;
};

} // namespace sff::memory
