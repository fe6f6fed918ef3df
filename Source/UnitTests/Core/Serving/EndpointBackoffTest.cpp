#include "Core/Serving/EndpointBackoff.h"

#include <gtest/gtest.h>

#include <vector>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Short{1000};
constexpr milliseconds Long{5000};

Endpoint makeEndpoint(std::int64_t StartedAtMs = 1,
                      const std::string &Id = "e1") {
  Endpoint Result;
  Result.m_Registration.m_Id = EndpointId(Id);
  Result.m_Registration.m_Incarnation = {StartedAtMs};
  return Result;
}

bool turnAway(EndpointBackoff &Backoff, const Endpoint &From, Duration For,
              Instant Now) {
  return Backoff.onTurnedAway(From.id(), From.m_Registration.m_Incarnation, For,
                              Now);
}

// Guards against requests to an endpoint within the time that it has named, and
// against an endpoint that stays out of use after it.
TEST(EndpointBackoffTest, EndpointGetsNothingUntilTheEndOfTheTime) {
  EndpointBackoff Backoff;
  const Endpoint First = makeEndpoint();
  EXPECT_TRUE(Backoff.allows(First, Start));
  EXPECT_TRUE(turnAway(Backoff, First, Long, Start));
  EXPECT_FALSE(Backoff.allows(First, Start));
  EXPECT_FALSE(Backoff.allows(First, Start + Long - milliseconds(1)));
  EXPECT_TRUE(Backoff.allows(First, Start + Long));
}

// Guards against a later, shorter time that ends an earlier one: the endpoint
// holds this host to both.
TEST(EndpointBackoffTest, LatestEndCounts) {
  EndpointBackoff Backoff;
  const Endpoint First = makeEndpoint();
  turnAway(Backoff, First, Long, Start);
  EXPECT_FALSE(turnAway(Backoff, First, Short, Start + Short));
  EXPECT_EQ(Backoff.remaining(First, Start + Short), Long - Short);
  EXPECT_TRUE(turnAway(Backoff, First, Long, Start + Short));
  EXPECT_EQ(Backoff.remaining(First, Start + Short), Long);
}

// Guards against an endpoint that takes itself out of use for ever with an
// absurd time, and against times that have no length.
TEST(EndpointBackoffTest, AbsurdTimesAreBounded) {
  EndpointBackoff Backoff;
  const Endpoint First = makeEndpoint();
  EXPECT_FALSE(turnAway(Backoff, First, Duration::zero(), Start));
  EXPECT_FALSE(turnAway(Backoff, First, -Long, Start));
  EXPECT_TRUE(Backoff.allows(First, Start));
  EXPECT_TRUE(turnAway(Backoff, First, std::chrono::hours(100000), Start));
  EXPECT_EQ(Backoff.remaining(First, Start), EndpointBackoff::MaxRetryAfter);
}

// Guards against a new process under the same id that is kept from requests
// because of what the one before it has asked for, and against a late answer of
// the old process.
TEST(EndpointBackoffTest, TimeEndsWithTheProcess) {
  EndpointBackoff Backoff;
  const Endpoint Old = makeEndpoint(1);
  const Endpoint New = makeEndpoint(2);
  turnAway(Backoff, Old, Long, Start);
  EXPECT_TRUE(Backoff.allows(New, Start));
  turnAway(Backoff, New, Short, Start);
  EXPECT_FALSE(turnAway(Backoff, Old, Long, Start));
  EXPECT_EQ(Backoff.remaining(New, Start), Short);
}

// Guards against a caller who is told to come back later than the first
// endpoint takes requests again.
TEST(EndpointBackoffTest, ShortestTimeOfSeveralEndpoints) {
  EndpointBackoff Backoff;
  const Endpoint First = makeEndpoint(1, "e1");
  const Endpoint Second = makeEndpoint(1, "e2");
  const std::vector<const Endpoint *> Both = {&First, &Second};
  turnAway(Backoff, First, Long, Start);
  EXPECT_EQ(Backoff.shortest(Both, Start), Duration::zero());
  turnAway(Backoff, Second, Short, Start);
  EXPECT_EQ(Backoff.shortest(Both, Start), Short);
}

} // namespace
} // namespace sff::serving
