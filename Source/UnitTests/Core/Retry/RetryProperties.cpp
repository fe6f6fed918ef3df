#include "Core/Retry/CrashQuarantine.h"
#include "Core/Retry/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <set>

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

enum class EventKind { Crash, Proof, Success };

struct Event {
  EventKind m_Kind;
  CrashReport m_Report; ///< For a proof, only its crash is used.
  Instant m_ProcessedAt;
};

/// Replays the complete history of one fingerprint.
QuarantineVerdict referenceVerdict(const std::vector<Event> &History,
                                   Instant Now, milliseconds Period) {
  const milliseconds MaxAge = 32 * Period;
  std::map<EndpointCrash, Instant> Known;
  std::map<EndpointCrash, std::set<RequestId>> Runs;
  std::set<EndpointCrash> Refuted;
  for (const Event &Action : History) {
    const auto IsForgotten = [&](const auto &Entry) {
      const bool Old = Action.m_ProcessedAt - Entry.second >= MaxAge;
      if (Old) {
        Refuted.erase(Entry.first);
        Runs.erase(Entry.first);
      }
      return Old;
    };
    std::erase_if(Known, IsForgotten);
    if (Action.m_Kind == EventKind::Success)
      for (const auto &[Crash, At] : Known)
        Refuted.insert(Crash);
    else if (Action.m_Kind == EventKind::Proof) {
      Known.emplace(Action.m_Report.m_Crash, Action.m_ProcessedAt);
      Refuted.insert(Action.m_Report.m_Crash);
    } else if (Action.m_ProcessedAt - Action.m_Report.m_At < MaxAge) {
      Known.emplace(Action.m_Report.m_Crash, Action.m_Report.m_At);
      Runs[Action.m_Report.m_Crash].insert(Action.m_Report.m_Run);
    }
  }
  std::size_t Crashes = 0;
  std::size_t EndedRuns = 0;
  Instant Last;
  for (const auto &[Crash, At] : Known) {
    if (Refuted.contains(Crash) || Now - At >= MaxAge)
      continue;
    ++Crashes;
    EndedRuns += Runs[Crash].size();
    Last = std::max(Last, At);
  }
  constexpr int PeriodsByCrashes[] = {0, 1, 1, 2, 4, 8, 16};
  const int Periods = PeriodsByCrashes[std::min<std::size_t>(Crashes, 6)];
  if (Crashes >= 2)
    return Now - Last < Periods * Period ? QuarantineVerdict::Reject
                                         : QuarantineVerdict::Isolate;
  if (Crashes == 0 || Now - Last >= Period)
    return QuarantineVerdict::Normal;
  return EndedRuns >= 3 ? QuarantineVerdict::Reject
                        : QuarantineVerdict::Isolate;
}

CrashReport arbitraryReport(const std::string &Name, Instant Now) {
  const EndpointId Endpoint(std::string(1, *rc::gen::inRange('x', '{')));
  const IncarnationId Incarnation(std::to_string(*rc::gen::inRange(0, 2)));
  const milliseconds Age(*rc::gen::element(0, 0, 300, 999, 1000, 40000));
  const RequestId Run(std::to_string(*rc::gen::inRange(0, 4)));
  return {Name, {Endpoint, Incarnation}, Now - Age, Run};
}

// Guards against verdicts that depend on when other fingerprints were queried,
// on repeated or late reports, or on expired history.
RC_GTEST_PROP(RetryProperties, QuarantineMatchesTheReferenceReplay, ()) {
  constexpr milliseconds Period{1000};
  CrashQuarantine Quarantine(100, Period);
  std::map<std::string, std::vector<Event>> Histories;
  Instant Now{std::chrono::hours(1)};
  const int Steps = *rc::gen::inRange(0, 80);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += milliseconds(*rc::gen::element(0, 1, 300, 999, 1000, 4000));
    const std::string Name(1, *rc::gen::inRange('a', 'd'));
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
    case 1: {
      const CrashReport Report = arbitraryReport(Name, Now);
      Quarantine.add(Report, Now);
      if (*rc::gen::arbitrary<bool>())
        RC_ASSERT(!Quarantine.add(Report, Now));
      Histories[Name].push_back({EventKind::Crash, Report, Now});
      break;
    }
    case 2:
      Quarantine.onSuccess(Name, Now);
      Histories[Name].push_back({EventKind::Success, {}, Now});
      break;
    case 3: {
      const CrashReport Report = arbitraryReport(Name, Now);
      Quarantine.addProof({Name, Report.m_Crash}, Now);
      Histories[Name].push_back({EventKind::Proof, Report, Now});
      break;
    }
    default:
      RC_ASSERT(Quarantine.verdict(Name, Now) ==
                referenceVerdict(Histories[Name], Now, Period));
    }
  }
}

/// Delivers each crash and proof to a host twice, in a random order.
CrashQuarantine deliver(std::vector<Event> Events, Instant Now) {
  // All reports are younger than the period.
  constexpr milliseconds Period{60000};
  CrashQuarantine Host(100, Period);
  const std::vector<Event> Repeated = Events;
  Events.insert(Events.end(), Repeated.begin(), Repeated.end());
  std::mt19937 Random(*rc::gen::arbitrary<std::uint32_t>());
  std::ranges::shuffle(Events, Random);
  for (const auto &[Kind, Report, At] : Events)
    if (Kind == EventKind::Proof)
      Host.addProof({Report.m_Fingerprint, Report.m_Crash}, Now);
    else
      Host.add(Report, Now);
  return Host;
}

// Guards against hosts that disagree on a request because they got the reports
// of the same crashes, and the proofs against them, in another order.
RC_GTEST_PROP(RetryProperties, HostsWithTheSameReportsAgree, ()) {
  const Instant Now{std::chrono::hours(1)};
  const std::string Name = "f";
  std::vector<Event> Events;
  std::set<EndpointCrash> Crashes;
  std::set<EndpointCrash> Refuted;
  const int Count = *rc::gen::inRange(0, 8);
  for (int Index = 0; Index < Count; ++Index) {
    const CrashReport Report = arbitraryReport(Name, Now);
    const bool IsProof = *rc::gen::inRange(0, 4) == 0;
    Events.push_back(
        {IsProof ? EventKind::Proof : EventKind::Crash, Report, Now});
    (IsProof ? Refuted : Crashes).insert(Report.m_Crash);
  }
  std::erase_if(Crashes, [&](const EndpointCrash &Crash) {
    return Refuted.contains(Crash);
  });
  const CrashQuarantine First = deliver(Events, Now);
  const CrashQuarantine Second = deliver(Events, Now);
  RC_ASSERT(First.crashCount(Name, Now) == Crashes.size());
  RC_ASSERT(Second.crashCount(Name, Now) == Crashes.size());
  RC_ASSERT(First.verdict(Name, Now) == Second.verdict(Name, Now));
}

} // namespace
} // namespace sff::retry
