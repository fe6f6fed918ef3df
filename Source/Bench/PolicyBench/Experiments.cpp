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

using Bound = Figure::Bound;
using Figures = std::vector<Figure>;
using Offers = std::vector<const OfferResult *>;

/// Runs \p Work for each seed, a few at once, and joins equal figures.
Row overSeeds(const ExperimentOptions &Options, const std::string &Label,
              const std::function<Figures(std::uint64_t)> &Work) {
  Row Line{Label, {}};
  for (int First = 1; First <= Options.m_Seeds; First += Options.m_Jobs) {
    std::vector<std::future<Figures>> Running;
    const int Last = std::min(Options.m_Seeds, First + Options.m_Jobs - 1);
    for (int Seed = First; Seed <= Last; ++Seed)
      Running.push_back(std::async(std::launch::async, Work, Seed));
    for (auto &Each : Running) {
      const Figures Fresh = Each.get();
      if (Line.m_Figures.empty()) {
        Line.m_Figures = Fresh;
        continue;
      }
      for (std::size_t Index = 0; Index < Fresh.size(); ++Index)
        Line.m_Figures[Index].m_Samples.push_back(
            Fresh[Index].m_Samples.front());
    }
  }
  return Line;
}

Figure figure(std::string Name, double Value, Bound Kind = Bound::None,
              double Target = 0) {
  return {std::move(Name), {Value}, Kind, Target};
}

Offers select(const RunResult &Result,
              const std::function<bool(const OfferResult &)> &Which) {
  Offers Chosen;
  for (const OfferResult &Item : Result.m_Offers)
    if (Which(Item))
      Chosen.push_back(&Item);
  return Chosen;
}

double percent(const Offers &List,
               const std::function<bool(const OfferResult &)> &Which) {
  if (List.empty())
    return std::nan("");
  const auto Count = std::count_if(List.begin(), List.end(),
                                   [&](auto *Item) { return Which(*Item); });
  return 100.0 * static_cast<double>(Count) / static_cast<double>(List.size());
}

bool servedInTime(const OfferResult &Item) {
  return Item.m_Kind == Kind::Answered && Item.m_InTime();
}

bool refusedInTime(const OfferResult &Item) {
  return Item.m_Kind == Kind::Refused && Item.m_InTime();
}

bool isInteractive(const OfferResult &Item) {
  return Item.m_Class == TrafficClass::Interactive;
}

std::vector<double> firstTokens(const Offers &List) {
  std::vector<double> Times;
  for (const OfferResult *Item : List)
    if (Item->m_Kind == Kind::Answered)
      Times.push_back(Item->m_After);
  return Times;
}

RunResult runIdle(const ExperimentOptions &Options, const Policies &Choice,
                  const Faults &Broken, std::uint64_t Seed) {
  return PolicyRun(Options.m_Where,
                   makeIdleTrace(Options.m_Where, Options.m_Hours, Seed),
                   Choice, Broken, Seed)
      .run();
}

/// Hours that callers waited for cold entries; an interactive caller's wait
/// counts three times, as in the eviction policy.
double coldWaitHours(const Offers &Cold) {
  double Sum = 0;
  for (const OfferResult *Item : Cold)
    Sum += Item->m_After * (isInteractive(*Item) ? 3 : 1);
  return Sum / 3600;
}

double coldTail(const Offers &Cold, bool Interactive) {
  Offers Chosen;
  std::copy_if(Cold.begin(), Cold.end(), std::back_inserter(Chosen),
               [&](auto *Item) { return isInteractive(*Item) == Interactive; });
  return percentile(firstTokens(Chosen), 0.95);
}

Policies firstCome(Eviction Kind) {
  Policies Choice;
  Choice.m_Eviction = Kind;
  Choice.m_FirstComeLoading = true;
  return Choice;
}

Policies routerAlone() {
  Policies Choice = firstCome(Eviction::IdleTimeout);
  Choice.m_RouterAlone = true;
  return Choice;
}

std::string title(const ExperimentOptions &Options, const char *Name) {
  return std::string(Name) + ", " + Options.m_Where.m_Name + ", " +
         std::to_string(Options.m_Seeds) + " seeds: mean (range)";
}

