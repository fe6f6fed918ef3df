#pragma once

#include "Router/ClusterView.h"
#include "Router/PlacementRequest.h"

namespace sff::router {

/// Parameters of one borrow request to the owner of an endpoint.
struct BorrowDemand {
  EntryName m_Entry;
  EndpointId m_Endpoint;
  std::int64_t m_Count = 1;
  std::int64_t m_Waiting = 0;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  milliseconds m_Deadline{0};
};

/// Borrows, renews and returns credits at the owners of the endpoints.
/// Thread safety: all calls and callbacks on the loop's thread.
class CreditBorrower {
public:
  struct Options {
    IncarnationId m_Self;
    HostId m_Host;
    milliseconds m_BorrowWait{1000};
    milliseconds m_OwnerRetry{1000};
    milliseconds m_IdleLimit{2000};
  };
  /// Borrowing state of one entry at one endpoint.
  struct BorrowState {
    bool m_InFlight = false;
    /// Credits asked for by the request in flight.
    std::int64_t m_RequestedCredits = 0;
    LoanId m_Loan;          ///< Loan id of a request without a final reply.
    bool m_Refused = false; ///< Refused, or no reply, until m_NotBefore.
    Instant m_RefusedSince; ///< First of the consecutive refusals.
    Instant m_NotBefore;    ///< Earliest time of the next request.
    Instant m_WarmUntil;    ///< Recent grant: the entry counts as loaded.
    Instant m_ReadyAt;      ///< Expected end of the load.
    /// Time of the first of the consecutive "loading" replies, and the loading
    /// time that it estimated.
    std::optional<Instant> m_LoadingSince;
    milliseconds m_FirstEstimate{0};
    std::string m_Reason;
  };

  /// Called after each reply or timeout, when credits may have become available
  /// or were refused.
  using Changed = std::function<void(const EntryName &)>;

  CreditBorrower(timers::EventLoop &Loop, ClusterView &View,
                 PeerConnectionPool &Controllers, Options Opts,
                 Changed OnChange);

  void start();

  /// Sends a borrow request to the owner. Precondition: canBorrow().
  void borrow(const BorrowDemand &Demand);
  /// True if the owner is known and a borrow request may be sent now.
  bool canBorrow(const EntryName &Entry, const EndpointId &Endpoint,
                 Instant Now) const;
  const BorrowState *find(const EntryName &Entry,
                          const EndpointId &Endpoint) const;

  std::optional<memory::Credit> take(const EntryName &Entry,
                                     const EndpointId &Endpoint, Instant Now);
  void releaseCredit(const memory::Credit &Returned, Instant Now);
  std::int64_t available(const EntryName &Entry, const EndpointId &Endpoint,
                         Instant Now) const {
    return m_BorrowedCredits.available(Entry, Endpoint, Now);
  }

  /// Returns all unused credits. Calls \p Done once all owners have replied or
  /// timed out.
  void returnAll(std::function<void()> Done);

private:
  using Key = std::pair<EntryName, EndpointId>;

  void onReply(const Key &BorrowKey, Instant SentAt,
               std::optional<messages::BorrowCreditsReply> Reply);
  void recordLoading(BorrowState &State, milliseconds ReadyIn);
  void recordRefusal(BorrowState &State, std::string Reason,
                     milliseconds Pause);
  void sendReturnsAndRenewals(milliseconds IdleLimit,
                              std::function<void()> Done);

  ClusterView &m_View;
  PeerConnectionPool &m_Controllers;
  Options m_Options;
  Changed m_OnChange;
  timers::TimerService m_Timers;
  timers::TimerHandle m_ReturnTimer;
  memory::BorrowedCredits m_BorrowedCredits;
  std::map<Key, BorrowState> m_BorrowStates;
};

} // namespace sff::router
