#include "Core/Memory/CreditLedger.h"
#include "Core/Memory/CreditWallet.h"

#include "StepGenerator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <functional>

namespace sff::memory {
namespace {

constexpr std::int64_t CapacityBytes = 100;
constexpr milliseconds TimeToLive{1000};
constexpr std::size_t RouterCount = 2;
const std::vector<EntryName> Entries = {EntryName("m"), EntryName("n")};
const std::vector<std::int64_t> RequestBytes = {7, 11};
const std::vector<std::int64_t> WeightBytes = {15, 20};
const EndpointId Endpoint("e");

struct Request {
  std::size_t m_Router = 0;
  std::size_t m_Entry = 0;
  Credit m_Credit;
};

/// An endpoint with its true memory use, the ledger of its owner, and routers
/// with wallets. Messages and reports are delayed, repeated, swapped and lost.
class Cluster {
public:
  Cluster() {
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
      changeWeights(Entry);
  }

  void step(std::uint64_t Bits) {
    m_Bits = Bits;
    const std::size_t Router = take(RouterCount);
    const std::size_t Entry = take(Entries.size());
    switch (take(20)) {
    case 0:
      m_Now += milliseconds(take(200));
      break;
    case 1:
      sendBorrow(Router, Entry);
      break;
    case 2:
    case 3:
    case 4:
    case 5:
    case 14:
    case 15:
    case 16:
    case 17:
      deliver();
      break;
    case 6:
    case 7:
    case 18:
    case 19:
      start(Router, Entry);
      break;
    case 8:
      finish();
      break;
    case 9:
      sendReturns(Router);
      break;
    case 10:
      m_Ledger.expire(m_Now);
      break;
    case 11:
      sendReport();
      break;
    case 12:
      changeWeights(Entry);
      break;
    default:
      if (take(24) == 0)
        takeOver();
      else
        m_Ledger.onRouterSeen(idOf(Router));
    }
  }

  std::int64_t trueBytes() const {
    std::int64_t Sum = 0;
    for (const Request &Running : m_Running)
      Sum += RequestBytes[Running.m_Entry];
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
      Sum += m_Loaded[Entry] ? WeightBytes[Entry] : 0;
    return Sum;
  }
  const CreditLedger &ledger() const { return m_Ledger; }
  Instant now() const { return m_Now; }
  bool hasRun() const { return m_Started > 3; }

private:
  std::size_t take(std::size_t Bound) {
    const std::size_t Result = m_Bits % Bound;
    m_Bits /= Bound;
    return Result;
  }
  static IncarnationId idOf(std::size_t Router) {
    return IncarnationId(std::to_string(Router));
  }

  void sendBorrow(std::size_t Router, std::size_t Entry) {
    // Some messages repeat the last loan.
    m_LastLoan += take(4) != 0;
    const LoanId Loan(std::to_string(Router) + "-" + std::to_string(Entry) +
                      "-" + std::to_string(m_LastLoan));
    const auto Count = static_cast<std::int64_t>(take(6)) + 1;
    m_Messages.push_back([=, this, SentAt = m_Now] {
      m_Ledger.onRouterSeen(idOf(Router));
      messages::BorrowCreditsReply Reply;
      Reply.m_Outcome = messages::BorrowOutcome::Granted;
      Reply.m_Loan = Loan;
      Reply.m_Endpoint = Endpoint;
      Reply.m_TimeToLive = TimeToLive;
      if (m_Loaded[Entry])
        Reply.m_Count = m_Ledger.lend(Loan, idOf(Router), Entries[Entry],
                                      RequestBytes[Entry], Count, m_Now);
      m_Messages.push_back([=, this] {
        m_Wallets[Router].onGranted(Entries[Entry], Reply, SentAt);
      });
    });
  }