/// Share of refused callers that were accepted at the stated retry time, and
/// of those that were then served in time.
Figure acceptedAtRetryTime(const RunResult &Result) {
  return figure(
      "accepted at retry time %",
      percent(select(Result, [](const auto &Item) { return Item.m_Comeback; }),
              [](const auto &Item) { return Item.m_Admitted; }),
      Bound::AtLeast, 90);
}

Figure servedAtRetryTime(const RunResult &Result) {
  return figure(
      "served at retry time %",
      percent(select(Result, [](const auto &Item) { return Item.m_Comeback; }),
              servedInTime),
      Bound::AtLeast, 90);
}

} // namespace

void runCurve(const ExperimentOptions &Options) {
  std::vector<Row> Rows;
  const auto Add = [&](const std::string &Label, const Policies &Choice) {
    Rows.push_back(overSeeds(Options, Label, [&](std::uint64_t Seed) {
      const RunResult Result = runIdle(Options, Choice, {}, Seed);
      const auto All = select(Result, [](const auto &) { return true; });
      const auto Cold =
          select(Result, [](const auto &Item) { return Item.m_Cold; });
      const auto Times = firstTokens(Cold);
      const auto AllTimes = firstTokens(All);
      return Figures{
          figure("idle acc. h", Result.m_IdleAcceleratorHours),
          figure("cold wait h", coldWaitHours(Cold)),
          figure("cold %",
                 percent(All, [](auto &Item) { return Item.m_Cold; })),
          figure("cold p50 s", percentile(Times, 0.5)),
          figure("cold p95 s", percentile(Times, 0.95)),
          figure("cold p99 s", percentile(Times, 0.99)),
          figure("all p95 s", percentile(AllTimes, 0.95)),
          figure("all p99 s", percentile(AllTimes, 0.99)),
          figure("in time %", percent(All, servedInTime)),
          figure("loads", static_cast<double>(Result.m_Loads)),
      };
    }));
  };
  for (const double Weight : {2, 5, 10, 20, 50, 100, 300, 1000}) {
    Policies Choice;
    Choice.m_Weight = Weight;
    Add("weight " + std::to_string(static_cast<int>(Weight)), Choice);
  }
  for (const double Timeout : {60, 300, 900, 3600}) {
    Policies Choice = firstCome(Eviction::IdleTimeout);
    Choice.m_IdleTimeout = Timeout;
    Add("time-out " + std::to_string(static_cast<int>(Timeout)) + " s", Choice);
  }
  Add("never unload", firstCome(Eviction::NeverUnload));
  Add("router alone, 300 s", routerAlone());
  printReport(title(Options, "curve"), Rows, Options.m_Json);
}

void runBurst(const ExperimentOptions &Options) {
  std::vector<Row> Rows;
  const auto Add = [&](const std::string &Label, const Policies &Choice,
                       double Slowdown) {
    Faults Slow;
    Slow.m_To = Options.m_Hours * 3600;
    Slow.m_StoreSlowdown = Slowdown;
    Rows.push_back(overSeeds(Options, Label, [&](std::uint64_t Seed) {
      const RunResult Result = runIdle(Options, Choice, Slow, Seed);
      const auto Cold =
          select(Result, [](const auto &Item) { return Item.m_Cold; });
      const auto &Wakes = Result.m_LoadsPerWake;
      double Sum = 0, Most = 0;
      for (const int Loads : Wakes) {
        Sum += Loads;
        Most = std::max<double>(Most, Loads);
      }
      return Figures{
          figure("loads per wake",
                 Wakes.empty() ? 0 : Sum / static_cast<double>(Wakes.size()),
                 Bound::AtMost, 1),
          figure("most loads", Most, Bound::AtMost, 1),
          figure("surplus loads", static_cast<double>(Result.m_SurplusLoads),
                 Bound::AtMost, 0),
          figure("cold requests", static_cast<double>(Cold.size())),
          figure("interactive p95 s", coldTail(Cold, true)),
          figure("batch p95 s", coldTail(Cold, false)),
          figure("served in time %", percent(Cold, servedInTime)),
          figure("refused in time %", percent(Cold, refusedInTime)),
          figure("served late %", percent(Cold,
                                          [](const auto &Item) {
                                            return Item.m_Kind ==
                                                       Kind::Answered &&
                                                   !Item.m_InTime();
                                          })),
          figure("unanswered", static_cast<double>(Result.m_Unanswered),
                 Bound::AtMost, 0),
      };
    }));
  };
  Policies FirstCome;
  FirstCome.m_FirstComeLoading = true;
  for (const double Slowdown : {1.0, 3.0}) {
    const std::string Store =
        Slowdown > 1 ? ", weight store 3 times slower" : "";
    Add("policy, weight 20" + Store, {}, Slowdown);
    Add("weight 20, first-come loading" + Store, FirstCome, Slowdown);
    Add("time-out 300 s, first come" + Store, firstCome(Eviction::IdleTimeout),
        Slowdown);
    Add("router alone, 300 s" + Store, routerAlone(), Slowdown);
  }
  printReport(title(Options, "burst"), Rows, Options.m_Json);
}

