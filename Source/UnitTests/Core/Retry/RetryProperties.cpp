#include "Core/Retry/CrashQuarantine.h"
#include "Core/Retry/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sff::retry {
namespace {

using catalogue::TrafficClass;

// Guards against rounding errors and mixed-up traffic classes in the budget: an
// integer count of tenths of a retry must give the same results for any order
// of events.
RC_GTEST_PROP(RetryProperties, BudgetMatchesTheReferenceCount, ()) {
  const int Burst = *rc::gen::inRange(0, 5);
  RetryBudget Budget(0.1, Burst);
  int Tenths[2] = {std::min(1, Burst) * 10, std::min(1, Burst) * 10};
  const int Steps = *rc::gen::inRange(0, 300);
  for (int Step = 0; Step < Steps; ++Step) {
    const auto Class =
        *rc::gen::element(TrafficClass::Interactive, TrafficClass::Batch);
    int &Saved = Tenths[static_cast<int>(Class)];
    if (*rc::gen::inRange(0, 8) > 0) {
      Budget.onRequest(Class);
      Saved = std::min(Saved + 1, Burst * 10);
      continue;
    }
    const bool Allowed = Saved >= 10;
    RC_ASSERT(Budget.tryRetry(Class) == Allowed);
    Saved -= Allowed ? 10 : 0;
  }
}

struct Event {
  int m_Kind;
  std::int64_t m_Total;
  Instant m_At;
};

/// Replays the complete history of one fingerprint.
QuarantineVerdict referenceVerdict(const std::vector<Event> &History,
                                   Instant Now, milliseconds Period) {
  std::int64_t Crashes = 0;
  Instant Latest;
  for (const Event &Action : History) {
    if (Action.m_At - Latest >= Period || Action.m_Kind == 2)
      Crashes = 0;
    if (Action.m_Kind == 2)
      continue;
    Crashes =
        Action.m_Kind == 0 ? Crashes + 1 : std::max(Crashes, Action.m_Total);
    Latest = Action.m_At;
  }
  if (Crashes == 0 || Now - Latest >= Period)
    return QuarantineVerdict::Normal;
  return Crashes == 1 ? QuarantineVerdict::Isolate : QuarantineVerdict::Reject;
}

// Guards against verdicts that depend on when other fingerprints were queried,
// on repeated or late notices, or on expired history.
RC_GTEST_PROP(RetryProperties, QuarantineMatchesTheReferenceReplay, ()) {
  constexpr milliseconds Period{1000};
  CrashQuarantine Quarantine(100, Period);
  std::map<std::string, std::vector<Event>> Histories;
  Instant Now{std::chrono::hours(1)};
  const int Steps = *rc::gen::inRange(0, 80);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += milliseconds(*rc::gen::element(0, 1, 300, 999, 1000));
    const std::string Name(1, *rc::gen::inRange('a', 'd'));
    const Event Action{*rc::gen::inRange(0, 4), *rc::gen::inRange(1, 4), Now};
    switch (Action.m_Kind) {
    case 0:
      Quarantine.onCrash(Name, Now);
      break;
    case 1:
      Quarantine.merge(Name, Action.m_Total, Now);
      Quarantine.merge(Name, Action.m_Total, Now);
      break;
    case 2:
      Quarantine.onSuccess(Name);
      break;
    default:
      RC_ASSERT(Quarantine.verdict(Name, Now) ==
                referenceVerdict(Histories[Name], Now, Period));
      continue;
    }
    Histories[Name].push_back(Action);
  }
}

} // namespace
} // namespace sff::retry
