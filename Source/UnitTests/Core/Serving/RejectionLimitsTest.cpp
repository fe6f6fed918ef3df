#include "Core/Serving/RejectionLimits.h"

#include <gtest/gtest.h>

namespace sff::serving {
namespace {

using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};
constexpr int Slots = 10;

Endpoint makeEndpoint(const std::string &Id) {
  Endpoint Result;
  Result.m_Registration.m_Id = EndpointId(Id);
  Result.m_Registration.m_Service = "service";
  Result.m_Registration.m_Slots = Slots;
  return Result;
}

CapacityReport makeReport(std::optional<double> MaxRejections,
                          std::optional<std::int64_t> Load) {
  return {MaxRejections, Load, false};
}

class RejectionLimitsTest : public ::testing::Test {
protected:
  /// The requests that may be sent at once.
  int countAllowed(const Endpoint &Target, Instant Now, int Most = 100) {
    int Count = 0;
    while (Count < Most && m_Limits.allows(Target, Now)) {
      m_Limits.onSent(Target, Now);
      ++Count;
    }
    return Count;
  }

  RejectionLimits m_Limits{1};
  Endpoint m_First = makeEndpoint("e1");
  Endpoint m_Second = makeEndpoint("e2");
};

// Guards against a limit where no endpoint has named one.
TEST_F(RejectionLimitsTest, EndpointWithoutALimitTakesAll) {
  m_Limits.onAnswer(m_First, makeReport(std::nullopt, Slots), Start, Start);
  EXPECT_EQ(countAllowed(m_First, Start), 100);
}

// Guards against hosts that fill an endpoint beyond its slots because each of
// them uses all that it reports as free.
TEST_F(RejectionLimitsTest, FreeSlotsAreNotFilledByOneHost) {
  m_Limits.setHosts(10);
  m_Limits.onAnswer(m_First, makeReport(5, 0), Start, Start);
  EXPECT_LT(countAllowed(m_First, Start), Slots);
}

// Guards against requests to an endpoint that has just reported that it is
// full.
TEST_F(RejectionLimitsTest, FullEndpointGetsNoMoreThanItEndures) {
  constexpr int Hosts = 100;
  int Sent = 0;
  for (std::uint64_t Seed = 0; Seed < Hosts; ++Seed) {
    RejectionLimits Limits(Seed);
    Limits.setHosts(Hosts);
    CapacityReport Report = makeReport(20, Slots);
    Report.m_WasRejected = true;
    Limits.onAnswer(m_First, Report, Start, Start);
    for (milliseconds After{0}; After < seconds(1); After += milliseconds(20))
      if (Limits.allows(m_First, Start + After)) {
        Limits.onSent(m_First, Start + After);
        ++Sent;
      }
  }
  EXPECT_LE(Sent, 20);
}

// Guards against hosts that overload the endpoints of a service that have not
// answered since others named the limit.
TEST_F(RejectionLimitsTest, LimitHoldsForOtherEndpointsOfTheService) {
  m_Limits.setHosts(10);
  m_Limits.onAnswer(m_First, makeReport(5, Slots), Start, Start);
  EXPECT_TRUE(m_Limits.limitOf(m_Second, Start).has_value());
  EXPECT_LT(countAllowed(m_Second, Start), Slots);
  Endpoint Other = makeEndpoint("e3");
  Other.m_Registration.m_Service = "other";
  EXPECT_FALSE(m_Limits.limitOf(Other, Start).has_value());
}

// Guards against a limit that stays after its endpoint has withdrawn it, and
// against one that is ended by an answer from before it was named.
TEST_F(RejectionLimitsTest, LaterAnswerWithoutALimitEndsIt) {
  const Instant Later = Start + milliseconds(100);
  EXPECT_TRUE(m_Limits.onAnswer(m_First, makeReport(5, 0), Start, Later));
  EXPECT_FALSE(m_Limits.onAnswer(m_First, makeReport({}, 0), Start, Later));
  EXPECT_TRUE(m_Limits.limitOf(m_First, Later).has_value());
  const Instant Last = Later + milliseconds(100);
  EXPECT_TRUE(m_Limits.onAnswer(m_First, makeReport({}, 0), Later, Last));
  EXPECT_FALSE(m_Limits.limitOf(m_First, Last).has_value());
}

// Guards against a limit of a service that stays when its endpoints are gone.
TEST_F(RejectionLimitsTest, LimitOfTheServiceLapses) {
  m_Limits.onAnswer(m_First, makeReport(5, 0), Start, Start);
  m_Limits.forget(m_First.id());
  EXPECT_TRUE(m_Limits.limitOf(m_Second, Start + seconds(5)).has_value());
  EXPECT_FALSE(m_Limits.limitOf(m_Second, Start + seconds(11)).has_value());
}

// Guards against a host that never sends again to an endpoint that endures no
// rejection, so that it can't learn that the limit has ended.
TEST_F(RejectionLimitsTest, EndpointThatEnduresNoneIsTriedNowAndThen) {
  CapacityReport Report = makeReport(0, Slots);
  Report.m_WasRejected = true;
  m_Limits.onAnswer(m_First, Report, Start, Start);
  bool WasAllowed = false;
  for (seconds After{0}; After < seconds(60); ++After)
    WasAllowed = WasAllowed || m_Limits.allows(m_First, Start + After);
  EXPECT_TRUE(WasAllowed);
}

} // namespace
} // namespace sff::serving
