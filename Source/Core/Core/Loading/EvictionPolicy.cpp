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
/// Gaps that the entry's own history has to outweigh.
constexpr double PriorGaps = 2;
/// Chance that an idle period ends before it doubles, when nothing is known.
constexpr double PriorHazard = 0.3;

/// Buckets double from one second, so the last starts at six days.
double bucketStart(std::size_t Bucket) {
  return Bucket == 0 ? 0 : std::ldexp(1.0, static_cast<int>(Bucket));
}

std::size_t bucketOf(double GapSeconds) {
  if (GapSeconds < 2)
    return 0;
  return std::min(GapBuckets - 1,
                  static_cast<std::size_t>(std::log2(GapSeconds)));
}

} // namespace

void EvictionPolicy::GapStatistics::add(double GapSeconds) {
  const std::size_t Last = bucketOf(GapSeconds);
  for (std::size_t Bucket = 0; Bucket <= Last; ++Bucket) {
    m_Reached[Bucket] = m_Reached[Bucket] * EvidenceKept + 1;
    m_Ended[Bucket] = m_Ended[Bucket] * EvidenceKept + (Bucket == Last ? 1 : 0);
  }
}

double EvictionPolicy::GapStatistics::hazard(std::size_t Bucket,
                                             double Prior) const {
  return (m_Ended[Bucket] + PriorGaps * Prior) /
         (m_Reached[Bucket] + PriorGaps);
}

void EvictionPolicy::onRequest(const EntryName &Entry, Instant Now) {
  const auto [Found, Fresh] = m_Histories.try_emplace(Entry);
  History &Known = Found->second;
  if (!Fresh) {
    const double Gap = Seconds(Now - Known.m_LastRequest).count();
    Known.m_Gaps.add(Gap);
    m_AllGaps.add(Gap);
  }
  Known.m_LastRequest = Now;
}

double EvictionPolicy::keepValue(const LoadedReplica &Replica,
                                 Instant Now) const {
  if (Replica.m_Busy)
    return std::numeric_limits<double>::infinity();
  static const History Unknown;
  const auto Found = m_Histories.find(Replica.m_Entry);
  const bool Seen = Found != m_Histories.end();
  const History &Known = Seen ? Found->second : Unknown;
  const double Idle =
      Seen ? std::max(0.0, Seconds(Now - Known.m_LastRequest).count()) : 0;
  const double ColdStart =
      m_Weights.m_ColdStartWeight * Replica.m_ReloadSeconds *
      (Replica.m_Class == catalogue::TrafficClass::Interactive
           ? m_Weights.m_InteractiveFactor
           : 1);
  return valueAfter(Known.m_Gaps, Idle, ColdStart, Replica.m_Share);
}

/// Backward over the buckets: within one, the time to the next request is
/// taken as exponential with the rate that gives the bucket's hazard.
double EvictionPolicy::valueAfter(const GapStatistics &Gaps, double Idle,
                                  double ColdStart, double IdlePrice) const {
  const std::size_t First = bucketOf(Idle);
  double Value = 0;
  for (std::size_t Bucket = GapBuckets; Bucket-- > First;) {
    const double Later = std::max(0.0, Value);
    const double Start = bucketStart(Bucket);
    const double Width = bucketStart(Bucket + 1) - Start;
    const double Left =
        Bucket == First ? std::max(Start + Width - Idle, Width / 64) : Width;
    const double Prior = m_AllGaps.hazard(Bucket, PriorHazard);
    const double Rate = -std::log1p(-Gaps.hazard(Bucket, Prior)) / Width;
    const double Returns = -std::expm1(-Rate * Left);
    Value = Returns * ColdStart - IdlePrice * Returns / Rate +
            (1 - Returns) * Later;
  }
  return Value;
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
          {keepValue(Replica, Now) /
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
