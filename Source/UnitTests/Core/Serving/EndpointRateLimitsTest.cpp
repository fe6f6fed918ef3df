#include "Core/Serving/EndpointRateLimits.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

namespace sff::serving {
namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr milliseconds Step{20};
constexpr milliseconds Window{4000};
const EndpointId Endpoint("e1");

/// Hosts that share the rate of one endpoint.
class Fleet {
public:
  Fleet(std::size_t Hosts, double PerSecond) {
    for (std::size_t Index = 0; Index < Hosts; ++Index) {
      m_Hosts.emplace_back(Index);
      m_Hosts.back().setHosts(Hosts);
      m_Hosts.back().onAnswer(Endpoint, PerSecond, Start, Start);
    }
  }

  /// Each host sends as many requests as it may between \p From and \p Until.
  void sendAll(Instant From, Instant Until) {
    for (Instant Now = From; Now < Until; Now += Step)
      for (EndpointRateLimits &Host : m_Hosts)
        while (Host.allows(Endpoint, Now)) {
          Host.onSent(Endpoint, Now);
          record(Now);
        }
  }

  std::size_t total() const { return m_Total; }
  std::size_t mostInWindow() const { return m_MostInWindow; }

private:
  void record(Instant Now) {
    ++m_Total;
    m_Recent.push_back(Now);
    while (Now - m_Recent.front() >= Window)
      m_Recent.pop_front();
    m_MostInWindow = std::max(m_MostInWindow, m_Recent.size());
  }

  std::vector<EndpointRateLimits> m_Hosts;
  std::deque<Instant> m_Recent;
  std::size_t m_Total = 0;
  std::size_t m_MostInWindow = 0;
};

struct FleetCase {
  std::size_t m_Hosts;
  double m_PerSecond;

  /// The most requests that the endpoint may get in a window.
  std::size_t bound() const {
    return static_cast<std::size_t>(1.5 * m_PerSecond * toSeconds(Window) + 5);
  }
};

const std::vector<FleetCase> Cases = {
    {1, 0.5},  {1, 20},   {6, 2.6},   {6, 3.8},    {6, 40},
    {59, 3.8}, {59, 200}, {390, 0.5}, {390, 14.2}, {390, 400}};

// Guards against hosts that each use the whole rate, and against a rate that is
// shared but hardly used, at any fleet size and while all hosts have demand.
TEST(EndpointRateLimitsTest, HostsWithSteadyDemandKeepTheRateTogether) {
  constexpr auto Period = std::chrono::seconds(120);
  for (const FleetCase &Case : Cases) {
    Fleet Hosts(Case.m_Hosts, Case.m_PerSecond);
    Hosts.sendAll(Start, Start + Period);
    EXPECT_LE(Hosts.mostInWindow(), Case.bound())
        << Case.m_Hosts << " hosts, " << Case.m_PerSecond << " a second";
    EXPECT_GE(static_cast<double>(Hosts.total()),
              0.6 * Case.m_PerSecond * toSeconds(Period))
        << Case.m_Hosts << " hosts, " << Case.m_PerSecond << " a second";
  }
}

// Guards against hosts that save up their shares while they have no demand and
// use them at the same time.
TEST(EndpointRateLimitsTest, PauseDoesNotSaveUpRequests) {
  for (const FleetCase &Case : Cases) {
    Fleet Hosts(Case.m_Hosts, Case.m_PerSecond);
    for (int Round = 1; Round <= 20; ++Round) {
      const Instant From = Start + Round * std::chrono::seconds(13);
      Hosts.sendAll(From, From + 2 * Window);
    }
    EXPECT_LE(Hosts.mostInWindow(), Case.bound())
        << Case.m_Hosts << " hosts, " << Case.m_PerSecond << " a second";
  }
}

// Guards against an answer that was asked for before the limit was named and
// ends the limit when it arrives late.
TEST(EndpointRateLimitsTest, OnlyLaterAnswersEndTheLimit) {
  EndpointRateLimits Limits(1);
  EXPECT_FALSE(Limits.onAnswer(Endpoint, std::nullopt, Start, Start));
  const Instant Named = Start + milliseconds(100);
  EXPECT_TRUE(Limits.onAnswer(Endpoint, 2, Start, Named));
  EXPECT_FALSE(Limits.onAnswer(Endpoint, 2, Start, Named));
  const Instant Later = Named + milliseconds(100);
  EXPECT_FALSE(Limits.onAnswer(Endpoint, std::nullopt, Start, Later));
  EXPECT_TRUE(Limits.isLimited(Endpoint));
  EXPECT_TRUE(Limits.onAnswer(Endpoint, 3, Named, Later));
  EXPECT_TRUE(Limits.onAnswer(Endpoint, std::nullopt, Later, Later));
  EXPECT_TRUE(Limits.allows(Endpoint, Later));
}

// Guards against a limit of zero that no host can ever see end, because it
// sends nothing.
TEST(EndpointRateLimitsTest, LimitOfZeroIsTriedNowAndThen) {
  EndpointRateLimits Limits(1);
  Limits.onAnswer(Endpoint, 0, Start, Start);
  EXPECT_FALSE(Limits.allows(Endpoint, Start));
  const Duration Wait = Limits.expectedWait(std::vector{Endpoint}, 0, Start);
  EXPECT_LE(Wait, std::chrono::seconds(10));
  EXPECT_TRUE(Limits.allows(Endpoint, Start + Wait + milliseconds(1)));
}

// Guards against callers who are told to return at a time at which others are
// served first.
TEST(EndpointRateLimitsTest, ExpectedWaitCountsTheRequestsThatWait) {
  EndpointRateLimits Limits(1);
  const std::vector<EndpointId> Both = {Endpoint, EndpointId("e2")};
  Limits.onAnswer(Endpoint, 2, Start, Start);
  EXPECT_EQ(Limits.expectedWait(Both, 10, Start), Duration::zero());
  Limits.onAnswer(Both[1], 2, Start, Start);
  const Duration First = Limits.expectedWait(Both, 0, Start);
  EXPECT_GT(First, Duration::zero());
  // The usable rate of both together is 2.8 a second.
  EXPECT_NEAR(toSeconds(Limits.expectedWait(Both, 28, Start) - First), 10,
              0.01);
}

} // namespace
} // namespace sff::serving
