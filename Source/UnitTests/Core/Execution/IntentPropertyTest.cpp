#include "Core/Execution/IntentTable.h"

#include "StepGenerator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace sff::execution {
namespace {

const std::vector<std::string> Keys = {"k", "l"};
constexpr std::size_t AttemptCount = 4;
constexpr std::size_t RouterCount = 2;

std::string keyOf(const IntentRecord &Value) {
  return std::visit([](const auto &Record) { return Record.m_KeyHash; }, Value);
}
AttemptId attemptOf(const IntentRecord &Value) {
  return std::visit([](const auto &Record) { return Record.m_Attempt; }, Value);
}

/// Reference implementation that derives each verdict from the list of all
/// records.
class ReferenceIntents {
public:
  ReferenceIntents(const std::vector<IntentRecord> &Log, Offset Retention)
      : m_Log(Log), m_Retention(Retention) {}

  AttemptState stateOf(const std::string &Key, const AttemptId &Attempt) const {
    std::size_t Index = retentionStart(Key, m_Log.size());
    for (; Index < m_Log.size(); ++Index) {
      if (keyOf(m_Log[Index]) != Key || attemptOf(m_Log[Index]) != Attempt ||
          std::holds_alternative<IntentDone>(m_Log[Index]))
        continue;
      if (std::holds_alternative<IntentVoid>(m_Log[Index]))
        return AttemptState::Voided;
      if (!isValid(Index))
        return AttemptState::Lost;
      return isVoided(Index, m_Log.size()) ? AttemptState::Voided
                                           : AttemptState::Valid;
    }
    return AttemptState::Pending;
  }

private:
  /// Returns the index of the record from which the key is retained after
  /// \p End records were read, or \p End.
  std::size_t retentionStart(const std::string &Key, std::size_t End) const {
    std::size_t Start = End;
    for (std::size_t Index = 0; Index < End; ++Index) {
      if (keyOf(m_Log[Index]) != Key)
        continue;
      const bool IsOver = Start < End && Index - Start > m_Retention;
      if ((Start == End || IsOver) &&
          !std::holds_alternative<IntentDone>(m_Log[Index]))
        Start = Index;
      else if (IsOver)
        Start = End;
    }
    return Start < End && End - 1 - Start > m_Retention ? End : Start;
  }

  /// Returns true if this is the first intent of its attempt, the attempt has
  /// no earlier void, and no other attempt of the key is valid and not voided.
  bool isValid(std::size_t Index) const {
    const std::string Key = keyOf(m_Log[Index]);
    for (std::size_t Other = retentionStart(Key, Index + 1); Other < Index;
         ++Other) {
      if (keyOf(m_Log[Other]) != Key ||
          std::holds_alternative<IntentDone>(m_Log[Other]))
        continue;
      if (attemptOf(m_Log[Other]) == attemptOf(m_Log[Index]))
        return false;
      if (std::holds_alternative<Intent>(m_Log[Other]) && isValid(Other) &&
          !isVoided(Other, Index))
        return false;
    }
    return true;
  }

  /// Returns true if the attempt was voided between the two indexes and before
  /// it was recorded as executed.
  bool isVoided(std::size_t Index, std::size_t End) const {
    for (std::size_t Later = Index + 1; Later < End; ++Later) {
      if (keyOf(m_Log[Later]) != keyOf(m_Log[Index]) ||
          attemptOf(m_Log[Later]) != attemptOf(m_Log[Index]))
        continue;
      if (std::holds_alternative<IntentDone>(m_Log[Later]))
        return false;
      if (std::holds_alternative<IntentVoid>(m_Log[Later]))
        return true;
    }
    return false;
  }

  const std::vector<IntentRecord> &m_Log;
  Offset m_Retention;
};

/// A router with its own copy of the table, which lags behind the log.
struct Router {
  IntentTable m_Table;
  std::set<AttemptId> m_Abandoned;
};

struct Cluster {
  explicit Cluster(Offset Retention)
      : m_Routers(RouterCount, Router{IntentTable(Retention), {}}) {}

