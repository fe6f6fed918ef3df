#include "Core/Routing/SpeedEstimator.h"

#include <gtest/gtest.h>

namespace sff::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};
const EndpointId First("e");
const EndpointId Second("f");
const WorkSize Usual{"stream", 1, 1};

class SpeedEstimatorTest : public testing::Test {
protected:
  /// Lets both endpoints answer \p Times times, the first one \p Factor times
  /// as slowly as the second one.
  void answer(int Times, double Factor) {
    for (int Count = 0; Count < Times; ++Count) {
      m_Now += milliseconds(100);
      m_Speeds.onAnswer(Second, Usual, milliseconds(100), m_Now);
      m_Speeds.onAnswer(First, Usual, fromSeconds(0.1 * Factor), m_Now);
    }
  }

  SpeedEstimator m_Speeds;
  Instant m_Now = Start;
};

// Guards against a latest report that still counts when the speed has changed
// many times since.
TEST_F(SpeedEstimatorTest, ReportFadesToTheMeanOfTheReports) {
  for (int Count = 0; Count < 100; ++Count, m_Now += milliseconds(100))
    m_Speeds.onReport(First, 2, m_Now);
  m_Speeds.onReport(First, 10, m_Now);
  EXPECT_NEAR(m_Speeds.slowness(First, m_Now), 10, 0.01);
  EXPECT_NEAR(m_Speeds.slowness(First, m_Now + seconds(1)), 2.5, 0.5);
  EXPECT_EQ(m_Speeds.reportAge(First, m_Now + seconds(1)), seconds(1));
}

// Guards against an endpoint that is avoided for ever because it was slow when
// it last answered.
TEST_F(SpeedEstimatorTest, SlownessFadesWithoutReports) {
  m_Speeds.onReport(First, 10, m_Now);
  EXPECT_LT(m_Speeds.slowness(First, m_Now + seconds(30)), 1.1);
}

// Guards against trust in an endpoint that reports the usual time and is five
// times as slow.
TEST_F(SpeedEstimatorTest, FalseReportIsCorrectedByTheAnswers) {
  m_Speeds.onReport(First, 1, m_Now);
  m_Speeds.onReport(Second, 1, m_Now);
  answer(20, 5);
  EXPECT_GT(m_Speeds.slowness(First, m_Now), 2.5);
  EXPECT_NEAR(m_Speeds.slowness(Second, m_Now), 1, 0.3);
  answer(30, 1);
  EXPECT_LT(m_Speeds.slowness(First, m_Now), 1.3);
}

// Guards against corrections by noise.
TEST_F(SpeedEstimatorTest, SmallDifferencesAreIgnored) {
  m_Speeds.onReport(First, 1, m_Now);
  answer(20, 1.2);
  EXPECT_EQ(m_Speeds.slowness(First, m_Now), 1);
}

// Guards against load and long prompts that look like a slow endpoint.
TEST_F(SpeedEstimatorTest, AnswersAreNormalisedToLoadAndWork) {
  m_Speeds.onReport(First, 1, m_Now);
  for (int Count = 0; Count < 20; ++Count) {
    m_Speeds.onAnswer(Second, Usual, milliseconds(50), m_Now);
    m_Speeds.onAnswer(First, {"stream", 3, 2}, milliseconds(300), m_Now);
  }
  EXPECT_EQ(m_Speeds.slowness(First, m_Now), 1);
  EXPECT_NEAR(
      toSeconds(*m_Speeds.expectedFirstByte(First, {"stream", 2, 2}, m_Now)),
      0.2, 0.001);
  EXPECT_FALSE(m_Speeds.expectedFirstByte(First, {"other", 1, 1}, m_Now));
}

} // namespace
} // namespace sff::routing