  void sendReturns(std::size_t Router) {
    for (const auto &Due : m_Wallets[Router].collectDue(
             idOf(Router), milliseconds(take(600)), m_Now))
      m_Messages.push_back([=, this, SentAt = m_Now] {
        m_Ledger.onRouterSeen(idOf(Router));
        if (m_Ledger.returnCredits(Due.m_Message.m_Loan,
                                   Due.m_Message.m_ReturnedTotal, m_Now))
          m_Messages.push_back([=, this] {
            m_Wallets[Router].onRenewed(Due.m_Message.m_Loan, SentAt);
          });
      });
  }

  void sendReport() {
    std::vector<RunningRequest> Report;
    for (const Request &Running : m_Running)
      Report.push_back({idOf(Running.m_Router), RequestBytes[Running.m_Entry]});
    m_Messages.push_back([=, this, AskedAt = m_Now, Term = m_Term] {
      if (Term == m_Term)
        m_Ledger.onReport(Report, AskedAt);
    });
  }

  void deliver() {
    if (m_Messages.empty())
      return;
    const std::size_t Index = take(4) ? 0 : take(m_Messages.size());
    const auto Deliver = m_Messages[Index];
    const std::size_t Fate = take(8);
    if (Fate != 0)
      m_Messages.erase(m_Messages.begin() + static_cast<std::ptrdiff_t>(Index));
    if (Fate != 1)
      Deliver();
  }

  void start(std::size_t Router, std::size_t Entry) {
    const auto Used = m_Wallets[Router].take(Entries[Entry], Endpoint, m_Now);
    if (!Used)
      return;
    m_Running.push_back({Router, Entry, *Used});
    ++m_Started;
  }

  void finish() {
    if (m_Running.empty())
      return;
    const std::size_t Index = take(m_Running.size());
    const Request Ended = m_Running[Index];
    m_Running.erase(m_Running.begin() + static_cast<std::ptrdiff_t>(Index));
    m_Wallets[Ended.m_Router].giveBack(Ended.m_Credit, m_Now);
  }

  void changeWeights(std::size_t Entry) {
    if (!m_Loaded[Entry]) {
      m_Loaded[Entry] =
          m_Ledger.reserveWeights(Entries[Entry], WeightBytes[Entry]);
    } else if (m_Ledger.mayLend(m_Now) &&
               m_Ledger.lentCount(Entries[Entry]) == 0 && take(2)) {
      m_Loaded[Entry] = false;
      m_Ledger.releaseWeights(Entries[Entry]);
    }
  }

  void takeOver() {
    ++m_Term;
    m_Ledger = CreditLedger(CapacityBytes, TimeToLive);
    m_Ledger.onTakeover(m_Now);
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
      if (m_Loaded[Entry])
        m_Ledger.adoptWeights(Entries[Entry], WeightBytes[Entry]);
  }

  std::uint64_t m_Bits = 0;
  Instant m_Now{std::chrono::hours(1)};
  int m_Term = 0;
  int m_Started = 0;
  int m_LastLoan = 0;
  CreditLedger m_Ledger{CapacityBytes, TimeToLive};
  std::array<CreditWallet, RouterCount> m_Wallets;
  std::array<bool, 2> m_Loaded{};
  std::vector<Request> m_Running;
  std::deque<std::function<void()>> m_Messages;
};

// Guards against memory that is lent or loaded twice. The naive account is the
// endpoint itself, which counts what runs.
RC_GTEST_PROP(CreditPropertyTest, LedgerCoversWhatRuns, ()) {
  const auto Steps = *test::genSteps(800);
  Cluster All;
  for (const std::uint64_t Bits : Steps) {
    All.step(Bits);
    RC_ASSERT(All.trueBytes() <= CapacityBytes);
    RC_ASSERT(All.ledger().usedBytes() <= CapacityBytes);
    if (All.ledger().mayLend(All.now()))
      RC_ASSERT(All.trueBytes() <= All.ledger().usedBytes());
  }
  RC_CLASSIFY(All.hasRun(), "more than 3 requests");
}

} // namespace
} // namespace sff::memory
