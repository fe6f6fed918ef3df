#include "Core/Serving/LogAge.h"

#include "Core/Serving/StoreReadTimes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sff::serving {
namespace {

using std::chrono::seconds;

constexpr milliseconds ApplyTime{4000};
/// Longest answer of the store or of a host, in milliseconds.
constexpr std::int64_t CallTime = 50;
/// For how long a host that gave no answer is not asked, in milliseconds.
constexpr std::int64_t QueryPause = 5000;

/// What happens while one record is appended to a log of the store. Times are
/// in milliseconds.
struct Schedule {
  std::int64_t m_AppendedAt = 0;
  std::int64_t m_ReaderLosesStoreAt = 0;
  std::int64_t m_ReaderStopsAt = 0;
  std::int64_t m_ReaderResumesAt = 0;
  /// A read that waits while the record is appended is answered only at its
  /// end, without the record.
  bool m_MissesWakeUp = false;
};

/// A host that reads the log, and one that asks it whether the log has grown.
class LogSimulation {
public:
  explicit LogSimulation(const Schedule &Plan)
      : m_Plan(Plan), m_Times(*logQueryTimes(ApplyTime)) {}

  /// Returns when the host that asks has read the record.
  std::int64_t run() {
    std::int64_t Now = 0;
    while (true) {
      const std::int64_t SentAt = Now;
      const bool IsPaused = Now < m_PausedUntil;
      const LogAge Answer = IsPaused ? LogAge{} : query(Now);
      const auto Confirmed = confirmedAt(
          0, Answer, Instant(milliseconds(SentAt)), m_Times.m_MaxAge);
      // What the store held then must not be beyond what is confirmed.
      if (Confirmed && *Confirmed > Instant(milliseconds(m_Plan.m_AppendedAt)))
        m_HasFalseBelief = true;
      if (!Confirmed && readDirectly(Now))
        return Now;
    }
  }

  bool hasFalseBelief() const { return m_HasFalseBelief; }

private:
  bool isStopped(std::int64_t At) const {
    return At >= m_Plan.m_ReaderStopsAt && At < m_Plan.m_ReaderResumesAt;
  }

  bool showsRecord(std::int64_t SentAt, std::int64_t End) const {
    return m_Plan.m_AppendedAt <= SentAt ||
           (m_Plan.m_AppendedAt < End && !m_Plan.m_MissesWakeUp);
  }

  /// When the reader has the answer to a read that it sent at \p SentAt.
  std::int64_t readEnd(std::int64_t SentAt) const {
    std::int64_t End = SentAt + m_Times.m_ReaderWait.count();
    if (!m_ReaderHasRecord && showsRecord(SentAt, End))
      End = std::max(SentAt, m_Plan.m_AppendedAt);
    End += CallTime;
    return isStopped(End) ? m_Plan.m_ReaderResumesAt : End;
  }

  /// Advances the reader to \p Until: its reads follow one another.
  void advanceReader(std::int64_t Until) {
    while (true) {
      const std::int64_t End = readEnd(m_ReadSentAt);
      if (End > Until || End >= m_Plan.m_ReaderLosesStoreAt)
        return;
      m_ReaderHasRecord = m_ReaderHasRecord || showsRecord(m_ReadSentAt, End);
      m_LastAnswered = m_ReadSentAt;
      m_ReadSentAt = End;
    }
  }

  /// The answer of the reader, at the new \p Now.
  LogAge query(std::int64_t &Now) {
    const std::int64_t WaitEnd = Now + m_Times.m_QueryWait.count();
    const std::int64_t Timeout = WaitEnd + LogQueryTimes::AnswerSlack.count();
    while (++Now < Timeout) {
      if (isStopped(Now))
        continue;
      advanceReader(Now);
      const std::int64_t Age = Now - m_LastAnswered;
      if (m_ReaderHasRecord || Now >= WaitEnd || Age > m_Times.m_MaxAge.count())
        return {m_ReaderHasRecord ? 1U : 0U, Age};
    }
    m_PausedUntil = Now + QueryPause;
    return {};
  }

  /// Reads the log, until the new \p Now. Returns whether this has brought the
  /// record.
  bool readDirectly(std::int64_t &Now) const {
    const std::int64_t SentAt = Now;
    const milliseconds Longest = catalogueWait(ApplyTime);
    Now += Now + Longest.count() < m_PausedUntil
               ? Longest.count()
               : std::min(Longest, m_Times.m_OwnWait).count();
    if (!showsRecord(SentAt, Now)) {
      Now += CallTime;
      return false;
    }
    Now = std::max(SentAt, m_Plan.m_AppendedAt) + CallTime;
    return true;
  }

  const Schedule m_Plan;
  const LogQueryTimes m_Times;
  std::int64_t m_ReadSentAt = 0;
  std::int64_t m_LastAnswered = 0;
  std::int64_t m_PausedUntil = 0;
  bool m_ReaderHasRecord = false;
  bool m_HasFalseBelief = false;
};

// Guards against a configuration that comes into force late, or is taken for
// confirmed though the store holds a newer one, because the host that is asked
// lost the store or stood still.
RC_GTEST_PROP(LogQueryProperties, RecordIsReadInTime, ()) {
  Schedule Plan;
  Plan.m_AppendedAt = *rc::gen::inRange(5000, 15000);
  Plan.m_ReaderLosesStoreAt = *rc::gen::inRange(2000, 30000);
  Plan.m_ReaderStopsAt = *rc::gen::inRange(2000, 30000);
  Plan.m_ReaderResumesAt = Plan.m_ReaderStopsAt + *rc::gen::inRange(0, 10000);
  Plan.m_MissesWakeUp = *rc::gen::arbitrary<bool>();
  LogSimulation Simulation(Plan);
  const std::int64_t ReadAt = Simulation.run();
  RC_ASSERT(!Simulation.hasFalseBelief());
  RC_ASSERT(ReadAt >= Plan.m_AppendedAt);
  RC_ASSERT(ReadAt - Plan.m_AppendedAt <= ApplyTime.count());
}

TEST(LogAgeTest, OldUnreadOrOtherEndIsNotConfirmed) {
  const Instant Sent(seconds(10));
  EXPECT_EQ(confirmedAt(7, {7, 300}, Sent, seconds(1)),
            Sent - milliseconds(300));
  EXPECT_FALSE(confirmedAt(7, {7, 1001}, Sent, seconds(1)));
  EXPECT_FALSE(confirmedAt(7, {7, -1}, Sent, seconds(1)));
  // The store has come back from an older copy, or has more records.
  EXPECT_FALSE(confirmedAt(7, {6, 0}, Sent, seconds(1)));
  EXPECT_FALSE(confirmedAt(7, {8, 0}, Sent, seconds(1)));
}

// Guards against queries where the time to apply a catalogue leaves no room for
// a silent answer and a read after it.
TEST(LogAgeTest, NoQueriesWhereTheyCannotKeepTheTime) {
  EXPECT_FALSE(logQueryTimes(milliseconds(2000)));
  EXPECT_TRUE(logQueryTimes(milliseconds(3000)));
  EXPECT_TRUE(logQueryTimes(milliseconds(4000)));
}

} // namespace
} // namespace sff::serving
