#include "Trace.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace sff::bench {
namespace {

constexpr double WaveIntervalSeconds = 3 * 3600;
constexpr double WaveSpreadSeconds = 15;
constexpr double WaveShare = 0.5;
/// Mean service times. Interactive responses are short; batch responses are
/// summaries and readings.
constexpr double MeanInteractiveSeconds = 1;
constexpr double MeanBatchSeconds = 3;

using Random = std::mt19937_64;

double uniform(Random &Source, double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(Source);
}

double exponential(Random &Source, double MeanSeconds) {
  return std::exponential_distribution<double>(1 / MeanSeconds)(Source);
}

std::vector<TraceEntry> makeEntries(const DeploymentSpec &Deployment,
                                    Random &Source) {
  std::vector<TraceEntry> Entries;
  for (int Index = 0;
       Index < Deployment.m_ModelCount + Deployment.m_AdapterCount; ++Index) {
    TraceEntry Item;
    Item.m_Name = EntryName("m" + std::to_string(1000 + Index));
    Item.m_Class = uniform(Source, 0, 1) < Deployment.m_InteractiveEntryShare
                       ? TrafficClass::Interactive
                       : TrafficClass::Batch;
    Item.m_PreferredEngine = Index % Deployment.m_Engines;
    if (Index < Deployment.m_ModelCount) {
      Item.m_Bytes = uniform(Source, 14e9, 56e9);
      Item.m_ReplicaCount = Index % 8 == 0 ? 2 : 1;
    } else {
      Item.m_Bytes = uniform(Source, 0.2e9, 1e9);
      Item.m_BaseIndex = static_cast<int>(Source() % Deployment.m_ModelCount);
      Item.m_PreferredEngine = Entries[Item.m_BaseIndex].m_PreferredEngine;
    }
    Entries.push_back(Item);
  }
  return Entries;
}

TraceRequest makeRequest(double At, int Entry, TrafficClass Class,
                         Random &Source) {
  const bool Interactive = Class == TrafficClass::Interactive;
  const double MeanSeconds =
      Interactive ? MeanInteractiveSeconds : MeanBatchSeconds;
  // Subtracting half of the variance, 0.4 * 0.4 / 2, makes MeanSeconds the mean
  // of the distribution.
  std::lognormal_distribution<double> Service(std::log(MeanSeconds) - 0.08,
                                              0.4);
  return {At, Entry, Class, Service(Source), Interactive ? 10.0 : 120.0};
}

/// Adds one period of use: a burst of requests, then single requests.
void addActivePeriod(Trace &Result, int Entry, double At, Random &Source) {
  const TrafficClass Class = Result.m_Entries[Entry].m_Class;
  const int InitialCount = 1 + std::geometric_distribution<int>(0.2)(Source);
  for (int Index = 0; Index < InitialCount; ++Index)
    Result.m_Requests.push_back(
        makeRequest(At + uniform(Source, 0, 0.3), Entry, Class, Source));
  const double End = At + exponential(Source, 240);
  const double MeanRequestGap = uniform(Source, 4, 30);
  for (double Time = At + exponential(Source, MeanRequestGap); Time < End;
       Time += exponential(Source, MeanRequestGap))
    Result.m_Requests.push_back(makeRequest(Time, Entry, Class, Source));
}

void addEntryRequests(Trace &Result, int Entry, Random &Source) {
  const double UsagePattern = uniform(Source, 0, 1);
  // 10% of the entries are used all the time, 25% periodically, the rest
  // rarely.
  const double MeanGap = UsagePattern < 0.1 ? 60
                         : UsagePattern < 0.35
                             ? uniform(Source, 300, 1800)
                             : uniform(Source, 3600, 4 * 3600);
  const bool IsPeriodic = UsagePattern >= 0.1 && UsagePattern < 0.35;
  const auto NextGap = [&] {
    return IsPeriodic ? MeanGap + uniform(Source, -20, 20)
                      : exponential(Source, MeanGap);
  };
  for (double Time = uniform(Source, 0, MeanGap);
       Time < Result.m_DurationSeconds; Time += std::max(1.0, NextGap()))
    addActivePeriod(Result, Entry, Time, Source);
}

void sortAndTrim(Trace &Result) {
  std::erase_if(Result.m_Requests, [&](const TraceRequest &Item) {
    return Item.m_ArrivalTime >= Result.m_DurationSeconds;
  });
  std::stable_sort(Result.m_Requests.begin(), Result.m_Requests.end(),
                   [](const auto &A, const auto &B) {
                     return A.m_ArrivalTime < B.m_ArrivalTime;
                   });
}

} // namespace

const DeploymentSpec &findDeployment(const std::string &Name) {
  static const DeploymentSpec Shohag{"shohag", 4, 9, 50, 55, 7, 2.5, 4, 0.6};
  static const DeploymentSpec Agencia{"agencia", 4, 12, 65, 75, 8, 10, 4, 0.6};
  if (Name == Shohag.m_Name)
    return Shohag;
  if (Name == Agencia.m_Name)
    return Agencia;
  throw std::invalid_argument("unknown deployment " + Name);
}

Trace makeIdleTrace(const DeploymentSpec &Deployment, double Hours,
                    std::uint64_t Seed) {
  Random Source(Seed);
  Trace Result;
  Result.m_DurationSeconds = Hours * 3600;
  Result.m_Entries = makeEntries(Deployment, Source);
  const int Count = static_cast<int>(Result.m_Entries.size());
  for (int Index = 0; Index < Count; ++Index)
    addEntryRequests(Result, Index, Source);
  for (double WaveTime = WaveIntervalSeconds;
       WaveTime < Result.m_DurationSeconds; WaveTime += WaveIntervalSeconds)
    for (int Index = 0; Index < Count; ++Index)
      if (uniform(Source, 0, 1) < WaveShare)
        addActivePeriod(Result, Index,
                        WaveTime + uniform(Source, 0, WaveSpreadSeconds),
                        Source);
  sortAndTrim(Result);
  return Result;
}

Trace makeOverloadTrace(const DeploymentSpec &Deployment, double Factor,
                        double InteractiveShare, std::uint64_t Seed) {
  Random Source(Seed);
  Trace Result;
  Result.m_DurationSeconds = 4500;
  Result.m_Entries = makeEntries(Deployment, Source);
  Result.m_Entries.resize(4);
  for (TraceEntry &Item : Result.m_Entries)
    Item.m_ReplicaCount = 1;
  const double MeanSeconds = 1 / (InteractiveShare / MeanInteractiveSeconds +
                                  (1 - InteractiveShare) / MeanBatchSeconds);
  const double Capacity = SlotsPerReplica / MeanSeconds; // Requests per second.
  for (int Index = 0; Index < 4; ++Index) {
    for (double Time = 0; Time < Result.m_DurationSeconds;) {
      const bool IsOverloaded =
          Time >= OverloadStartSeconds && Time < OverloadEndSeconds;
      Time +=
          exponential(Source, 1 / (Capacity * (IsOverloaded ? Factor : 0.5)));
      const double InteractiveRequestShare =
          InteractiveShare / MeanInteractiveSeconds * MeanSeconds;
      const auto Class = uniform(Source, 0, 1) < InteractiveRequestShare
                             ? TrafficClass::Interactive
                             : TrafficClass::Batch;
      Result.m_Requests.push_back(makeRequest(Time, Index, Class, Source));
    }
  }
  sortAndTrim(Result);
  return Result;
}

} // namespace sff::bench
