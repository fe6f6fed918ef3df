#include "Core/Loading/EvictionPolicy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sff::loading {
namespace {

using Seconds = std::chrono::duration<double>;

/// Factor by which an entry's history decays with each new gap, so that about
/// the latest 20 gaps count.
constexpr double HistoryDecay = 0.95;
/// The same for the history pooled over all entries, which is the prior of each
/// entry.
constexpr double PooledHistoryDecay = 0.9999;
/// Weight of the prior, in gaps.
constexpr double PriorWeight = 1;
/// Probability that an idle period ends before it grows by half, if there is no
/// history.
constexpr double PriorHazard = 0.15;

/// Callers per cold start, if there is no history.
constexpr double PriorCallers = 1;
/// Callers that arrive within this time after the first one share its cold
/// start.
constexpr Seconds SharedColdStartPeriod(5);
/// Lower bound of the second bucket, in seconds of idle time.
constexpr double SecondBucketStart = 2;

/// Two buckets per doubling of the idle time, so the last one starts at twelve
/// days.
double bucketStart(std::size_t Bucket) {
  return Bucket == 0 ? 0
                     : SecondBucketStart *
                           std::exp2(static_cast<double>(Bucket - 1) / 2);
}

std::size_t bucketOf(double GapSeconds) {
  if (GapSeconds < SecondBucketStart)
    return 0;
  const double Place = 1 + 2 * std::log2(GapSeconds / SecondBucketStart);
  return std::min(GapBucketCount - 1, static_cast<std::size_t>(Place));
}

} // namespace

void EvictionPolicy::GapStatistics::add(std::size_t LastBucket, double Decay) {
  for (std::size_t Bucket = 0; Bucket <= LastBucket; ++Bucket) {
    m_ReachedCount[Bucket] = m_ReachedCount[Bucket] * Decay + 1;
    m_EndedCount[Bucket] *= Decay;
    m_CallerCount[Bucket] *= Decay;
  }
  m_EndedCount[LastBucket] += 1;
  m_CallerCount[LastBucket] += 1;
}

double EvictionPolicy::GapStatistics::hazard(std::size_t Bucket,
                                             double Prior) const {
  return (m_EndedCount[Bucket] + PriorWeight * Prior) /
         (m_ReachedCount[Bucket] + PriorWeight);
}

double EvictionPolicy::GapStatistics::callers(std::size_t Bucket,
                                              double Prior) const {
  return (m_CallerCount[Bucket] + PriorWeight * Prior) /
         (m_EndedCount[Bucket] + PriorWeight);
}

void EvictionPolicy::onRequest(const EntryName &Entry, Instant Now) {
  const auto [Found, IsNew] = m_Histories.try_emplace(Entry);
  History &Existing = Found->second;
  if (!IsNew && Now - Existing.m_GroupStart < SharedColdStartPeriod) {
    Existing.m_Gaps.addCaller(Existing.m_GroupGapBucket);
    m_AllGaps.addCaller(Existing.m_GroupGapBucket);
  } else if (!IsNew) {
    Existing.m_GroupGapBucket =
        bucketOf(Seconds(Now - Existing.m_LastRequest).count());
    Existing.m_Gaps.add(Existing.m_GroupGapBucket, HistoryDecay);
    m_AllGaps.add(Existing.m_GroupGapBucket, PooledHistoryDecay);
  }
  if (IsNew || Now - Existing.m_GroupStart >= SharedColdStartPeriod)
    Existing.m_GroupStart = Now;
  Existing.m_LastRequest = Now;
}

double EvictionPolicy::retentionValue(const LoadedReplica &Replica,
                                      Instant Now) const {
  return avoidedCostRate(Replica, Now) - Replica.m_AcceleratorShare;
}

