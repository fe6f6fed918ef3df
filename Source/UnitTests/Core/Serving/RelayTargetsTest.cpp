#include "Core/Serving/RelayTargets.h"

#include <gtest/gtest.h>

#include <vector>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Tick{1};
constexpr int Draws = 200;
const HostId First("h1");
const HostId Second("h2");
const HostId Third("h3");

/// The hosts that are chosen in many draws.
std::set<HostId> chosenHosts(RelayTargets &Targets,
                             const std::set<HostId> &Tried, Instant Now) {
  std::set<HostId> Result;
  for (int Draw = 0; Draw < Draws; ++Draw)
    if (const auto Chosen = Targets.choose(Tried, Now))
      Result.insert(*Chosen);
  return Result;
}

class RelayTargetsTest : public testing::Test {
protected:
  void name(const std::vector<HostId> &Hosts, Instant Now) {
    m_Targets.onNamed(Hosts, Now);
  }
  std::set<HostId> chosen(Instant Now, const std::set<HostId> &Tried = {}) {
    return chosenHosts(m_Targets, Tried, Now);
  }

  RelayTargets m_Targets{1};
};

// Guards against a request that is sent to a host nobody has named.
TEST_F(RelayTargetsTest, NothingIsChosenWithoutHosts) {
  EXPECT_EQ(m_Targets.choose({}, Start), std::nullopt);
}

// Guards against hosts that get no requests though they take them.
TEST_F(RelayTargetsTest, AllNamedHostsAreChosen) {
  name({First, Second, Third}, Start);
  EXPECT_EQ(chosen(Start), (std::set<HostId>{First, Second, Third}));
}

// Guards against a request that uses up its tries at one host.
TEST_F(RelayTargetsTest, TriedHostIsNotChosen) {
  name({First, Second, Third}, Start);
  EXPECT_EQ(chosen(Start, {First}), (std::set<HostId>{Second, Third}));
  EXPECT_EQ(chosen(Start, {First, Third}), std::set<HostId>{Second});
  EXPECT_EQ(m_Targets.choose({First, Second, Third}, Start), std::nullopt);
}

// Guards against a tried host that is taken because it has the least load.
TEST_F(RelayTargetsTest, TriedHostIsNotChosenForItsLoad) {
  name({First, Second, Third}, Start);
  m_Targets.onSent(Second);
  m_Targets.onSent(Third);
  EXPECT_EQ(chosen(Start, {First}), (std::set<HostId>{Second, Third}));
}

// Guards against each request being declined by the same host first.
TEST_F(RelayTargetsTest, PausedHostIsNotChosen) {
  name({First, Second, Third}, Start);
  m_Targets.onFailed(First, Start);
  const Instant Last = Start + RelayTargets::PauseAfterFailure - Tick;
  EXPECT_EQ(chosen(Start), (std::set<HostId>{Second, Third}));
  EXPECT_EQ(chosen(Last), (std::set<HostId>{Second, Third}));
}

// Guards against a paused host that is taken because there is no other.
TEST_F(RelayTargetsTest, PausedHostIsNotChosenWhereThereIsNoOther) {
  name({First}, Start);
  m_Targets.onFailed(First, Start);
  EXPECT_EQ(m_Targets.choose({}, Start), std::nullopt);
}

// Guards against a host that gets nothing any more after it declined once.
TEST_F(RelayTargetsTest, PauseEnds) {
  name({First, Second}, Start);
  m_Targets.onFailed(First, Start);
  EXPECT_EQ(chosen(Start + RelayTargets::PauseAfterFailure),
            (std::set<HostId>{First, Second}));
}

// Guards against a pause that ends because other hosts name the host: they do
// not know that it declined.
TEST_F(RelayTargetsTest, NamingDoesNotEndAPause) {
  name({First, Second}, Start);
  m_Targets.onFailed(First, Start);
  name({First, Second}, Start + Tick);
  EXPECT_EQ(chosen(Start + Tick), std::set<HostId>{Second});
}

// Guards against a pause that ends early when the host declines again.
TEST_F(RelayTargetsTest, FurtherFailureExtendsThePause) {
  name({First, Second}, Start);
  m_Targets.onFailed(First, Start);
  m_Targets.onFailed(First, Start + milliseconds(500));
  EXPECT_EQ(chosen(Start + RelayTargets::PauseAfterFailure),
            std::set<HostId>{Second});
}

// Guards against hosts that are gone but use up the tries of requests.
TEST_F(RelayTargetsTest, HostsNotNamedForLongAreDropped) {
  name({First, Second}, Start);
  name({Second}, Start + RelayTargets::MaxAge);
  EXPECT_EQ(m_Targets.size(), 2U);
  name({Second}, Start + RelayTargets::MaxAge + Tick);
  EXPECT_EQ(m_Targets.size(), 1U);
  EXPECT_EQ(chosen(Start + RelayTargets::MaxAge + Tick),
            std::set<HostId>{Second});
}

// Guards against hosts that are dropped for their age though they still run.
TEST_F(RelayTargetsTest, NamedHostsAreKept) {
  const Instant End = Start + 4 * RelayTargets::MaxAge;
  for (Instant Now = Start; Now < End; Now += RelayTargets::MaxAge / 2)
    name({First, Second}, Now);
  EXPECT_EQ(m_Targets.size(), 2U);
}

// Guards against losing count of the requests at a host that is dropped and
// named again while they run.
TEST_F(RelayTargetsTest, HostWithRequestsIsNotDropped) {
  name({First}, Start);
  m_Targets.onSent(First);
  name({}, Start + 2 * RelayTargets::MaxAge);
  EXPECT_EQ(m_Targets.size(), 1U);
  m_Targets.onFinished(First);
  name({}, Start + 2 * RelayTargets::MaxAge);
  EXPECT_EQ(m_Targets.size(), 0U);
}

// Guards against an entry that the end of a call makes for an unknown host.
TEST_F(RelayTargetsTest, EventsOfUnknownHostsAddNone) {
  m_Targets.onFailed(First, Start);
  m_Targets.onFinished(First);
  EXPECT_EQ(m_Targets.size(), 0U);
}

// Guards against a choice that ignores what runs at the hosts already.
TEST_F(RelayTargetsTest, LessLoadedOfTwoIsTaken) {
  name({First, Second}, Start);
  m_Targets.onSent(First);
  EXPECT_EQ(chosen(Start), std::set<HostId>{Second});
  m_Targets.onSent(Second);
  EXPECT_EQ(chosen(Start), (std::set<HostId>{First, Second}));
  m_Targets.onSent(Second);
  EXPECT_EQ(chosen(Start), std::set<HostId>{First});
}

// Guards against requests that count at a host after they have ended.
TEST_F(RelayTargetsTest, FinishedRequestsDoNotCount) {
  name({First, Second}, Start);
  m_Targets.onSent(First);
  m_Targets.onFinished(First);
  EXPECT_EQ(chosen(Start), (std::set<HostId>{First, Second}));
}

// Guards against all hosts choosing the one with the least load at once: of
// three, the second best is taken when the best is not among the two.
TEST_F(RelayTargetsTest, MostLoadedOfThreeIsNeverTaken) {
  name({First, Second, Third}, Start);
  m_Targets.onSent(Second);
  m_Targets.onSent(Third);
  m_Targets.onSent(Third);
  EXPECT_EQ(chosen(Start), (std::set<HostId>{First, Second}));
}

} // namespace
} // namespace sff::serving
