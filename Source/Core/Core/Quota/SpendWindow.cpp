#include "Core/Quota/SpendWindow.h"

#include <algorithm>

namespace sff::quota {

void SpendWindow::add(double Amount, Instant Now) {
  const std::int64_t Number = numberAt(Now);
  Bucket &Current = m_Buckets[slotOf(Number)];
  if (Current.m_Number != Number)
    Current = {Number, 0};
  Current.m_Amount += Amount;
}

void SpendWindow::remove(double Amount, Instant SpentAt, Instant Now) {
  const std::int64_t Number = numberAt(SpentAt);
  Bucket &Spent = m_Buckets[slotOf(Number)];
  const bool IsInWindow =
      Number > numberAt(Now) - static_cast<std::int64_t>(BucketCount);
  if (IsInWindow && Spent.m_Number == Number)
    Spent.m_Amount = std::max(0.0, Spent.m_Amount - Amount);
}

double SpendWindow::total(Instant Now) const {
  const std::int64_t Oldest =
      numberAt(Now) - static_cast<std::int64_t>(BucketCount) + 1;
  double Sum = 0;
  for (const Bucket &Candidate : m_Buckets)
    if (Candidate.m_Number >= Oldest)
      Sum += Candidate.m_Amount;
  return Sum;
}

std::vector<double> SpendWindow::byAge(Instant Now) const {
  std::vector<double> Result(BucketCount, 0.0);
  const std::int64_t Newest = numberAt(Now);
  for (const Bucket &Candidate : m_Buckets) {
    const std::int64_t Age = Newest - Candidate.m_Number;
    if (Candidate.m_Number >= 0 && Age >= 0 &&
        Age < static_cast<std::int64_t>(BucketCount))
      Result[static_cast<std::size_t>(Age)] = Candidate.m_Amount;
  }
  while (!Result.empty() && Result.back() == 0)
    Result.pop_back();
  return Result;
}

void SpendWindow::assign(std::span<const double> Amounts, Instant Now) {
  m_Buckets = {};
  const std::int64_t Newest = numberAt(Now);
  const std::size_t Count = std::min(Amounts.size(), BucketCount);
  for (std::size_t Age = 0; Age < Count; ++Age) {
    const std::int64_t Number = Newest - static_cast<std::int64_t>(Age);
    if (Number >= 0)
      m_Buckets[slotOf(Number)] = {Number, std::max(0.0, Amounts[Age])};
  }
}

} // namespace sff::quota