double EvictionPolicy::avoidedCostRate(const LoadedReplica &Replica,
                                       Instant Now) const {
  if (Replica.m_Busy)
    return std::numeric_limits<double>::infinity();
  static const History Unknown;
  const auto Found = m_Histories.find(Replica.m_Entry);
  const bool Seen = Found != m_Histories.end();
  const History &Existing = Seen ? Found->second : Unknown;
  const double Idle =
      Seen ? std::max(0.0, Seconds(Now - Existing.m_LastRequest).count()) : 0;
  const double Weight =
      Replica.m_Class == catalogue::TrafficClass::Interactive
          ? m_Weights.m_ColdStartWeight * m_Weights.m_InteractiveFactor
          : m_Weights.m_ColdStartWeight;
  return Weight * Replica.m_ReloadSeconds *
         maxCallersPerIdleSecond(Existing.m_Gaps, Idle);
}

/// Assumes that within a bucket the time to the next request is exponentially
/// distributed, with the rate that results in the bucket's hazard.
double EvictionPolicy::maxCallersPerIdleSecond(const GapStatistics &Gaps,
                                               double Idle) const {
  const std::size_t First = bucketOf(Idle);
  // Probability that no request arrives before the bucket.
  double SurvivalProbability = 1;
  double Callers = 0;
  double Time = 0;
  double Best = 0;
  for (std::size_t Bucket = First; Bucket < GapBucketCount; ++Bucket) {
    const double End = bucketStart(Bucket + 1);
    const double Width = End - bucketStart(Bucket);
    const double Remaining =
        Bucket == First ? std::max(End - Idle, Width / 64) : Width;
    const double Prior = m_AllGaps.hazard(Bucket, PriorHazard);
    const double Rate = -std::log1p(-Gaps.hazard(Bucket, Prior)) / Width;
    const double ReturnProbability = -std::expm1(-Rate * Remaining);
    Callers += SurvivalProbability * ReturnProbability *
               Gaps.callers(Bucket, m_AllGaps.callers(Bucket, PriorCallers));
    Time += SurvivalProbability * ReturnProbability / Rate;
    Best = std::max(Best, Callers / Time);
    SurvivalProbability *= 1 - ReturnProbability;
  }
  return Best;
}

std::vector<EntryName>
EvictionPolicy::chooseIdle(std::span<const LoadedReplica> Loaded,
                           Instant Now) const {
  std::vector<EntryName> Chosen;
  for (const LoadedReplica &Replica : Loaded)
    if (!Replica.m_Busy && retentionValue(Replica, Now) <= 0)
      Chosen.push_back(Replica.m_Entry);
  return Chosen;
}

std::vector<EntryName>
EvictionPolicy::chooseVictims(std::span<const LoadedReplica> Loaded,
                              std::int64_t Bytes, Instant Now) const {
  struct Victim {
    double m_ValuePerByte;
    const LoadedReplica *m_Replica;
  };
  std::vector<Victim> Idle;
  for (const LoadedReplica &Replica : Loaded)
    if (!Replica.m_Busy)
      Idle.push_back(
          {avoidedCostRate(Replica, Now) /
               static_cast<double>(std::max<std::int64_t>(Replica.m_Bytes, 1)),
           &Replica});
  std::stable_sort(Idle.begin(), Idle.end(), [](const auto &A, const auto &B) {
    return A.m_ValuePerByte < B.m_ValuePerByte;
  });
  std::int64_t Freed = 0;
  std::size_t Count = 0;
  while (Count < Idle.size() && Freed < Bytes)
    Freed += Idle[Count++].m_Replica->m_Bytes;
  if (Freed < Bytes)
    return {};
  Idle.resize(Count);
  std::vector<EntryName> Chosen;
  // The last victims may free enough memory by themselves, so keep the others
  // if possible, the most valuable first.
  for (auto It = Idle.rbegin(); It != Idle.rend(); ++It) {
    if (Freed - It->m_Replica->m_Bytes >= Bytes)
      Freed -= It->m_Replica->m_Bytes;
    else
      Chosen.push_back(It->m_Replica->m_Entry);
  }
  std::reverse(Chosen.begin(), Chosen.end());
  return Chosen;
}

} // namespace sff::loading
