#include "Experiments.h"

#include "PolicyRun.h"
#include "Report.h"
#include "RoutingRun.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <future>

namespace sff::bench {
namespace {

using Bound = Metric::Bound;
using Metrics = std::vector<Metric>;
using Submissions = std::vector<const SubmissionResult *>;

/// Calls \p RunSeed for each seed, up to m_Jobs of them concurrently, and
/// merges the samples of each metric.
Row runSeeds(const ExperimentOptions &Options, const std::string &Label,
             const std::function<Metrics(std::uint64_t)> &RunSeed) {
  Row Line{Label, {}};
  for (int First = 1; First <= Options.m_Seeds; First += Options.m_Jobs) {
    std::vector<std::future<Metrics>> Running;
    const int Last = std::min(Options.m_Seeds, First + Options.m_Jobs - 1);
    for (int Seed = First; Seed <= Last; ++Seed)
      Running.push_back(std::async(std::launch::async, RunSeed, Seed));
    for (auto &Future : Running) {
      const Metrics SeedMetrics = Future.get();
      if (Line.m_Metrics.empty()) {
        Line.m_Metrics = SeedMetrics;
        continue;
      }
      for (std::size_t Index = 0; Index < SeedMetrics.size(); ++Index)
        Line.m_Metrics[Index].m_Samples.push_back(
            SeedMetrics[Index].m_Samples.front());
    }
  }
  return Line;
}

Metric makeMetric(std::string Name, double Value, Bound Kind = Bound::None,
                  double Target = 0) {
  return {std::move(Name), {Value}, Kind, Target};
}

Submissions
select(const RunResult &Result,
       const std::function<bool(const SubmissionResult &)> &Predicate) {
  Submissions Chosen;
  for (const SubmissionResult &Item : Result.m_Submissions)
    if (Predicate(Item))
      Chosen.push_back(&Item);
  return Chosen;
}

double percent(const Submissions &List,
               const std::function<bool(const SubmissionResult &)> &Predicate) {
  if (List.empty())
    return std::nan("");
  const auto Count = std::count_if(
      List.begin(), List.end(), [&](auto *Item) { return Predicate(*Item); });
  return 100.0 * static_cast<double>(Count) / static_cast<double>(List.size());
}

bool isServedInTime(const SubmissionResult &Item) {
  return Item.m_Outcome == SubmissionOutcome::Answered && Item.metDeadline();
}

bool isRefusedInTime(const SubmissionResult &Item) {
  return Item.m_Outcome == SubmissionOutcome::Refused && Item.metDeadline();
}

bool isInteractive(const SubmissionResult &Item) {
  return Item.m_Class == TrafficClass::Interactive;
}

std::vector<double> firstTokenTimes(const Submissions &List) {
  std::vector<double> Times;
  for (const SubmissionResult *Item : List)
    if (Item->m_Outcome == SubmissionOutcome::Answered)
      Times.push_back(Item->m_LatencySeconds);
  return Times;
}

RunResult runIdleTrace(const ExperimentOptions &Options,
                       const PolicyOptions &Policy, const FaultPlan &Faults,
                       std::uint64_t Seed) {
  return PolicyRun(Options.m_Deployment,
                   makeIdleTrace(Options.m_Deployment, Options.m_Hours, Seed),
                   Policy, Faults, Seed)
      .run();
}

/// Total waiting time of the callers of cold entries, in hours. An interactive
/// caller's wait counts three times, as in the eviction policy.
double coldWaitHours(const Submissions &Cold) {
  double Sum = 0;
  for (const SubmissionResult *Item : Cold)
    Sum += Item->m_LatencySeconds * (isInteractive(*Item) ? 3 : 1);
  return Sum / 3600;
}

double coldP95(const Submissions &Cold, bool Interactive) {
  Submissions Chosen;
  std::copy_if(Cold.begin(), Cold.end(), std::back_inserter(Chosen),
               [&](auto *Item) { return isInteractive(*Item) == Interactive; });
  return percentile(firstTokenTimes(Chosen), 0.95);
}

PolicyOptions fifoLoading(Eviction Kind) {
  PolicyOptions Policy;
  Policy.m_Eviction = Kind;
  Policy.m_FifoLoading = true;
  return Policy;
}

PolicyOptions uncoordinatedLoading() {
  PolicyOptions Policy = fifoLoading(Eviction::IdleTimeout);
  Policy.m_UncoordinatedLoading = true;
  return Policy;
}

std::string title(const ExperimentOptions &Options, const char *Name) {
  return std::string(Name) + ", " + Options.m_Deployment.m_Name + ", " +
         std::to_string(Options.m_Seeds) + " seeds: mean (range)";
}

/// Percentage of the retries at the stated retry time that were accepted.
Metric acceptedAtRetryTime(const RunResult &Result) {
  return makeMetric(
      "accepted at retry time %",
      percent(select(Result, [](const auto &Item) { return Item.m_IsRetry; }),
              [](const auto &Item) { return Item.m_IsAdmitted; }),
      Bound::AtLeast, 90);
}

/// Percentage of the retries at the stated retry time that were served in time.
Metric servedAtRetryTime(const RunResult &Result) {
  return makeMetric(
      "served at retry time %",
      percent(select(Result, [](const auto &Item) { return Item.m_IsRetry; }),
              isServedInTime),
      Bound::AtLeast, 90);
}

} // namespace

void runCurve(const ExperimentOptions &Options) {
  std::vector<Row> Rows;
  const auto Add = [&](const std::string &Label, const PolicyOptions &Policy) {
    Rows.push_back(runSeeds(Options, Label, [&](std::uint64_t Seed) {
      const RunResult Result = runIdleTrace(Options, Policy, {}, Seed);
      const auto All = select(Result, [](const auto &) { return true; });
      const auto Cold =
          select(Result, [](const auto &Item) { return Item.m_IsCold; });
      const auto ColdTimes = firstTokenTimes(Cold);
      const auto AllTimes = firstTokenTimes(All);
      return Metrics{
          makeMetric("idle acc. h", Result.m_IdleAcceleratorHours),
          makeMetric("cold wait h", coldWaitHours(Cold)),
          makeMetric("cold %",
                     percent(All, [](auto &Item) { return Item.m_IsCold; })),
          makeMetric("cold p50 s", percentile(ColdTimes, 0.5)),
          makeMetric("cold p95 s", percentile(ColdTimes, 0.95)),
          makeMetric("cold p99 s", percentile(ColdTimes, 0.99)),
          makeMetric("all p95 s", percentile(AllTimes, 0.95)),
          makeMetric("all p99 s", percentile(AllTimes, 0.99)),
          makeMetric("in time %", percent(All, isServedInTime)),
          makeMetric("loads", static_cast<double>(Result.m_LoadCount)),
      };
    }));
  };
  for (const double Weight : {2, 5, 10, 20, 50, 100, 300, 1000}) {
    PolicyOptions Policy;
    Policy.m_ColdStartWeight = Weight;
    Add("weight " + std::to_string(static_cast<int>(Weight)), Policy);
  }
  for (const double Timeout : {60, 300, 900, 3600}) {
    PolicyOptions Policy = fifoLoading(Eviction::IdleTimeout);
    Policy.m_IdleTimeoutSeconds = Timeout;
    Add("time-out " + std::to_string(static_cast<int>(Timeout)) + " s", Policy);
  }
  Add("never unload", fifoLoading(Eviction::NeverUnload));
  Add("router alone, 300 s", uncoordinatedLoading());
  printReport(title(Options, "curve"), Rows, Options.m_Json);
}

void runBurst(const ExperimentOptions &Options) {
  std::vector<Row> Rows;
  const auto Add = [&](const std::string &Label, const PolicyOptions &Policy,
                       double Slowdown) {
    FaultPlan Slow;
    Slow.m_EndSeconds = Options.m_Hours * 3600;
    Slow.m_StoreSlowdown = Slowdown;
    Rows.push_back(runSeeds(Options, Label, [&](std::uint64_t Seed) {
      const RunResult Result = runIdleTrace(Options, Policy, Slow, Seed);
      const auto Cold =
          select(Result, [](const auto &Item) { return Item.m_IsCold; });
      const auto &LoadCounts = Result.m_LoadsPerActivation;
      double Sum = 0, MaxLoads = 0;
      for (const int Loads : LoadCounts) {
        Sum += Loads;
        MaxLoads = std::max<double>(MaxLoads, Loads);
      }
      return Metrics{
          makeMetric("loads per wake",
                     LoadCounts.empty()
                         ? 0
                         : Sum / static_cast<double>(LoadCounts.size()),
                     Bound::AtMost, 1),
          makeMetric("most loads", MaxLoads, Bound::AtMost, 1),
          makeMetric("surplus loads",
                     static_cast<double>(Result.m_SurplusLoadCount),
                     Bound::AtMost, 0),
          makeMetric("cold requests", static_cast<double>(Cold.size())),
          makeMetric("interactive p95 s", coldP95(Cold, true)),
          makeMetric("batch p95 s", coldP95(Cold, false)),
          makeMetric("served in time %", percent(Cold, isServedInTime)),
          makeMetric("refused in time %", percent(Cold, isRefusedInTime)),
          makeMetric("served late %",
                     percent(Cold,
                             [](const auto &Item) {
                               return Item.m_Outcome ==
                                          SubmissionOutcome::Answered &&
                                      !Item.metDeadline();
                             })),
          makeMetric("unanswered",
                     static_cast<double>(Result.m_UnansweredCount),
                     Bound::AtMost, 0),
      };
    }));
  };
  PolicyOptions FifoLoading;
  FifoLoading.m_FifoLoading = true;
  for (const double Slowdown : {1.0, 3.0}) {
    const std::string Store =
        Slowdown > 1 ? ", weight store 3 times slower" : "";
    Add("policy, weight 20" + Store, {}, Slowdown);
    Add("weight 20, first-come loading" + Store, FifoLoading, Slowdown);
    Add("time-out 300 s, first come" + Store,
        fifoLoading(Eviction::IdleTimeout), Slowdown);
    Add("router alone, 300 s" + Store, uncoordinatedLoading(), Slowdown);
  }
  printReport(title(Options, "burst"), Rows, Options.m_Json);
}

void runOverload(const ExperimentOptions &Options) {
  std::vector<Row> Rows;
  const auto Add = [&](double Factor, double Share, bool MarkRetries) {
    const std::string Label = std::to_string(static_cast<int>(Factor)) + "x, " +
                              std::to_string(static_cast<int>(Share * 100)) +
                              "% interactive" +
                              (MarkRetries ? "" : ", unmarked");
    Rows.push_back(runSeeds(Options, Label, [&](std::uint64_t Seed) {
      PolicyOptions Policy;
      Policy.m_MarkRetries = MarkRetries;
      const RunResult Result = PolicyRun(Options.m_Deployment,
                                         makeOverloadTrace(Options.m_Deployment,
                                                           Factor, Share, Seed),
                                         Policy, {}, Seed)
                                   .run();
      const auto During = [&](bool Interactive) {
        return select(Result, [=](const auto &Item) {
          return Item.m_SubmitTime >= OverloadStartSeconds &&
                 Item.m_SubmitTime < OverloadEndSeconds &&
                 isInteractive(Item) == Interactive;
        });
      };
      const auto Interactive = During(true);
      const auto Batch = During(false);
      const auto All = select(Result, [](const auto &) { return true; });
      const auto Accepted = [](const Submissions &List) {
        Submissions Admitted;
        std::copy_if(List.begin(), List.end(), std::back_inserter(Admitted),
                     [](auto *Item) { return Item->m_IsAdmitted; });
        return Admitted;
      };
      std::vector<double> Delays;
      for (const SubmissionResult *Item : All)
        if (Item->m_Outcome == SubmissionOutcome::Refused)
          Delays.push_back(Item->m_LatencySeconds / Item->m_DeadlineSeconds);
      return Metrics{
          makeMetric("interactive in time %",
                     percent(Interactive, isServedInTime)),
          makeMetric("batch in time %", percent(Batch, isServedInTime)),
          makeMetric("accepted interactive in time %",
                     percent(Accepted(Interactive), isServedInTime),
                     Bound::AtLeast, 99),
          makeMetric("accepted batch in time %",
                     percent(Accepted(Batch), isServedInTime)),
          makeMetric("refusals p99, of deadline", percentile(Delays, 0.99),
                     Bound::AtMost, 0.5),
          makeMetric("refused past deadline",
                     static_cast<double>(
                         std::count_if(Delays.begin(), Delays.end(),
                                       [](double Delay) { return Delay > 1; })),
                     Bound::AtMost, 0),
          acceptedAtRetryTime(Result),
          servedAtRetryTime(Result),
          makeMetric("unanswered",
                     static_cast<double>(Result.m_UnansweredCount),
                     Bound::AtMost, 0),
      };
    }));
  };
  for (const double Factor : {2.0, 4.0})
    for (const double Share : {0.2, 0.6})
      for (const bool MarkRetries : {true, false})
        Add(Factor, Share, MarkRetries);
  printReport(title(Options, "overload"), Rows, Options.m_Json);
}

void runFaults(const ExperimentOptions &Options) {
  // The fault covers hour 3, when half of the entries become active.
  constexpr double FaultStart = 3 * 3600 - 300, FaultEnd = FaultStart + 1200;
  ExperimentOptions Short = Options;
  Short.m_Hours = 4.5;
  FaultPlan Slow, Half, Zone;
  Slow.m_StoreSlowdown = 5;
  Half.m_HalfOfEnginesReclaimed = true;
  Zone.m_ZoneLost = true;
  std::vector<Row> Rows;
  const auto Add = [&](const std::string &Label, FaultPlan Faults) {
    Faults.m_StartSeconds = FaultStart;
    Faults.m_EndSeconds = FaultEnd;
    Rows.push_back(runSeeds(Options, Label, [&](std::uint64_t Seed) {
      const RunResult Result = runIdleTrace(Short, {}, Faults, Seed);
      const auto Between = [&](double Low, double High) {
        return select(Result, [=](const auto &Item) {
          return Item.m_SubmitTime >= Low && Item.m_SubmitTime < High;
        });
      };
      const auto Before = Between(600, FaultStart);
      const auto During = Between(FaultStart, FaultEnd);
      const auto After = Between(FaultEnd, Short.m_Hours * 3600);
      const double Baseline = percent(Before, isServedInTime);
      // Recovered at the start of the first three minutes whose percentage of
      // requests served in time is at most 5 points below the baseline.
      double Recovery = 0;
      const auto HasRecovered = [&](double Time) {
        return percent(Between(Time, Time + 180), isServedInTime) >=
               Baseline - 5;
      };
      while (Recovery < 3600 && !HasRecovered(FaultEnd + Recovery))
        Recovery += 10;
      return Metrics{
          makeMetric("before: in time %", Baseline),
          makeMetric("during: in time %", percent(During, isServedInTime)),
          makeMetric("refused %", percent(During,
                                          [](const auto &Item) {
                                            return Item.m_Outcome ==
                                                   SubmissionOutcome::Refused;
                                          })),
          makeMetric("unknown %", percent(During,
                                          [](const auto &Item) {
                                            return Item.m_Outcome ==
                                                   SubmissionOutcome::Unknown;
                                          })),
          makeMetric("router lost", static_cast<double>(std::count_if(
                                        During.begin(), During.end(),
                                        [](auto *Item) {
                                          return Item->m_Outcome ==
                                                 SubmissionOutcome::RouterLost;
                                        }))),
          makeMetric("p99 s", percentile(firstTokenTimes(During), 0.99)),
          makeMetric("after: in time %", percent(After, isServedInTime)),
          makeMetric("recovery s", Recovery),
          acceptedAtRetryTime(Result),
          servedAtRetryTime(Result),
          makeMetric("unanswered",
                     static_cast<double>(Result.m_UnansweredCount),
                     Bound::AtMost, 0),
      };
    }));
  };
  Add("none", {});
  Add("weight store 5 times slower", Slow);
  Add("half of the engines reclaimed", Half);
  Add("one zone lost", Zone);
  printReport(title(Options, "faults"), Rows, Options.m_Json);
}

void runRetries(const ExperimentOptions &Options) {
  std::vector<Row> Rows;
  const auto Add = [&](double FailureSeconds, double Ratio) {
    const std::string Label = "failure every " +
                              std::to_string(static_cast<int>(FailureSeconds)) +
                              " s, " + (Ratio < 1 ? "budget 0.1" : "no budget");
    Rows.push_back(runSeeds(Options, Label, [&](std::uint64_t Seed) {
      PolicyOptions Policy;
      Policy.m_RetryRatio = Ratio;
      Policy.m_RetryBurst = Ratio < 1 ? 10 : 1e9;
      FaultPlan Faults;
      Faults.m_EngineMtbfSeconds = FailureSeconds;
      const RunResult Result =
          PolicyRun(Options.m_Deployment,
                    makeOverloadTrace(Options.m_Deployment, 1, 0.6, Seed),
                    Policy, Faults, Seed)
              .run();
      const auto All = select(Result, [](const auto &) { return true; });
      const auto NotRefused = select(Result, [](const auto &Item) {
        return Item.m_Outcome != SubmissionOutcome::Refused;
      });
      return Metrics{
          makeMetric("attempts per request",
                     static_cast<double>(Result.m_DispatchCount) /
                         static_cast<double>(
                             std::max<std::size_t>(NotRefused.size(), 1)),
                     Bound::AtMost, 1.1),
          makeMetric("in time %", percent(All, isServedInTime)),
          makeMetric("refused %", percent(All,
                                          [](const auto &Item) {
                                            return Item.m_Outcome ==
                                                   SubmissionOutcome::Refused;
                                          })),
          makeMetric("unknown %", percent(All,
                                          [](const auto &Item) {
                                            return Item.m_Outcome ==
                                                   SubmissionOutcome::Unknown;
                                          })),
          makeMetric("unanswered",
                     static_cast<double>(Result.m_UnansweredCount),
                     Bound::AtMost, 0),
      };
    }));
  };
  for (const double Seconds : {600, 120, 30, 10})
    for (const double Ratio : {0.1, 1e9})
      Add(Seconds, Ratio);
  printReport(title(Options, "retries"), Rows, Options.m_Json);
}

void runRoutingTable(const ExperimentOptions &Options) {
  std::vector<Row> Rows;
  const auto Add = [&](const std::string &LoadLabel, RoutingMode Kind,
                       const std::string &Label, double Load, bool Slow) {
    Rows.push_back(
        runSeeds(Options, LoadLabel + ", " + Label, [&](std::uint64_t Seed) {
          RoutingOptions RunOptions;
          RunOptions.m_Mode = Kind;
          RunOptions.m_Engines = Options.m_Deployment.m_Engines;
          RunOptions.m_Routers = Options.m_Deployment.m_Routers;
          RunOptions.m_LoadFraction = Load;
          RunOptions.m_SlowEngine = Slow;
          const auto Result = runRouting(RunOptions, Seed);
          return Metrics{
              makeMetric("wait p50 s", Result.m_WaitP50),
              makeMetric("wait p99 s", Result.m_WaitP99),
              makeMetric("cache hits %", 100 * Result.m_HitRate),
              makeMetric("largest imbalance", Result.m_MaxImbalance),
          };
        }));
  };
  const auto AddAll = [&](const std::string &LoadLabel, double Load,
                          bool Slow) {
    Add(LoadLabel, RoutingMode::LoadAndPrefix, "policy", Load, Slow);
    Add(LoadLabel, RoutingMode::LoadOnly, "no prefix index", Load, Slow);
    Add(LoadLabel, RoutingMode::RoundRobin, "round robin", Load, Slow);
    Add(LoadLabel, RoutingMode::LeastReportedLoad, "least reported load", Load,
        Slow);
  };
  AddAll("load 50%", 0.5, false);
  AddAll("load 80%", 0.8, false);
  AddAll("load 95%", 0.95, false);
  AddAll("load 80%, one slow engine", 0.8, true);
  printReport(title(Options, "routing"), Rows, Options.m_Json);
}

} // namespace sff::bench
