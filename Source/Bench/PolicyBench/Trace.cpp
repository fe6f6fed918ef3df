#include "Trace.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace sff::bench {
namespace {

constexpr double WaveEverySeconds = 3 * 3600;
constexpr double WaveSpreadSeconds = 15;
constexpr double WaveShare = 0.5;
/// Interactive answers are short; batch answers are summaries and readings.
constexpr double InteractiveSeconds = 1;
constexpr double BatchSeconds = 3;

using Random = std::mt19937_64;

double uniform(Random &Source, double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(Source);
}

double exponential(Random &Source, double Mean) {
  return std::exponential_distribution<double>(1 / Mean)(Source);
}

std::vector<Entry> makeEntries(const Deployment &Where, Random &Source) {
  std::vector<Entry> Entries;
  for (int Index = 0; Index < Where.m_Models + Where.m_Adapters; ++Index) {
    Entry Item;
    Item.m_Name = EntryName("m" + std::to_string(1000 + Index));
    Item.m_Class = uniform(Source, 0, 1) < Where.m_InteractiveEntries
                       ? TrafficClass::Interactive
                       : TrafficClass::Batch;
    Item.m_Home = Index % Where.m_Engines;
    if (Index < Where.m_Models) {
      Item.m_Bytes = uniform(Source, 14e9, 56e9);
      Item.m_Replicas = Index % 8 == 0 ? 2 : 1;
    } else {
      Item.m_Bytes = uniform(Source, 0.2e9, 1e9);
      Item.m_Base = static_cast<int>(Source() % Where.m_Models);
      Item.m_Home = Entries[Item.m_Base].m_Home;
    }
    Entries.push_back(Item);
  }
  return Entries;
}

Request makeRequest(double At, int Entry, TrafficClass Class, Random &Source) {
  const bool Interactive = Class == TrafficClass::Interactive;
  const double Mean = Interactive ? InteractiveSeconds : BatchSeconds;
  // The log-normal's mean is Mean.
  std::lognormal_distribution<double> Service(std::log(Mean) - 0.08, 0.4);
  return {At, Entry, Class, Service(Source), Interactive ? 10.0 : 120.0};
}

/// One period of use: first requests at once, then single ones.
void addSpell(Trace &Result, int Entry, double At, Random &Source) {
  const TrafficClass Class = Result.m_Entries[Entry].m_Class;
  const int First = 1 + std::geometric_distribution<int>(0.2)(Source);
  for (int Index = 0; Index < First; ++Index)
    Result.m_Requests.push_back(
        makeRequest(At + uniform(Source, 0, 0.3), Entry, Class, Source));
  const double End = At + exponential(Source, 240);
  const double Gap = uniform(Source, 4, 30);
  for (double Time = At + exponential(Source, Gap); Time < End;
       Time += exponential(Source, Gap))
    Result.m_Requests.push_back(makeRequest(Time, Entry, Class, Source));
}

void addEntry(Trace &Result, int Entry, Random &Source) {
  const double Kind = uniform(Source, 0, 1);
  // A tenth is used all the time, a quarter on a timetable, the rest rarely.
  const double Quiet = Kind < 0.1    ? 60
                       : Kind < 0.35 ? uniform(Source, 300, 1800)
                                     : uniform(Source, 3600, 4 * 3600);
  const bool Timetable = Kind >= 0.1 && Kind < 0.35;
  const auto NextGap = [&] {
    return Timetable ? Quiet + uniform(Source, -20, 20)
                     : exponential(Source, Quiet);
  };
  for (double Time = uniform(Source, 0, Quiet); Time < Result.m_Seconds;
       Time += std::max(1.0, NextGap()))
    addSpell(Result, Entry, Time, Source);
}

void finish(Trace &Result) {
  std::erase_if(Result.m_Requests, [&](const Request &Item) {
    return Item.m_At >= Result.m_Seconds;
  });
  std::stable_sort(
      Result.m_Requests.begin(), Result.m_Requests.end(),
      [](const auto &A, const auto &B) { return A.m_At < B.m_At; });
}

} // namespace

const Deployment &findDeployment(const std::string &Name) {
  static const Deployment Shohag{"shohag", 4, 9, 50, 55, 7, 2.5, 4, 0.6};
  static const Deployment Agencia{"agencia", 4, 12, 65, 75, 8, 10, 4, 0.6};
  if (Name == Shohag.m_Name)
    return Shohag;
  if (Name == Agencia.m_Name)
    return Agencia;
  throw std::invalid_argument("unknown deployment " + Name);
}

Trace makeIdleTrace(const Deployment &Where, double Hours, std::uint64_t Seed) {
  Random Source(Seed);
  Trace Result;
  Result.m_Seconds = Hours * 3600;
  Result.m_Entries = makeEntries(Where, Source);
  const int Count = static_cast<int>(Result.m_Entries.size());
  for (int Index = 0; Index < Count; ++Index)
    addEntry(Result, Index, Source);
  for (double Wave = WaveEverySeconds; Wave < Result.m_Seconds;
       Wave += WaveEverySeconds)
    for (int Index = 0; Index < Count; ++Index)
      if (uniform(Source, 0, 1) < WaveShare)
        addSpell(Result, Index, Wave + uniform(Source, 0, WaveSpreadSeconds),
                 Source);
  finish(Result);
  return Result;
}

Trace makeOverloadTrace(const Deployment &Where, double Factor,
                        double InteractiveShare, std::uint64_t Seed) {
  Random Source(Seed);
  Trace Result;
  Result.m_Seconds = 4500;
  Result.m_Entries = makeEntries(Where, Source);
  Result.m_Entries.resize(4);
  for (Entry &Item : Result.m_Entries)
    Item.m_Replicas = 1;
  const double Mean = 1 / (InteractiveShare / InteractiveSeconds +
                           (1 - InteractiveShare) / BatchSeconds);
  const double Capacity = SlotsPerReplica / Mean; // Requests per second.
  for (int Index = 0; Index < 4; ++Index) {
    for (double Time = 0; Time < Result.m_Seconds;) {
      const bool Over = Time >= OverloadFrom && Time < OverloadTo;
      Time += exponential(Source, 1 / (Capacity * (Over ? Factor : 0.5)));
      const double InteractiveRequests =
          InteractiveShare / InteractiveSeconds * Mean;
      const auto Class = uniform(Source, 0, 1) < InteractiveRequests
                             ? TrafficClass::Interactive
                             : TrafficClass::Batch;
      Result.m_Requests.push_back(makeRequest(Time, Index, Class, Source));
    }
  }
  finish(Result);
  return Result;
}

} // namespace sff::bench
