#include "Core/Loading/EvictionPolicy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sff::loading {
namespace {

using Seconds = std::chrono::duration<double>;

/// Share of the earlier evidence that stays after each new gap; about the
/// latest 20 gaps count.
constexpr double EvidenceKept = 0.95;
/// The same over all entries, for the prior of each.
constexpr double PooledEvidenceKept = 0.9999;
/// Gaps that the entry's own history has to outweigh.
constexpr double PriorGaps = 1;
/// Chance that an idle period ends before it grows by half, when nothing is
/// known.
constexpr double PriorHazard = 0.15;

/// Callers for one cold start, when nothing is known.
constexpr double PriorCallers = 1;
/// Callers that come in this time after the first one share its cold start.
constexpr Seconds TogetherPeriod(5);
/// Shortest idle time of the second bucket, in seconds.
constexpr double FirstGap = 2;

/// Two buckets for each doubling, so the last starts at twelve days.
double bucketStart(std::size_t Bucket) {
  return Bucket == 0
             ? 0
             : FirstGap * std::exp2(static_cast<double>(Bucket - 1) / 2);
}

std::size_t bucketOf(double GapSeconds) {
  if (GapSeconds < FirstGap)
    return 0;
  const double Place = 1 + 2 * std::log2(GapSeconds / FirstGap);
  return std::min(GapBuckets - 1, static_cast<std::size_t>(Place));
}

} // namespace

void EvictionPolicy::GapStatistics::add(std::size_t Last, double Kept) {
  for (std::size_t Bucket = 0; Bucket <= Last; ++Bucket) {
    m_Reached[Bucket] = m_Reached[Bucket] * Kept + 1;
    m_Ended[Bucket] *= Kept;
    m_Callers[Bucket] *= Kept;
  }
  m_Ended[Last] += 1;
  m_Callers[Last] += 1;
}

double EvictionPolicy::GapStatistics::hazard(std::size_t Bucket,
                                             double Prior) const {
  return (m_Ended[Bucket] + PriorGaps * Prior) /
         (m_Reached[Bucket] + PriorGaps);
}

double EvictionPolicy::GapStatistics::callers(std::size_t Bucket,
                                              double Prior) const {
  return (m_Callers[Bucket] + PriorGaps * Prior) /
         (m_Ended[Bucket] + PriorGaps);
}

void EvictionPolicy::onRequest(const EntryName &Entry, Instant Now) {
  const auto [Found, Fresh] = m_Histories.try_emplace(Entry);
  History &Known = Found->second;
  if (!Fresh && Now - Known.m_WokenAt < TogetherPeriod) {
    Known.m_Gaps.addCaller(Known.m_WokenBucket);
    m_AllGaps.addCaller(Known.m_WokenBucket);
  } else if (!Fresh) {
    Known.m_WokenBucket = bucketOf(Seconds(Now - Known.m_LastRequest).count());
    Known.m_Gaps.add(Known.m_WokenBucket, EvidenceKept);
    m_AllGaps.add(Known.m_WokenBucket, PooledEvidenceKept);
  }
  if (Fresh || Now - Known.m_WokenAt >= TogetherPeriod)
    Known.m_WokenAt = Now;
  Known.m_LastRequest = Now;
}

double EvictionPolicy::keepValue(const LoadedReplica &Replica,
                                 Instant Now) const {
  return savedRate(Replica, Now) - Replica.m_Share;
}

double EvictionPolicy::savedRate(const LoadedReplica &Replica,
                                 Instant Now) const {
  if (Replica.m_Busy)
    return std::numeric_limits<double>::infinity();
  static const History Unknown;
  const auto Found = m_Histories.find(Replica.m_Entry);
  const bool Seen = Found != m_Histories.end();
  const History &Known = Seen ? Found->second : Unknown;
  const double Idle =
      Seen ? std::max(0.0, Seconds(Now - Known.m_LastRequest).count()) : 0;
  const double Weight =
      Replica.m_Class == catalogue::TrafficClass::Interactive
          ? m_Weights.m_ColdStartWeight * m_Weights.m_InteractiveFactor
          : m_Weights.m_ColdStartWeight;
  return Weight * Replica.m_ReloadSeconds *
         callersPerSecond(Known.m_Gaps, Idle);
}

/// Within a bucket the time to the next request is taken as exponential with
/// the rate that gives the bucket's hazard.
double EvictionPolicy::callersPerSecond(const GapStatistics &Gaps,
                                        double Idle) const {
  const std::size_t First = bucketOf(Idle);
  double Reached = 1; // Chance that no request has come before the bucket.
  double Callers = 0;
  double Time = 0;
  double Best = 0;
  for (std::size_t Bucket = First; Bucket < GapBuckets; ++Bucket) {
    const double End = bucketStart(Bucket + 1);
    const double Width = End - bucketStart(Bucket);
    const double Left =
        Bucket == First ? std::max(End - Idle, Width / 64) : Width;
    const double Prior = m_AllGaps.hazard(Bucket, PriorHazard);
    const double Rate = -std::log1p(-Gaps.hazard(Bucket, Prior)) / Width;
    const double Returns = -std::expm1(-Rate * Left);
    Callers += Reached * Returns *
               Gaps.callers(Bucket, m_AllGaps.callers(Bucket, PriorCallers));
    Time += Reached * Returns / Rate;
    Best = std::max(Best, Callers / Time);
    Reached *= 1 - Returns;
  }
  return Best;
}

std::vector<EntryName>
EvictionPolicy::chooseIdle(std::span<const LoadedReplica> Loaded,
                           Instant Now) const {
  std::vector<EntryName> Chosen;
  for (const LoadedReplica &Replica : Loaded)
    if (!Replica.m_Busy && keepValue(Replica, Now) <= 0)
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
          {savedRate(Replica, Now) /
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
  // The last victims may free enough alone, so the others are spared, the
  // most valuable first.
  for (auto Item = Idle.rbegin(); Item != Idle.rend(); ++Item) {
    if (Freed - Item->m_Replica->m_Bytes >= Bytes)
      Freed -= Item->m_Replica->m_Bytes;
    else
      Chosen.push_back(Item->m_Replica->m_Entry);
  }
  std::reverse(Chosen.begin(), Chosen.end());
  return Chosen;
}

} // namespace sff::loading
