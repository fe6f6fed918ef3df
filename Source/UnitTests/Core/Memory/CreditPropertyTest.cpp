#include "Core/Memory/BorrowedCredits.h"
#include "Core/Memory/CreditLedger.h"

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

/// Simulates an endpoint and its actual memory use, its owner's ledger, and
/// routers that borrow credits. Messages and reports are delayed, duplicated,
/// reordered and lost.
class SimulatedEndpoint {
public:
  SimulatedEndpoint() {
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
      changeWeights(Entry);
  }

  void step(std::uint64_t RandomBits) {
    m_RandomBits = RandomBits;
    const std::size_t Router = draw(RouterCount);
    const std::size_t Entry = draw(Entries.size());
    switch (draw(20)) {
    case 0:
      m_Now += milliseconds(draw(200));
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
      if (draw(24) == 0)
        changeOwner();
      else
        m_Ledger.onRouterMessage(routerId(Router));
    }
  }

  std::int64_t actualBytes() const {
    std::int64_t Sum = 0;
    for (const Request &Running : m_Running)
      Sum += RequestBytes[Running.m_Entry];
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
      Sum += m_Loaded[Entry] ? WeightBytes[Entry] : 0;
    return Sum;
  }
  const CreditLedger &ledger() const { return m_Ledger; }
  Instant now() const { return m_Now; }
  bool hasStartedSeveral() const { return m_StartedCount > 3; }

private:
  std::size_t draw(std::size_t Bound) {
    const std::size_t Result = m_RandomBits % Bound;
    m_RandomBits /= Bound;
    return Result;
  }
  static IncarnationId routerId(std::size_t Router) {
    return IncarnationId(std::to_string(Router));
  }

  void sendBorrow(std::size_t Router, std::size_t Entry) {
    // One message in four repeats the number of the last loan.
    m_LastLoanNumber += draw(4) != 0;
    const LoanId Loan(std::to_string(Router) + "-" + std::to_string(Entry) +
                      "-" + std::to_string(m_LastLoanNumber));
    const auto Count = static_cast<std::int64_t>(draw(6)) + 1;
    m_Messages.push_back([=, this, SentAt = m_Now] {
      m_Ledger.onRouterMessage(routerId(Router));
      messages::BorrowCreditsReply Reply;
      Reply.m_Outcome = messages::BorrowOutcome::Granted;
      Reply.m_Loan = Loan;
      Reply.m_Endpoint = Endpoint;
      Reply.m_TimeToLive = TimeToLive;
      if (m_Loaded[Entry])
        Reply.m_Count = m_Ledger.lend(Loan, routerId(Router), Entries[Entry],
                                      RequestBytes[Entry], Count, m_Now);
      m_Messages.push_back([=, this] {
        m_RouterCredits[Router].onGranted(Entries[Entry], Reply, SentAt);
      });
    });
  }

  void sendReturns(std::size_t Router) {
    for (const auto &Update : m_RouterCredits[Router].collectLoanUpdates(
             routerId(Router), milliseconds(draw(600)), m_Now))
      m_Messages.push_back([=, this, SentAt = m_Now] {
        m_Ledger.onRouterMessage(routerId(Router));
        if (m_Ledger.returnCredits(Update.m_Message.m_Loan,
                                   Update.m_Message.m_ReturnedTotal, m_Now))
          m_Messages.push_back([=, this] {
            m_RouterCredits[Router].onRenewed(Update.m_Message.m_Loan, SentAt);
          });
      });
  }

  void sendReport() {
    std::vector<RunningRequest> Report;
    for (const Request &Running : m_Running)
      Report.push_back(
          {routerId(Running.m_Router), RequestBytes[Running.m_Entry]});
    m_Messages.push_back([=, this, AskedAt = m_Now, OwnerTerm = m_OwnerTerm] {
      if (OwnerTerm == m_OwnerTerm)
        m_Ledger.onReport(Report, AskedAt);
    });
  }

  void deliver() {
    if (m_Messages.empty())
      return;
    const std::size_t Index = draw(4) ? 0 : draw(m_Messages.size());
    const auto Deliver = m_Messages[Index];
    const std::size_t Outcome = draw(8);
    if (Outcome != 0)
      m_Messages.erase(m_Messages.begin() + static_cast<std::ptrdiff_t>(Index));
    if (Outcome != 1)
      Deliver();
  }

  void start(std::size_t Router, std::size_t Entry) {
    const auto Acquired =
        m_RouterCredits[Router].take(Entries[Entry], Endpoint, m_Now);
    if (!Acquired)
      return;
    m_Running.push_back({Router, Entry, *Acquired});
    ++m_StartedCount;
  }

  void finish() {
    if (m_Running.empty())
      return;
    const std::size_t Index = draw(m_Running.size());
    const Request Finished = m_Running[Index];
    m_Running.erase(m_Running.begin() + static_cast<std::ptrdiff_t>(Index));
    m_RouterCredits[Finished.m_Router].releaseCredit(Finished.m_Credit, m_Now);
  }

  void changeWeights(std::size_t Entry) {
    if (!m_Loaded[Entry]) {
      m_Loaded[Entry] =
          m_Ledger.reserveWeights(Entries[Entry], WeightBytes[Entry]);
    } else if (m_Ledger.canLend(m_Now) &&
               m_Ledger.lentCredits(Entries[Entry]) == 0 && draw(2)) {
      m_Loaded[Entry] = false;
      m_Ledger.releaseWeights(Entries[Entry]);
    }
  }

  void changeOwner() {
    ++m_OwnerTerm;
    m_Ledger = CreditLedger(CapacityBytes, TimeToLive);
    m_Ledger.onTakeover(m_Now);
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
      if (m_Loaded[Entry])
        m_Ledger.adoptWeights(Entries[Entry], WeightBytes[Entry]);
  }

  std::uint64_t m_RandomBits = 0;
  Instant m_Now{std::chrono::hours(1)};
  int m_OwnerTerm = 0;
  int m_StartedCount = 0;
  int m_LastLoanNumber = 0;
  CreditLedger m_Ledger{CapacityBytes, TimeToLive};
  std::array<BorrowedCredits, RouterCount> m_RouterCredits;
  std::array<bool, 2> m_Loaded{};
  std::vector<Request> m_Running;
  std::deque<std::function<void()>> m_Messages;
};

// Guards against handing out the same memory twice, for loans or for weights.
// The reference is the memory that the simulated endpoint actually uses.
RC_GTEST_PROP(CreditPropertyTest, LedgerCountsAllMemoryInUse, ()) {
  const auto Steps = *test::genSteps(800);
  SimulatedEndpoint Simulation;
  for (const std::uint64_t RandomBits : Steps) {
    Simulation.step(RandomBits);
    RC_ASSERT(Simulation.actualBytes() <= CapacityBytes);
    RC_ASSERT(Simulation.ledger().usedBytes() <= CapacityBytes);
    if (Simulation.ledger().canLend(Simulation.now()))
      RC_ASSERT(Simulation.actualBytes() <= Simulation.ledger().usedBytes());
  }
  RC_CLASSIFY(Simulation.hasStartedSeveral(), "more than 3 requests");
}

} // namespace
} // namespace sff::memory