void runOverload(const ExperimentOptions &Options) {
  std::vector<Row> Rows;
  const auto Add = [&](double Factor, double Share, bool Marked) {
    const std::string Label = std::to_string(static_cast<int>(Factor)) + "x, " +
                              std::to_string(static_cast<int>(Share * 100)) +
                              "% interactive" + (Marked ? "" : ", unmarked");
    Rows.push_back(overSeeds(Options, Label, [&](std::uint64_t Seed) {
      Policies Choice;
      Choice.m_MarkedRetries = Marked;
      const RunResult Result =
          PolicyRun(Options.m_Where,
                    makeOverloadTrace(Options.m_Where, Factor, Share, Seed),
                    Choice, {}, Seed)
              .run();
      const auto During = [&](bool Interactive) {
        return select(Result, [=](const auto &Item) {
          return Item.m_At >= OverloadFrom && Item.m_At < OverloadTo &&
                 isInteractive(Item) == Interactive;
        });
      };
      const auto Interactive = During(true);
      const auto Batch = During(false);
      const auto All = select(Result, [](const auto &) { return true; });
      const auto Accepted = [](const Offers &List) {
        Offers Kept;
        std::copy_if(List.begin(), List.end(), std::back_inserter(Kept),
                     [](auto *Item) { return Item->m_Admitted; });
        return Kept;
      };
      std::vector<double> Delays;
      for (const OfferResult *Item : All)
        if (Item->m_Kind == Kind::Refused)
          Delays.push_back(Item->m_After / Item->m_Patience);
      return Figures{
          figure("interactive in time %", percent(Interactive, servedInTime)),
          figure("batch in time %", percent(Batch, servedInTime)),
          figure("accepted interactive in time %",
                 percent(Accepted(Interactive), servedInTime), Bound::AtLeast,
                 99),
          figure("accepted batch in time %",
                 percent(Accepted(Batch), servedInTime)),
          figure("refusals p99, of deadline", percentile(Delays, 0.99),
                 Bound::AtMost, 0.5),
          figure("refused past deadline",
                 static_cast<double>(
                     std::count_if(Delays.begin(), Delays.end(),
                                   [](double Delay) { return Delay > 1; })),
                 Bound::AtMost, 0),
          acceptedAtRetryTime(Result),
          servedAtRetryTime(Result),
          figure("unanswered", static_cast<double>(Result.m_Unanswered),
                 Bound::AtMost, 0),
      };
    }));
  };
  for (const double Factor : {2.0, 4.0})
    for (const double Share : {0.2, 0.6})
      for (const bool Marked : {true, false})
        Add(Factor, Share, Marked);
  printReport(title(Options, "overload"), Rows, Options.m_Json);
}