  void step(std::uint64_t Bits) {
    const auto Draw = [&](std::size_t Bound) {
      const std::size_t Result = Bits % Bound;
      Bits /= Bound;
      return Result;
    };
    const std::string &Key = Keys[Draw(Keys.size())];
    const std::size_t Number = Draw(AttemptCount);
    const AttemptId Attempt(Key + std::to_string(Number));
    Router &Author = m_Routers[Number % RouterCount];
    switch (Draw(6)) {
    case 0:
    case 1:
      m_InFlight.push_back(Intent{Key, Attempt, {}, "", ""});
      break;
    case 2:
      if (m_Dispatched.contains(Attempt))
        m_InFlight.push_back(IntentDone{Key, Attempt});
      else if (Author.m_Abandoned.insert(Attempt).second)
        m_InFlight.push_back(IntentVoid{Key, Attempt});
      break;
    case 3:
      readAndDispatch(Author, Key, Attempt, Draw(4));
      break;
    default:
      deliver(Draw(64), Draw(4) != 0);
    }
  }

  void deliver(std::size_t Choice, bool IsRemoved) {
    if (m_InFlight.empty())
      return;
    const auto It = m_InFlight.begin() +
                    static_cast<std::ptrdiff_t>(Choice % m_InFlight.size());
    m_Log.push_back(*It);
    if (IsRemoved)
      m_InFlight.erase(It);
  }

  void readAndDispatch(Router &Author, const std::string &Key,
                       const AttemptId &Attempt, std::size_t Lag) {
    read(Author.m_Table, Lag);
    if (Author.m_Table.stateOf(Key, Attempt) == AttemptState::Valid &&
        !Author.m_Abandoned.contains(Attempt))
      m_Dispatched.insert(Attempt);
  }

  void read(IntentTable &Table, std::size_t Lag) const {
    while (Table.appliedOffset() + Lag < m_Log.size())
      Table.apply(Table.appliedOffset() + 1, m_Log[Table.appliedOffset()]);
  }

  std::vector<IntentRecord> m_Log;
  std::vector<IntentRecord> m_InFlight;
  std::set<AttemptId> m_Dispatched;
  std::vector<Router> m_Routers;
};

// Guards against a verdict that depends on anything but the order of the log,
// and against executing a key twice when records are late, repeated or
// shuffled.
RC_GTEST_PROP(IntentPropertyTest, MatchesTheReferenceDefinition, ()) {
  constexpr Offset Unlimited = 100000;
  const Offset Retention = *rc::gen::element<Offset>(3, 8, Unlimited);
  const auto Steps = *test::genSteps(250);
  Cluster Simulation(Retention);
  IntentTable Table(Retention);
  for (const std::uint64_t Bits : Steps) {
    Simulation.step(Bits);
    Simulation.read(Table, 0);
    const ReferenceIntents Reference(Simulation.m_Log, Retention);
    for (const std::string &Key : Keys) {
      int Valid = 0;
      for (std::size_t Number = 0; Number < AttemptCount; ++Number) {
        const AttemptId Attempt(Key + std::to_string(Number));
        const auto Verdict = Table.stateOf(Key, Attempt);
        RC_ASSERT(Verdict == Reference.stateOf(Key, Attempt));
        Valid += Verdict == AttemptState::Valid;
      }
      RC_ASSERT(Valid == (Table.find(Key) ? 1 : 0));
      if (Retention == Unlimited)
        RC_ASSERT(
            std::ranges::count_if(Simulation.m_Dispatched, [&](const auto &Id) {
              return Id.str().starts_with(Key);
            }) <= 1);
    }
  }
  RC_CLASSIFY(!Simulation.m_Dispatched.empty(), "dispatched");
}

} // namespace
} // namespace sff::execution
