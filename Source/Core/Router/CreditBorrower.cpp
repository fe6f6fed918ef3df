#include "Router/CreditBorrower.h"

namespace sff::router {

namespace {

constexpr milliseconds ReturnPeriod{200};
constexpr milliseconds AnswerMargin{1000};
constexpr milliseconds ReturnTimeout{1000};
// An owner that answers "loading" at once must not be asked in a tight loop.
constexpr milliseconds LoadingPause{50};
constexpr std::chrono::seconds WarmPeriod{60};
constexpr int MaxEstimateFactor = 3;
constexpr std::chrono::seconds MinLoadWait{5};

Instant now() { return std::chrono::steady_clock::now(); }

} // namespace

CreditBorrower::CreditBorrower(timers::DutyLoop &Loop, ClusterView &View,
                               ControllerPool &Controllers, Options Chosen,
                               Changed OnChange)
    : m_View(View), m_Controllers(Controllers), m_Options(std::move(Chosen)),
      m_OnChange(std::move(OnChange)), m_Timers(Loop.context().get_executor()) {
}

void CreditBorrower::start() {
  m_ReturnTimer = m_Timers.every(
      ReturnPeriod, [this] { sendDue(m_Options.m_IdleLimit, nullptr); });
}

bool CreditBorrower::canAsk(const EntryName &Entry, const EndpointId &Endpoint,
                            Instant Now) const {
  const Standing *Item = find(Entry, Endpoint);
  if (Item && (Item->m_InFlight || Item->m_NotBefore > Now))
    return false;
  return !m_View.ownerAddressOf(Endpoint).empty();
}

const CreditBorrower::Standing *
CreditBorrower::find(const EntryName &Entry, const EndpointId &Endpoint) const {
  const auto It = m_Standings.find({Entry, Endpoint});
  return It == m_Standings.end() ? nullptr : &It->second;
}

void CreditBorrower::borrow(const BorrowDemand &Demand) {
  const Key Where{Demand.m_Entry, Demand.m_Endpoint};
  Standing &Item = m_Standings[Where];
  // A message whose answer was lost is repeated with its loan id, so that the
  // owner does not lend twice.
  if (Item.m_Loan.empty())
    Item.m_Loan = makeId<LoanId>();
  Item.m_InFlight = true;
  Item.m_Asked = Demand.m_Count;
  messages::BorrowCredits Message;
  Message.m_Loan = Item.m_Loan;
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
      .call(Message, m_Options.m_BorrowWait + AnswerMargin,
            [this, Where, SentAt](auto Reply) {
              onReply(Where, SentAt, std::move(Reply));
            });
}

void CreditBorrower::onReply(
    const Key &Where, Instant SentAt,
    std::optional<messages::BorrowCreditsReply> Reply) {
  Standing &Item = m_Standings[Where];
  Item.m_InFlight = false;
  Item.m_Asked = 0;
  if (!Reply) {
    noteRefusal(Item, "the owner does not answer", m_Options.m_OwnerRetry);
  } else if (Reply->m_Outcome == messages::BorrowOutcome::Granted) {
    m_Wallet.onGranted(Where.first, *Reply, SentAt);
    Item.m_Loan = LoanId();
    Item.m_Refused = false;
    Item.m_LoadingSince.reset();
    Item.m_WarmUntil = now() + WarmPeriod;
    Item.m_ReadyAt = now();
  } else if (Reply->m_Outcome == messages::BorrowOutcome::Loading) {
    noteLoading(Item, Reply->m_ReadyIn);
  } else {
    Item.m_Loan = LoanId();
    noteRefusal(Item, Reply->m_Reason, Reply->m_RetryAfter);
  }
  nlohmann::json Fields = {
      {"endpoint", Where.second.str()},
      {"outcome", Reply ? nlohmann::json(Reply->m_Outcome) : "no_answer"},
      {"count", Reply ? Reply->m_Count : 0},
      {"reason", Item.m_Reason},
      {"ready_in_ms", Reply ? Reply->m_ReadyIn.count() : 0}};
  log::entry(log::Category::Memory, "credits.answered", Where.first.str(),
             std::move(Fields));
  m_OnChange(Where.first);
}

void CreditBorrower::noteLoading(Standing &Item, milliseconds ReadyIn) {
  if (!Item.m_LoadingSince) {
    Item.m_LoadingSince = now();
    Item.m_FirstEstimate = ReadyIn;
  }
  // An estimate that never comes nearer would hold requests until shortly
  // before their deadline.
  const Duration Limit =
      std::max<Duration>(Item.m_FirstEstimate * MaxEstimateFactor, MinLoadWait);
  if (now() - *Item.m_LoadingSince > Limit) {
    noteRefusal(Item, "the load makes no progress", m_Options.m_OwnerRetry);
    Item.m_RefusedSince = *Item.m_LoadingSince;
    Item.m_ReadyAt = now();
    return;
  }
  Item.m_Refused = false;
  Item.m_ReadyAt = now() + ReadyIn;
  Item.m_NotBefore = now() + LoadingPause;
}

void CreditBorrower::noteRefusal(Standing &Item, std::string Reason,
                                 milliseconds Pause) {
  if (!Item.m_Refused)
    Item.m_RefusedSince = now();
  Item.m_Refused = true;
  Item.m_Reason = std::move(Reason);
  Item.m_WarmUntil = Instant();
  Item.m_NotBefore = now() + std::max(Pause, LoadingPause);
}

std::optional<memory::Credit> CreditBorrower::take(const EntryName &Entry,
                                                   const EndpointId &Endpoint,
                                                   Instant Now) {
  return m_Wallet.take(Entry, Endpoint, Now);
}

void CreditBorrower::giveBack(const memory::Credit &Used, Instant Now) {
  m_Wallet.giveBack(Used, Now);
}

void CreditBorrower::returnAll(std::function<void()> Done) {
  m_ReturnTimer.reset();
  sendDue(milliseconds(0), std::move(Done));
}

void CreditBorrower::sendDue(milliseconds IdleLimit,
                             std::function<void()> Done) {
  // Destroyed, and so called, with the last answer.
  std::shared_ptr<void> WhenAnswered(nullptr, [Done](void *) {
    if (Done)
      Done();
  });
  for (auto &Due : m_Wallet.collectDue(m_Options.m_Self, IdleLimit, now())) {
    const std::string Owner = m_View.ownerAddressOf(Due.m_Endpoint);
    if (Owner.empty())
      continue;
    const Instant SentAt = now();
    m_Controllers.at(Owner).call(
        Due.m_Message, ReturnTimeout,
        [this, SentAt, Loan = Due.m_Message.m_Loan, WhenAnswered](auto Reply) {
          if (Reply && Reply->m_Done)
            m_Wallet.onRenewed(Loan, SentAt);
        });
  }
}

} // namespace sff::router
