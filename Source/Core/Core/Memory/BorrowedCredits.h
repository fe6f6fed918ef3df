#pragma once

#include "Core/Messages/ControllerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sff::memory {

/// Permission to run one request at an endpoint.
struct Credit {
  LoanId m_Loan;
  EndpointId m_Endpoint;
  std::string m_Address;
};

/// Credits that a router has borrowed. A credit is taken only while its loan
/// is live; the time to live runs from the sending of the message that created
/// or renewed the loan, so that the loan ends here before it does at the
/// lender. Thread safety: none.
class BorrowedCredits {
public:
  /// Adds a loan that was granted in reply to a message sent at \p SentAt. A
  /// duplicate grant only renews the loan. Precondition: the router uses a new
  /// loan id for each loan and repeats an id only while it has no reply.
  void onGranted(const EntryName &Entry,
                 const messages::BorrowCreditsReply &Grant, Instant SentAt);
  /// The lender confirmed a return or renewal that was sent at \p SentAt.
  /// Precondition: the acknowledgement reports success; the lender rejects
  /// returns and renewals of a loan that has expired on its side.
  void onRenewed(const LoanId &Loan, Instant SentAt);

  /// Takes a credit for \p Entry at \p Endpoint. Returns nothing when no live
  /// one is free.
  std::optional<Credit> take(const EntryName &Entry, const EndpointId &Endpoint,
                             Instant Now);
  /// Makes a credit available again after its request has ended.
  void releaseCredit(const Credit &Used, Instant Now);

  /// Free live credits of an entry at an endpoint.
  std::int64_t available(const EntryName &Entry, const EndpointId &Endpoint,
                         Instant Now) const;

  /// A return or renewal to send to the lender at an endpoint.
  struct LoanUpdate {
    EndpointId m_Endpoint;
    messages::ReturnCredits m_Message;
  };
  /// Returns and renewals to send now: free credits that were idle for
  /// \p IdleLimit or whose loan has expired are returned, loans in use are
  /// renewed every third of their time to live.
  std::vector<LoanUpdate> collectLoanUpdates(const IncarnationId &Self,
                                             milliseconds IdleLimit,
                                             Instant Now);

private:
  struct Loan {
    EntryName m_Entry;
    EndpointId m_Endpoint;
    std::string m_Address;
    std::int64_t m_Count = 0;
    std::int64_t m_InUse = 0;
    std::int64_t m_Returned = 0;
    milliseconds m_TimeToLive{0};
    Instant m_RenewedAt;
    Instant m_LastUseAt;
    Instant m_LastMessageAt;
    /// The lender has confirmed the return of all credits.
    bool m_ReturnConfirmed = false;

    bool isFullyReturned() const { return m_Returned == m_Count; }
    std::int64_t freeCount() const { return m_Count - m_Returned - m_InUse; }
    bool isLive(Instant Now) const { return Now - m_RenewedAt < m_TimeToLive; }
  };
  std::map<LoanId, Loan> m_Loans;
};

} // namespace sff::memory
