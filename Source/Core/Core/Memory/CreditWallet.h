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

/// The router's loans. A credit is taken only while its loan is live, counted
/// from the sending of the message that created or renewed the loan.
/// Thread safety: none.
class CreditWallet {
public:
  /// Adds a loan that was granted in answer to a message sent at \p SentAt. A
  /// repeated grant has no other effect than a renewal. Precondition: the
  /// router asks with a fresh loan id, and with the same one again only while
  /// it has no answer.
  void onGranted(const EntryName &Entry,
                 const messages::BorrowCreditsReply &Grant, Instant SentAt);
  /// The lender confirmed a return or renewal that was sent at \p SentAt. Call
  /// it only for an acknowledgement that says "done"; the lender denies one for
  /// a loan that has lapsed on its side.
  void onRenewed(const LoanId &Loan, Instant SentAt);

  /// Takes a credit for \p Entry at \p Endpoint, if a live one is free.
  std::optional<Credit> take(const EntryName &Entry, const EndpointId &Endpoint,
                             Instant Now);
  /// Puts a credit back after its request has ended.
  void giveBack(const Credit &Used, Instant Now);

  /// Free live credits of an entry at an endpoint.
  std::int64_t available(const EntryName &Entry, const EndpointId &Endpoint,
                         Instant Now) const;

  /// A message for a lender.
  struct DueReturn {
    EndpointId m_Endpoint;
    messages::ReturnCredits m_Message;
  };
  /// Returns and renewals to send now: free credits that were idle for
  /// \p IdleLimit are returned, loans in use are renewed every third of their
  /// time to live.
  std::vector<DueReturn> collectDue(const IncarnationId &Self,
                                    milliseconds IdleLimit, Instant Now);

private:
  struct Loan {
    EntryName m_Entry;
    EndpointId m_Endpoint;
    std::string m_Address;
    std::int64_t m_Count = 0;
    std::int64_t m_InUse = 0;
    std::int64_t m_Returned = 0;
    milliseconds m_TimeToLive{0};
    Instant m_LiveFrom;
    Instant m_LastUse;
    Instant m_LastMessage;
    /// The lender has confirmed the return of all credits.
    bool m_IsSettled = false;

    bool hasEnded() const { return m_Returned == m_Count; }
    std::int64_t freeCount() const { return m_Count - m_Returned - m_InUse; }
    bool isLive(Instant Now) const { return Now - m_LiveFrom < m_TimeToLive; }
  };
  std::map<LoanId, Loan> m_Loans;
};

} // namespace sff::memory
