#include "Core/Routing/RequestSpread.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace sff::routing {
namespace {

// Guards against an equal choice among unequal endpoints, and against requests
// to one that stays slower than the others.
TEST(RequestSpreadTest, LeastTimesRiseToACommonOne) {
  const std::vector<TimedCandidate> List = {{1, 1}, {2, 0.5}, {9, 1}};
  const auto Requests = spreadRequests(List, 4);
  EXPECT_NEAR(Requests[0], 2, 1e-9); // Both rise to 3.
  EXPECT_NEAR(Requests[1], 2, 1e-9);
  EXPECT_EQ(Requests[2], 0);
}

// Guards against a choice among none, and of a candidate without a share.
TEST(RequestSpreadTest, OnlyCandidatesWithAShareAreChosen) {
  std::mt19937_64 Random(1);
  EXPECT_FALSE(pickInProportion({}, Random));
  const std::vector<double> Weights = {0, 3, 1, 0};
  std::vector<int> Chosen(4, 0);
  for (int Count = 0; Count < 400; ++Count)
    ++Chosen[*pickInProportion(Weights, Random)];
  EXPECT_EQ(Chosen[0] + Chosen[3], 0);
  EXPECT_NEAR(Chosen[2], 100, 40);
}

// Guards against requests that are lost or counted twice, and against a share
// for a candidate that ends above one without a share.
RC_GTEST_PROP(RequestSpreadTest, SpreadIsFairForAnyTimes, ()) {
  const auto Numbers =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 1000), rc::gen::inRange(1, 100))));
  std::vector<TimedCandidate> List;
  List.reserve(Numbers.size());
  for (const auto &[Time, PerRequest] : Numbers)
    List.push_back({Time / 100.0, PerRequest / 100.0});
  const double Sent = *rc::gen::inRange(1, 500);
  const auto Requests = spreadRequests(List, Sent);
  RC_ASSERT(std::abs(std::accumulate(Requests.begin(), Requests.end(), 0.0) -
                     Sent) < 1e-6 * Sent);
  double HighestEnd = 0;
  for (std::size_t Index = 0; Index < List.size(); ++Index)
    if (Requests[Index] > 0)
      HighestEnd = std::max(HighestEnd,
                            List[Index].m_Time +
                                Requests[Index] * List[Index].m_TimePerRequest);
  for (std::size_t Index = 0; Index < List.size(); ++Index)
    RC_ASSERT(Requests[Index] > 0 || List[Index].m_Time >= HighestEnd - 1e-6);
}

} // namespace
} // namespace sff::routing
