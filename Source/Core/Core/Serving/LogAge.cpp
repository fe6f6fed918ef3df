#include "Core/Serving/LogAge.h"

namespace sff::serving {

namespace {

/// Parts of the time to apply a catalogue.
constexpr double ReaderShare = 0.15;
constexpr double QueryShare = 0.3;
/// Time between two reads of the host asked.
constexpr milliseconds ReadOverhead{200};
/// Longest connection to a host, and longest answer of the store.
constexpr milliseconds CallTime{600};

milliseconds share(Duration Whole, double Part) {
  return toMilliseconds(fromSeconds(Part * toSeconds(Whole)));
}

} // namespace

std::optional<LogQueryTimes> logQueryTimes(Duration ApplyTime) {
  LogQueryTimes Result{};
  Result.m_ReaderWait = share(ApplyTime, ReaderShare);
  Result.m_QueryWait = share(ApplyTime, QueryShare);
  // Just before a read is answered, what the last one told is two waits old.
  Result.m_MaxAge = 2 * Result.m_ReaderWait + ReadOverhead;
  const Duration QueryAndRead =
      Result.m_QueryWait + LogQueryTimes::AnswerSlack + CallTime;
  Result.m_OwnWait = toMilliseconds(ApplyTime - QueryAndRead);
  if (Result.m_MaxAge + QueryAndRead > ApplyTime)
    return std::nullopt;
  return Result;
}

std::optional<Instant> confirmedAt(std::uint64_t End, const LogAge &Answer,
                                   Instant SentAt, Duration MaxAge) {
  const milliseconds Age(Answer.m_AgeMs);
  if (Answer.m_End != End || Answer.m_AgeMs < 0 || Age > MaxAge)
    return std::nullopt;
  return SentAt - Age;
}

} // namespace sff::serving
