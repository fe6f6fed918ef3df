#include "Core/Serving/SharedRetryBudget.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// Part of its fixed share that a process may use at once after its start.
/// Without it, one request that several endpoints refuse would fail.
constexpr double ShareAtStart = 0.25;

} // namespace

std::int64_t SharedRetryBudget::bucketNumber(Instant Now) const {
  const auto Length = std::max<Duration>(m_Bounds.m_Window / BucketCount,
                                         std::chrono::milliseconds(1));
  return Now.time_since_epoch() / Length;
}

SharedRetryBudget::Bucket &SharedRetryBudget::currentBucket(Instant Now) {
  const std::int64_t Number = bucketNumber(Now);
  Bucket &Found =
      m_Buckets[static_cast<std::size_t>(Number) % m_Buckets.size()];
  if (Found.m_Number != Number)
    Found = {Number, 0, 0};
  return Found;
}

void SharedRetryBudget::onRequest(Instant Now) {
  ++currentBucket(Now).m_Requests;
}

bool SharedRetryBudget::tryRetry(Instant Now) {
  if (!allows(Now))
    return false;
  ++currentBucket(Now).m_Retries;
  return true;
}

bool SharedRetryBudget::allows(Instant Now) {
  const Bucket &Latest = currentBucket(Now);
  const std::int64_t Oldest =
      Latest.m_Number - static_cast<std::int64_t>(BucketCount);
  double Requests = 0;
  double Retries = 0;
  for (const Bucket &Entry : m_Buckets) {
    if (Entry.m_Number < Oldest)
      continue;
    Requests += static_cast<double>(Entry.m_Requests);
    Retries += static_cast<double>(Entry.m_Retries);
  }
  const double Allowed =
      UsableShare * m_Bounds.m_Ratio * Requests + usableFixedShare(Now);
  return Retries + 1 <= Allowed;
}

double SharedRetryBudget::usableFixedShare(Instant Now) const {
  const double Share = UsableShare * m_Bounds.m_FixedAllowance /
                       static_cast<double>(std::max<std::size_t>(m_Hosts, 1));
  const Duration Age = Now - m_StartedAt;
  if (Age >= m_Bounds.m_Window)
    return Share;
  const double Grown =
      std::max(ShareAtStart, toSeconds(Age) / toSeconds(m_Bounds.m_Window));
  // One retry is granted at once: with little traffic, the ratio grants none
  // for a long time.
  return std::max(Share * Grown, std::min(Share, 1.0));
}

} // namespace sff::serving
