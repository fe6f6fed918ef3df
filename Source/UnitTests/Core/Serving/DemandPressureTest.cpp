#include "Core/Serving/DemandPressure.h"
#include "Core/Serving/EndpointSpeeds.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

const Instant Start{std::chrono::seconds(1000)};
constexpr std::size_t Hosts = 71;

PressureReport makeReport(int Host, double Signs, double Requests) {
  return {HostId("h" + std::to_string(Host)),
          {{"a", Signs}},
          {{"a", Requests}},
          milliseconds(500)};
}

// Guards against more than one report in 500 ms from a host whose requests all
// meet full endpoints.
TEST(PressureSignsTest, LastingPressureIsReportedTwiceASecond) {
  PressureSigns Signs;
  int Reports = 0;
  for (milliseconds Passed{0}; Passed < milliseconds(10000);
       Passed += milliseconds(10)) {
    const Instant Now = Start + Passed;
    Signs.onSign("a", Now);
    const auto Due = Signs.reportDue(Hosts);
    if (Due && *Due <= Now) {
      EXPECT_GT(Signs.take(Now)["a"], 0);
      ++Reports;
    }
  }
  EXPECT_GE(Reports, 18);
  EXPECT_LE(Reports, 21);
}

// Guards against additional reports of hosts whose endpoints have room.
TEST(PressureSignsTest, NothingIsDueWithoutPressure) {
  PressureSigns Signs;
  EXPECT_TRUE(Signs.onRequest(Start));
  Signs.take(Start);
  for (int Second = 1; Second < 60; ++Second) {
    EXPECT_FALSE(Signs.onRequest(Start + std::chrono::seconds(Second)));
    EXPECT_FALSE(Signs.reportDue(Hosts));
  }
}

// Guards against a holder of many hosts that gets hundreds of early reports in
// a second.
TEST(PressureSignsTest, ManyHostsReportLessOften) {
  PressureSigns Signs;
  Signs.take(Start);
  Signs.onSign("a", Start);
  EXPECT_EQ(Signs.reportDue(400), Start + milliseconds(2000));
}

// Guards against replicas for one send that followed an outdated estimate.
TEST(DemandPressureTest, SingleSignIsNoPressure) {
  DemandPressure Pressure;
  Pressure.onReport(makeReport(1, 1, 5), Start);
  EXPECT_FALSE(Pressure.isUnderPressure("a", Start));
  Pressure.onReport(makeReport(2, 1, 5), Start);
  EXPECT_TRUE(Pressure.isUnderPressure("a", Start));
}

// Guards against the average over several seconds that showed an eighth of the
// demand half a second after it had moved.
TEST(DemandPressureTest, RateIsThatOfTheLatestReports) {
  DemandPressure Pressure;
  for (int Host = 0; Host < 10; ++Host)
    Pressure.onReport(makeReport(Host, 2, 4), Start);
  EXPECT_DOUBLE_EQ(Pressure.rate("a", Start), 80);
  // A second report of a host replaces its first one.
  Pressure.onReport(makeReport(0, 2, 0), Start + milliseconds(500));
  EXPECT_DOUBLE_EQ(Pressure.rate("a", Start + milliseconds(500)), 72);
  EXPECT_DOUBLE_EQ(Pressure.rate("a", Start + milliseconds(3000)), 0);
}

// Guards against the eviction of replicas in the gap between two peaks.
TEST(DemandPressureTest, ReplicasAreKeptForAWhile) {
  DemandPressure Pressure;
  Pressure.onReport(makeReport(1, 9, 9), Start);
  const Instant Later = Start + milliseconds(4000);
  EXPECT_FALSE(Pressure.isUnderPressure("a", Later));
  EXPECT_TRUE(Pressure.mustKeepReplicas("a", Later));
  EXPECT_FALSE(Pressure.mustKeepReplicas("a", Start + milliseconds(6000)));
}

// Guards against reports of an older build, which name no interval.
TEST(DemandPressureTest, ReportWithoutIntervalGivesNoRate) {
  DemandPressure Pressure;
  PressureReport Report = makeReport(1, 9, 9);
  Report.m_Interval = Duration::zero();
  Pressure.onReport(Report, Start);
  EXPECT_DOUBLE_EQ(Pressure.rate("a", Start), 0);
}

// Guards against the eviction of the most popular model 0.2 s after the demand
// had begun, and against loads that wait for hosts that have no requests.
TEST(DemandKnowledgeTest, DemandIsUnknownUntilHostsHaveReported) {
  DemandKnowledge Knowledge;
  EXPECT_FALSE(Knowledge.isKnown(4, Start));
  Knowledge.onDemand(Start);
  EXPECT_FALSE(Knowledge.isKnown(4, Start + milliseconds(220)));
  EXPECT_TRUE(Knowledge.isKnown(4, Start + DemandKnowledge::MaxUnknownTime));
  for (const char *Host : {"a", "b", "b"})
    Knowledge.onReport(HostId(Host), Start + milliseconds(250));
  EXPECT_FALSE(Knowledge.isKnown(4, Start + milliseconds(250)));
  Knowledge.onReport(HostId("c"), Start + milliseconds(300));
  EXPECT_TRUE(Knowledge.isKnown(4, Start + milliseconds(300)));
}

// Guards against a wrong speed from routes of different length.
TEST(EndpointSpeedsTest, SpeedIsRelativeToRequestsOfTheSameRoute) {
  WorkMeter Meter;
  EndpointSpeeds Speeds;
  for (int Round = 0; Round < 200; ++Round) {
    Meter.onCompleted("short", EndpointId("usual"), milliseconds(100));
    Meter.onCompleted("long", EndpointId("usual"), milliseconds(3000));
    Meter.onCompleted("long", EndpointId("other"), milliseconds(3000));
    Meter.onCompleted("short", EndpointId("other"), milliseconds(100));
    Meter.onCompleted("short", EndpointId("slow"), milliseconds(182));
  }
  for (const auto &[Endpoint, Work] : Meter.take())
    Speeds.add(Endpoint, Work, Start);
  EXPECT_NEAR(Speeds.speed(EndpointId("usual"), Start), 1, 0.1);
  EXPECT_NEAR(Speeds.speed(EndpointId("slow"), Start), 0.7, 0.15);
  EXPECT_DOUBLE_EQ(Speeds.speed(EndpointId("unknown"), Start), 1);
  // Nothing is known of an endpoint without recent work.
  EXPECT_DOUBLE_EQ(
      Speeds.speed(EndpointId("slow"), Start + std::chrono::seconds(60)), 1);
}

} // namespace
} // namespace sff::serving