void runFaults(const ExperimentOptions &Options) {
  // The fault covers the wave of first requests at hour 3.
  constexpr double From = 3 * 3600 - 300, To = From + 1200;
  ExperimentOptions Short = Options;
  Short.m_Hours = 4.5;
  Faults Slow, Half, Zone;
  Slow.m_StoreSlowdown = 5;
  Half.m_HalfReclaimed = true;
  Zone.m_ZoneLost = true;
  std::vector<Row> Rows;
  const auto Add = [&](const std::string &Label, Faults Broken) {
    Broken.m_From = From;
    Broken.m_To = To;
    Rows.push_back(overSeeds(Options, Label, [&](std::uint64_t Seed) {
      const RunResult Result = runIdle(Short, {}, Broken, Seed);
      const auto Between = [&](double Low, double High) {
        return select(Result, [=](const auto &Item) {
          return Item.m_At >= Low && Item.m_At < High;
        });
      };
      const auto Before = Between(600, From);
      const auto During = Between(From, To);
      const auto After = Between(To, Short.m_Hours * 3600);
      const double Usual = percent(Before, servedInTime);
      // Recovered at the first of three minutes in a row that are as before.
      double Recovery = 0;
      const auto AsBefore = [&](double Time) {
        return percent(Between(Time, Time + 180), servedInTime) >= Usual - 5;
      };
      while (Recovery < 3600 && !AsBefore(To + Recovery))
        Recovery += 10;
      return Figures{
          figure("before: in time %", Usual),
          figure("during: in time %", percent(During, servedInTime)),
          figure("refused %", percent(During,
                                      [](const auto &Item) {
                                        return Item.m_Kind == Kind::Refused;
                                      })),
          figure("unknown %", percent(During,
                                      [](const auto &Item) {
                                        return Item.m_Kind == Kind::Unknown;
                                      })),
          figure("router lost",
                 static_cast<double>(std::count_if(During.begin(), During.end(),
                                                   [](auto *Item) {
                                                     return Item->m_Kind ==
                                                            Kind::RouterLost;
                                                   }))),
          figure("p99 s", percentile(firstTokens(During), 0.99)),
          figure("after: in time %", percent(After, servedInTime)),
          figure("recovery s", Recovery),
          acceptedAtRetryTime(Result),
          servedAtRetryTime(Result),
          figure("unanswered", static_cast<double>(Result.m_Unanswered),
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
    Rows.push_back(overSeeds(Options, Label, [&](std::uint64_t Seed) {
      Policies Choice;
      Choice.m_RetryRatio = Ratio;
      Choice.m_RetryBurst = Ratio < 1 ? 10 : 1e9;
      Faults Broken;
      Broken.m_EngineFailureSeconds = FailureSeconds;
      const RunResult Result =
          PolicyRun(Options.m_Where,
                    makeOverloadTrace(Options.m_Where, 1, 0.6, Seed), Choice,
                    Broken, Seed)
              .run();
      const auto All = select(Result, [](const auto &) { return true; });
      const auto Run = select(Result, [](const auto &Item) {
        return Item.m_Kind != Kind::Refused;
      });
      return Figures{
          figure("attempts per request",
                 static_cast<double>(Result.m_Dispatches) /
                     static_cast<double>(std::max<std::size_t>(Run.size(), 1)),
                 Bound::AtMost, 1.1),
          figure("in time %", percent(All, servedInTime)),
          figure("refused %", percent(All,
                                      [](const auto &Item) {
                                        return Item.m_Kind == Kind::Refused;
                                      })),
          figure("unknown %", percent(All,
                                      [](const auto &Item) {
                                        return Item.m_Kind == Kind::Unknown;
                                      })),
          figure("unanswered", static_cast<double>(Result.m_Unanswered),
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
  const auto Add = [&](const std::string &Where, Routing Kind,
                       const std::string &Label, double Load, bool Slow) {
    Rows.push_back(
        overSeeds(Options, Where + ", " + Label, [&](std::uint64_t Seed) {
          RoutingOptions Choice;
          Choice.m_Routing = Kind;
          Choice.m_Engines = Options.m_Where.m_Engines;
          Choice.m_Routers = Options.m_Where.m_Routers;
          Choice.m_Load = Load;
          Choice.m_SlowEngine = Slow;
          const auto Result = runRouting(Choice, Seed);
          return Figures{
              figure("wait p50 s", Result.m_WaitP50),
              figure("wait p99 s", Result.m_WaitP99),
              figure("cache hits %", 100 * Result.m_HitShare),
              figure("largest imbalance", Result.m_Imbalance),
          };
        }));
  };
  const auto AddAll = [&](const std::string &Where, double Load, bool Slow) {
    Add(Where, Routing::Policy, "policy", Load, Slow);
    Add(Where, Routing::PolicyNoPrefix, "no prefix index", Load, Slow);
    Add(Where, Routing::RoundRobin, "round robin", Load, Slow);
    Add(Where, Routing::TrustReports, "least reported load", Load, Slow);
  };
  AddAll("load 50%", 0.5, false);
  AddAll("load 80%", 0.8, false);
  AddAll("load 95%", 0.95, false);
  AddAll("load 80%, one slow engine", 0.8, true);
  printReport(title(Options, "routing"), Rows, Options.m_Json);
}

} // namespace sff::bench
