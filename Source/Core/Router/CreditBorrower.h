#pragma once

#include "Router/ClusterView.h"
#include "Router/PlacementRequest.h"

namespace sff::router {

/// What one message to an owner asks for.
struct BorrowDemand {
  EntryName m_Entry;
  EndpointId m_Endpoint;
  std::int64_t m_Count = 1;
  std::int64_t m_Waiting = 0;
  catalogue::TrafficClass m_Class = catalogue::TrafficClass::Batch;
  milliseconds m_Deadline{0};
};

/// Borrows, renews and returns credits with the owners of the endpoints.
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
  /// State of one entry at one endpoint.
  struct Standing {
    bool m_InFlight = false;
    std::int64_t m_Asked = 0; ///< Credits asked for by the open message.
    LoanId m_Loan;            ///< Of a message whose answer is not known.
    bool m_Refused = false;   ///< Refused, or no answer, until m_NotBefore.
    Instant m_RefusedSince;   ///< First of the refusals in a row.
    Instant m_NotBefore;      ///< Earliest time of the next message.
    Instant m_WarmUntil;      ///< A credit was granted not long ago.
    Instant m_ReadyAt;        ///< Expected end of a load.
    /// First of the "loading" answers in a row, and what it promised.
    std::optional<Instant> m_LoadingSince;
    milliseconds m_FirstEstimate{0};
    std::string m_Reason;
  };

  /// Called when credits may have become available or were refused.
  using Changed = std::function<void(const EntryName &)>;

  CreditBorrower(timers::DutyLoop &Loop, ClusterView &View,
                 ControllerPool &Controllers, Options Chosen, Changed OnChange);

  void start();

  /// Asks the owner. Precondition: canAsk().
  void borrow(const BorrowDemand &Demand);
  /// True when a message may be sent now.
  bool canAsk(const EntryName &Entry, const EndpointId &Endpoint,
              Instant Now) const;
  const Standing *find(const EntryName &Entry,
                       const EndpointId &Endpoint) const;

  std::optional<memory::Credit> take(const EntryName &Entry,
                                     const EndpointId &Endpoint, Instant Now);
  void giveBack(const memory::Credit &Used, Instant Now);
  std::int64_t available(const EntryName &Entry, const EndpointId &Endpoint,
                         Instant Now) const {
    return m_Wallet.available(Entry, Endpoint, Now);
  }

  /// Returns all unused credits and calls \p Done once the owners have
  /// answered or did not answer in time.
  void returnAll(std::function<void()> Done);

private:
  using Key = std::pair<EntryName, EndpointId>;

  void onReply(const Key &Where, Instant SentAt,
               std::optional<messages::BorrowCreditsReply> Reply);
  void noteLoading(Standing &Item, milliseconds ReadyIn);
  void noteRefusal(Standing &Item, std::string Reason, milliseconds Pause);
  void sendDue(milliseconds IdleLimit, std::function<void()> Done);

  ClusterView &m_View;
  ControllerPool &m_Controllers;
  Options m_Options;
  Changed m_OnChange;
  timers::TimerService m_Timers;
  timers::Subscription m_ReturnTimer;
  memory::CreditWallet m_Wallet;
  std::map<Key, Standing> m_Standings;
};

} // namespace sff::router
