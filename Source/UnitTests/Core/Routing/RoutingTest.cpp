#include "Core/Routing/EndpointPicker.h"
#include "Core/Routing/PrefixIndex.h"

#include <gtest/gtest.h>

namespace sff::routing {
namespace {

using std::chrono::seconds;

constexpr Instant Start{std::chrono::hours(1)};
const EndpointId Endpoint("e");

// Guards against a late report that hides requests sent after it was made.
TEST(LoadViewTest, LateReportDoesNotHideLaterDispatches) {
  LoadEstimator View;
  View.onDispatched(Endpoint, Start);
  View.onDispatched(Endpoint, Start + seconds(2));
  View.onReport(Endpoint, 5, seconds(2), Start + seconds(3));
  EXPECT_EQ(View.estimate(Endpoint, Start + seconds(3)), 6);
  View.onFinished(Endpoint, Start + seconds(4));
  EXPECT_EQ(View.estimate(Endpoint, Start + seconds(4)), 5);
}

// Guards against an older report that overwrites a newer one.
TEST(LoadViewTest, OlderReportIsIgnored) {
  LoadEstimator View;
  View.onReport(Endpoint, 1, seconds(0), Start);
  View.onReport(Endpoint, 9, seconds(5), Start + seconds(1));
  EXPECT_EQ(View.estimate(Endpoint, Start + seconds(1)), 1);
}

// Guards against changes that accumulate while an endpoint sends no reports.
TEST(LoadViewTest, EstimateIsExactWithoutReports) {
  LoadEstimator View;
  for (int Request = 0; Request < 5000; ++Request) {
    View.onDispatched(Endpoint, Start);
    if (Request >= 3)
      View.onFinished(Endpoint, Start);
  }
  EXPECT_EQ(View.estimate(Endpoint, Start), 3);
}

// Guards against a choice that ignores load, cached prefix or credit.
TEST(PickEndpointTest, BestScoreIsChosen) {
  std::mt19937_64 Random(1);
  const EndpointId Other("f");
  const ScoreWeights Weights;
  EXPECT_FALSE(pickEndpoint({}, Weights, Random));
  for (int Round = 0; Round < 20; ++Round) {
    EXPECT_EQ(pickEndpoint(std::vector<PickCandidate>{{Endpoint, 2, 0, false},
                                                      {Other, 1, 0, false}},
                           Weights, Random),
              1u);
    EXPECT_EQ(
        pickEndpoint(std::vector<PickCandidate>{{Endpoint, 2, 1000, false},
                                                {Other, 1, 0, false}},
                     Weights, Random),
        0u);
    EXPECT_EQ(pickEndpoint(std::vector<PickCandidate>{{Endpoint, 1, 0, false},
                                                      {Other, 1.5, 0, true}},
                           Weights, Random),
              1u);
  }
}

// Guards against routers that all choose the first of several equal endpoints,
// and against comparing only two random endpoints, which misses the best of
// many.
TEST(PickEndpointTest, BestOfManyIsChosenAndTiesAreSpread) {
  std::mt19937_64 Random(1);
  std::vector<PickCandidate> List(6, {Endpoint, 3, 0, false});
  std::vector<int> Chosen(6, 0);
  for (int Round = 0; Round < 600; ++Round)
    ++Chosen[*pickEndpoint(List, {}, Random)];
  for (const int Count : Chosen)
    EXPECT_NEAR(Count, 100, 50);
  List[4].m_Load = 1;
  for (int Round = 0; Round < 20; ++Round)
    EXPECT_EQ(pickEndpoint(List, {}, Random), 4u);
}

// Guards against an old report that outweighs the mean of the earlier reports.
TEST(LoadViewTest, EstimateFromAnOldReportApproachesTheMean) {
  LoadEstimator View;
  for (int Second = 0; Second < 50; ++Second)
    View.onReport(Endpoint, 2, seconds(0), Start + seconds(Second));
  View.onReport(Endpoint, 10, seconds(0), Start + seconds(50));
  EXPECT_EQ(View.estimate(Endpoint, Start + seconds(50)), 10);
  EXPECT_LT(View.estimate(Endpoint, Start + seconds(55)), 3);
}

// Guards against a hash that covers only its own block, so that equal blocks
// with different prefixes count as cached.
TEST(PrefixIndexTest, HashCoversAllPrecedingText) {
  const std::string Block(PrefixIndex::BlockBytes, 'x');
  const std::string Other(PrefixIndex::BlockBytes, 'y');
  const auto First = PrefixIndex::blockHashes(Block + Block + "rest");
  ASSERT_EQ(First.size(), 2u);
  EXPECT_NE(First[0], First[1]);
  EXPECT_NE(First[1], PrefixIndex::blockHashes(Other + Block)[1]);
  // FNV-1a of 64 'x' characters, computed with an independent implementation.
  EXPECT_EQ(First[0], 0xb96a5acbb56db825);
}

// Guards against a missed removal event after which blocks that the engine has
// evicted stay in the index.
TEST(PrefixIndexTest, SequenceGapDiscardsEarlierBlocks) {
  const std::string Prompt(PrefixIndex::BlockBytes * 2, 'x');
  const auto Hashes = PrefixIndex::blockHashes(Prompt);
  PrefixIndex Index;
  Index.onEvent(Endpoint, 1, Hashes[0], true);
  Index.onEvent(Endpoint, 2, Hashes[1], true);
  EXPECT_EQ(Index.cachedBlocks(Endpoint, Prompt), 2u);
  Index.onEvent(Endpoint, 2, Hashes[1], false);
  EXPECT_EQ(Index.cachedBlocks(Endpoint, Prompt), 2u);
  Index.onEvent(Endpoint, 4, Hashes[0], true);
  EXPECT_EQ(Index.cachedBlocks(Endpoint, Prompt), 1u);
  Index.onEvent(Endpoint, 5, Hashes[0], false);
  EXPECT_EQ(Index.cachedBlocks(Endpoint, Prompt), 0u);
}

} // namespace
} // namespace sff::routing
