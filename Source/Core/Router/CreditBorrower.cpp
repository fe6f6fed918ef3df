#include "Router/CreditBorrower.h"

#include "Common/Time/Clock.h"

namespace sff::router {

namespace {

constexpr milliseconds ReturnPeriod{200};
constexpr milliseconds ReplyTimeoutMargin{1000};
constexpr milliseconds ReturnTimeout{1000};
// Keeps an owner that replies "loading" immediately from being polled in a
// tight loop.
constexpr milliseconds MinBorrowInterval{50};
constexpr std::chrono::seconds WarmPeriod{60};
constexpr int MaxEstimateFactor = 3;
constexpr std::chrono::seconds MinLoadWait{5};

} // namespace

CreditBorrower::CreditBorrower(timers::EventLoop &Loop, ClusterView &View,
                               PeerConnectionPool &Controllers, Options Opts,
                               Changed OnChange)
    : m_View(View), m_Controllers(Controllers), m_Options(std::move(Opts)),
      m_OnChange(std::move(OnChange)), m_Timers(Loop.context().get_executor()) {
}

void CreditBorrower::start() {
  m_ReturnTimer = m_Timers.every(ReturnPeriod, [this] {
    sendReturnsAndRenewals(m_Options.m_IdleLimit, nullptr);
  });
}

bool CreditBorrower::canBorrow(const EntryName &Entry,
                               const EndpointId &Endpoint, Instant Now) const {
  const BorrowState *State = find(Entry, Endpoint);
  if (State && (State->m_InFlight || State->m_NotBefore > Now))
    return false;
  return !m_View.ownerAddressOf(Endpoint).empty();
}

const CreditBorrower::BorrowState *
CreditBorrower::find(const EntryName &Entry, const EndpointId &Endpoint) const {
  const auto It = m_BorrowStates.find({Entry, Endpoint});
  return It == m_BorrowStates.end() ? nullptr : &It->second;
}

void CreditBorrower::borrow(const BorrowDemand &Demand) {
  const Key BorrowKey{Demand.m_Entry, Demand.m_Endpoint};
  BorrowState &State = m_BorrowStates[BorrowKey];
  // A request whose reply was lost is retried with the same loan id, so that
  // the owner does not grant the loan twice.
  if (State.m_Loan.empty())
    State.m_Loan = makeId<LoanId>();
  State.m_InFlight = true;
  State.m_RequestedCredits = Demand.m_Count;
  messages::BorrowCredits Message;
  Message.m_Loan = State.m_Loan;
  Message.m_Router = m_Options.m_Self;
  Message.m_RouterHost = m_Options.m_Host;
  Message.m_Entry = Demand.m_Entry;
  Message.m_Endpoint = Demand.m_Endpoint;
  Message.m_Count = Demand.m_Count;
  Message.m_Waiting = Demand.m_Waiting;
  Message.m_Class = Demand.m_Class;
  Message.m_Deadline = Demand.m_Deadline;
  Message.m_Wait = m_Options.m_BorrowWait;
  const Instant SentAt = now();
  m_Controllers.at(m_View.ownerAddressOf(Demand.m_Endpoint))
      .call(Message, m_Options.m_BorrowWait + ReplyTimeoutMargin,
            [this, BorrowKey, SentAt](auto Reply) {
              onReply(BorrowKey, SentAt, std::move(Reply));
            });
}

void CreditBorrower::onReply(
    const Key &BorrowKey, Instant SentAt,
    std::optional<messages::BorrowCreditsReply> Reply) {
  BorrowState &State = m_BorrowStates[BorrowKey];
  State.m_InFlight = false;
  State.m_RequestedCredits = 0;
  if (!Reply) {
    recordRefusal(State, "the owner does not answer", m_Options.m_OwnerRetry);
  } else if (Reply->m_Outcome == messages::BorrowOutcome::Granted) {
    m_BorrowedCredits.onGranted(BorrowKey.first, *Reply, SentAt);
    State.m_Loan = LoanId();
    State.m_Refused = false;
    State.m_LoadingSince.reset();
    State.m_WarmUntil = now() + WarmPeriod;
    State.m_ReadyAt = now();
  } else if (Reply->m_Outcome == messages::BorrowOutcome::Loading) {
    recordLoading(State, Reply->m_ReadyIn);
  } else {
    State.m_Loan = LoanId();
    recordRefusal(State, Reply->m_Reason, Reply->m_RetryAfter);
  }
  nlohmann::json Fields = {
      {"endpoint", BorrowKey.second.str()},
      {"outcome", Reply ? nlohmann::json(Reply->m_Outcome) : "no_answer"},
      {"count", Reply ? Reply->m_Count : 0},
      {"reason", State.m_Reason},
      {"ready_in_ms", Reply ? Reply->m_ReadyIn.count() : 0}};
  log::entry(log::Category::Memory, "credits.answered", BorrowKey.first.str(),
             std::move(Fields));
  m_OnChange(BorrowKey.first);
}

void CreditBorrower::recordLoading(BorrowState &State, milliseconds ReadyIn) {
  if (!State.m_LoadingSince) {
    State.m_LoadingSince = now();
    State.m_FirstEstimate = ReadyIn;
  }
  // Give up on a load whose estimate never shrinks. Waiting for it would hold
  // requests until shortly before their deadlines.
  const Duration Limit = std::max<Duration>(
      State.m_FirstEstimate * MaxEstimateFactor, MinLoadWait);
  if (now() - *State.m_LoadingSince > Limit) {
    recordRefusal(State, "the load makes no progress", m_Options.m_OwnerRetry);
    State.m_RefusedSince = *State.m_LoadingSince;
    State.m_ReadyAt = now();
    return;
  }
  State.m_Refused = false;
  State.m_ReadyAt = now() + ReadyIn;
  State.m_NotBefore = now() + MinBorrowInterval;
}

void CreditBorrower::recordRefusal(BorrowState &State, std::string Reason,
                                   milliseconds Pause) {
  if (!State.m_Refused)
    State.m_RefusedSince = now();
  State.m_Refused = true;
  State.m_Reason = std::move(Reason);
  State.m_WarmUntil = Instant();
  State.m_NotBefore = now() + std::max(Pause, MinBorrowInterval);
}

std::optional<memory::Credit> CreditBorrower::take(const EntryName &Entry,
                                                   const EndpointId &Endpoint,
                                                   Instant Now) {
  return m_BorrowedCredits.take(Entry, Endpoint, Now);
}

void CreditBorrower::releaseCredit(const memory::Credit &Returned,
                                   Instant Now) {
  m_BorrowedCredits.releaseCredit(Returned, Now);
}

void CreditBorrower::returnAll(std::function<void()> Done) {
  m_ReturnTimer.reset();
  sendReturnsAndRenewals(milliseconds(0), std::move(Done));
}

void CreditBorrower::sendReturnsAndRenewals(milliseconds IdleLimit,
                                            std::function<void()> Done) {
  // The deleter runs when the last reply callback has released its reference.
  std::shared_ptr<void> OnLastReply(nullptr, [Done](void *) {
    if (Done)
      Done();
  });
  for (auto &Due : m_BorrowedCredits.collectLoanUpdates(m_Options.m_Self,
                                                        IdleLimit, now())) {
    const std::string Owner = m_View.ownerAddressOf(Due.m_Endpoint);
    if (Owner.empty())
      continue;
    const Instant SentAt = now();
    m_Controllers.at(Owner).call(
        Due.m_Message, ReturnTimeout,
        [this, SentAt, Loan = Due.m_Message.m_Loan, OnLastReply](auto Reply) {
          if (Reply && Reply->m_Done)
            m_BorrowedCredits.onRenewed(Loan, SentAt);
        });
  }
}

} // namespace sff::router
