#include "Core/Serving/SharedRetryBudget.h"

#include <algorithm>

namespace sff::serving {

std::int64_t SharedRetryBudget::sliceNumber(Instant Now) const {
  const auto Length = std::max<Duration>(m_Bounds.m_Window / Slices,
                                         std::chrono::milliseconds(1));
  return Now.time_since_epoch() / Length;
}

SharedRetryBudget::Slice &SharedRetryBudget::current(Instant Now) {
  const std::int64_t Number = sliceNumber(Now);
  Slice &Found = m_Slices[static_cast<std::size_t>(Number) % m_Slices.size()];
  if (Found.m_Number != Number)
    Found = {Number, 0, 0};
  return Found;
}

void SharedRetryBudget::onRequest(Instant Now) { ++current(Now).m_Requests; }

bool SharedRetryBudget::tryRetry(Instant Now) {
  if (!allows(Now))
    return false;
  ++current(Now).m_Retries;
  return true;
}

bool SharedRetryBudget::allows(Instant Now) {
  const Slice &Latest = current(Now);
  const std::int64_t Oldest =
      Latest.m_Number - static_cast<std::int64_t>(Slices);
  double Requests = 0;
  double Retries = 0;
  for (const Slice &Item : m_Slices) {
    if (Item.m_Number < Oldest)
      continue;
    Requests += static_cast<double>(Item.m_Requests);
    Retries += static_cast<double>(Item.m_Retries);
  }
  const double Allowed =
      UsedPart * (m_Bounds.m_Ratio * Requests +
                  m_Bounds.m_Extra /
                      static_cast<double>(std::max<std::size_t>(m_Hosts, 1)));
  return Retries + 1 <= Allowed;
}

} // namespace sff::serving
