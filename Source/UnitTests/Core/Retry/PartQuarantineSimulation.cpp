#include "Core/Retry/PartQuarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <random>

namespace sff::retry {
namespace {

constexpr milliseconds Step{5};
constexpr std::size_t MaxParts = 1000;
constexpr milliseconds LogRetention{20000};
/// Time until a record is in the log.
constexpr milliseconds AppendDelay{120};
/// Bounds of the users' rules: from ContactTime after the fifth crash at most
/// MaxLateSends requests with the part may be sent, and from twice that time on
/// at least half of the sound requests with the same first part must begin.
constexpr milliseconds ContactTime{3000};
constexpr std::size_t CrashesBeforeBound = 5;
constexpr int MaxLateSends = 3;
constexpr double MinSoundShare = 0.5;

/// What varies between the simulated days.
struct Scenario {
  std::string m_Name;
  int m_Hosts = 6;
  int m_Endpoints = 14;
  double m_RequestsPerSecond = 50;
  double m_CrashingShare = 0.03;
  int m_CrashingParts = 1; ///< Parts that crash endpoints, at the same time.
  /// Number of different parts at each shared position of a prompt.
  std::vector<int> m_PartCounts = {1, 200};
  std::size_t m_CrashingPosition = 1;
  milliseconds m_RunTime{700};
  milliseconds m_CrashDelay{100};
  milliseconds m_RestartTime{3500};
  milliseconds m_ReadInterval{500}; ///< Between two reads of the log.
  milliseconds m_Length{40000};
  /// All endpoints but m_Survivors end once at this time, by no request.
  std::optional<milliseconds> m_OutageAt = {};
  std::size_t m_Survivors = 1;
  /// One host loses what it knows at this time and reads the retained log.
  std::optional<milliseconds> m_HostRestartAt = {};
  bool m_UsesProofs = true;
};

struct Outcome {
  std::size_t m_Crashes = 0; ///< Of all crashing parts together.
  int m_LateSends = 0;       ///< Of the crashing part that has most.
  int m_SoundRequests = 0;   ///< From twice the contact time on.
  int m_SoundSends = 0;
  int m_AllSoundRequests = 0; ///< Of the whole day.
  int m_AllSoundSends = 0;

  double soundShare() const {
    return m_SoundRequests == 0 ? 1.0
                                : static_cast<double>(m_SoundSends) /
                                      static_cast<double>(m_SoundRequests);
  }
  double allSoundShare() const {
    return static_cast<double>(m_AllSoundSends) /
           std::max(m_AllSoundRequests, 1);
  }
};

/// Plays hosts that share what they learn over a log with delays, and endpoints
/// that requests with certain parts crash. No network and no clock.
class Simulation {
public:
  Simulation(Scenario Spec, unsigned Seed)
      : m_Spec(std::move(Spec)), m_Random(Seed),
        m_Endpoints(static_cast<std::size_t>(m_Spec.m_Endpoints)) {
    for (int Host = 0; Host < m_Spec.m_Hosts; ++Host)
      m_Hosts.emplace_back(MaxParts);
    m_Cursors.resize(m_Hosts.size());
  }

  Outcome run() {
    const Instant End = m_Now + m_Spec.m_Length;
    while (m_Now < End) {
      readLog();
      advanceRuns();
      std::poisson_distribution<int> Arrivals(m_Spec.m_RequestsPerSecond *
                                              toSeconds(Step));
      for (int Count = Arrivals(m_Random); Count > 0; --Count)
        arrive();
      if (m_Spec.m_OutageAt && m_Now - Start >= *m_Spec.m_OutageAt)
        playOutage();
      if (m_Spec.m_HostRestartAt && m_Now - Start >= *m_Spec.m_HostRestartAt)
        restartHost();
      m_Now += Step;
    }
    return m_Outcome;
  }

private:
  static constexpr Instant Start{std::chrono::hours(1)};

  struct Run {
    std::size_t m_Host = 0;
    std::vector<PromptPartId> m_Parts;
    std::optional<int> m_Crashing; ///< The crashing part that it holds.
    Instant m_BegunAt;
  };
  struct Endpoint {
    int m_Incarnation = 1;
    Instant m_UpAt;
    std::vector<Run> m_Runs;
  };
  /// What the users count for a part that crashes endpoints.
  struct CrashingPart {
    std::size_t m_Crashes = 0;
    std::optional<Instant> m_FifthCrashAt;
    int m_LateSends = 0;
  };
  /// A record of the log that the hosts share.
  struct Record {
    enum class Kind { Crash, Proof, Trial } m_Kind;
    PartCrash m_Crash;
    PartTrial m_Trial;
    Instant m_AppendedAt;
  };
  struct Cursor {
    std::size_t m_Next = 0;
    Instant m_ReadAt;
  };

  int pick(int Count) {
    return std::uniform_int_distribution<int>(0, Count - 1)(m_Random);
  }
  static IncarnationId nameOf(std::size_t Host) {
    return IncarnationId(std::to_string(Host));
  }

  Run makeRun() {
    Run Result;
    Result.m_Host = static_cast<std::size_t>(pick(m_Spec.m_Hosts));
    if (std::bernoulli_distribution(m_Spec.m_CrashingShare)(m_Random))
      Result.m_Crashing = pick(m_Spec.m_CrashingParts);
    for (std::size_t Position = 0; Position < m_Spec.m_PartCounts.size();
         ++Position) {
      const int Sound = pick(m_Spec.m_PartCounts[Position]);
      std::string Name = std::to_string(Position) + "-" + std::to_string(Sound);
      if (Result.m_Crashing && Position == m_Spec.m_CrashingPosition)
        Name = "crashing" + std::to_string(*Result.m_Crashing);
      Result.m_Parts.emplace_back(std::move(Name));
    }
    return Result;
  }

  void arrive() {
    Run Incoming = makeRun();
    const bool IsCounted = !Incoming.m_Crashing && isSoundTime();
    m_Outcome.m_SoundRequests += IsCounted ? 1 : 0;
    m_Outcome.m_AllSoundRequests += Incoming.m_Crashing ? 0 : 1;
    std::vector<Endpoint *> Up;
    for (Endpoint &Item : m_Endpoints)
      if (Item.m_UpAt <= m_Now)
        Up.push_back(&Item);
    if (Up.empty() || !mayBeSent(Incoming))
      return;
    m_Outcome.m_SoundSends += IsCounted ? 1 : 0;
    m_Outcome.m_AllSoundSends += Incoming.m_Crashing ? 0 : 1;
    if (Incoming.m_Crashing)
      countSend(Incoming);
    Incoming.m_BegunAt = m_Now;
    Up[static_cast<std::size_t>(pick(static_cast<int>(Up.size())))]
        ->m_Runs.push_back(std::move(Incoming));
  }

  void countSend(const Run &Sent) {
    CrashingPart &Part = m_CrashingParts[*Sent.m_Crashing];
    // The users' rule excuses a host that has started within the contact time.
    const bool IsExcused = Sent.m_Host == 0 && m_HostRestartedAt &&
                           m_Now - *m_HostRestartedAt < ContactTime;
    if (Part.m_FifthCrashAt && !IsExcused &&
        m_Now - *Part.m_FifthCrashAt >= ContactTime)
      ++Part.m_LateSends;
    m_Outcome.m_LateSends = std::max(m_Outcome.m_LateSends, Part.m_LateSends);
  }

  /// Whether sound requests must be sent again: the time since the fifth crash
  /// of each crashing part, or its last if there are fewer, or since an outage.
  bool isSoundTime() const { return m_SoundFrom && m_Now >= *m_SoundFrom; }

  bool mayBeSent(const Run &Incoming) {
    PartQuarantine &Host = m_Hosts[Incoming.m_Host];
    const auto Part = Host.findRejected(Incoming.m_Parts, m_Now);
    if (!Part)
      return true;
    if (Host.takeTrial(*Part, nameOf(Incoming.m_Host), m_Now))
      return true;
    shareAgain(Host, *Part);
    if (const auto Due = Host.dueTrial(*Part, nameOf(Incoming.m_Host), m_Now))
      announce(*Due);
    return false;
  }

  void shareAgain(PartQuarantine &Host, const PromptPartId &Part) {
    const std::vector<PartCrash> Crashes =
        Host.crashesToShareAgain(Part, m_Now);
    for (const PartCrash &Crash : Crashes)
      append(Record::Kind::Crash, Crash);
    if (const auto Trial = Host.lastTrial(Part); Trial && !Crashes.empty())
      m_Log.push_back({Record::Kind::Trial, {}, *Trial, m_Now + AppendDelay});
  }

  void append(Record::Kind What, const PartCrash &Crash) {
    m_Log.push_back({What, Crash, {}, m_Now + AppendDelay});
  }

  void announce(const PartTrial &Trial) {
    const bool IsPending = std::ranges::any_of(m_Log, [&](const Record &Item) {
      return Item.m_Kind == Record::Kind::Trial &&
             Item.m_Trial.m_Part == Trial.m_Part &&
             Item.m_Trial.m_Host == Trial.m_Host &&
             Item.m_Trial.m_Number == Trial.m_Number;
    });
    if (!IsPending)
      m_Log.push_back({Record::Kind::Trial, {}, Trial, m_Now + AppendDelay});
  }

  /// All hosts read the log in the same order, each at its own times.
  void readLog() {
    for (std::size_t Host = 0; Host < m_Hosts.size(); ++Host) {
      Cursor &Position = m_Cursors[Host];
      const bool HasNext = Position.m_Next < m_Log.size() &&
                           m_Log[Position.m_Next].m_AppendedAt <= m_Now;
      if (!HasNext || m_Now < Position.m_ReadAt)
        continue;
      for (; Position.m_Next < m_Log.size() &&
             m_Log[Position.m_Next].m_AppendedAt <= m_Now;
           ++Position.m_Next)
        apply(m_Log[Position.m_Next], m_Hosts[Host]);
      Position.m_ReadAt = m_Now + m_Spec.m_ReadInterval;
    }
  }

  void apply(const Record &Item, PartQuarantine &Reader) const {
    Reader.onShared(Item.m_Crash.m_Part, m_Now);
    if (Item.m_Kind == Record::Kind::Crash)
      Reader.addCrash(Item.m_Crash, m_Now);
    else if (Item.m_Kind == Record::Kind::Proof)
      Reader.addProof(Item.m_Crash, m_Now);
    else
      Reader.addTrial(Item.m_Trial, m_Now);
  }

  void advanceRuns() {
    for (Endpoint &Item : m_Endpoints) {
      const bool Crashes = std::ranges::any_of(Item.m_Runs, [&](const Run &R) {
        return R.m_Crashing && m_Now - R.m_BegunAt >= m_Spec.m_CrashDelay;
      });
      if (Crashes)
        onCrashByPart(Item);
      std::erase_if(Item.m_Runs, [&](const Run &Running) {
        if (m_Now - Running.m_BegunAt < m_Spec.m_RunTime)
          return false;
        complete(Running);
        return true;
      });
    }
  }

  void complete(const Run &Finished) {
    if (!m_Spec.m_UsesProofs)
      return;
    PartQuarantine &Host = m_Hosts[Finished.m_Host];
    for (const PartCrash &Proof :
         Host.onCompleted(Finished.m_Parts, Finished.m_BegunAt, m_Now))
      append(Record::Kind::Proof, Proof);
  }

  void onCrashByPart(Endpoint &Item) {
    ++m_Outcome.m_Crashes;
    const auto Cause = std::ranges::find_if(Item.m_Runs, [&](const Run &R) {
      return R.m_Crashing && m_Now - R.m_BegunAt >= m_Spec.m_CrashDelay;
    });
    CrashingPart &Part = m_CrashingParts[*Cause->m_Crashing];
    if (++Part.m_Crashes <= CrashesBeforeBound)
      m_SoundFrom = m_Now + 2 * ContactTime;
    if (Part.m_Crashes == CrashesBeforeBound)
      Part.m_FifthCrashAt = m_Now;
    crash(Item);
  }

  void crash(Endpoint &Item) {
    const EndpointCrash Id{
        EndpointId(std::to_string(&Item - m_Endpoints.data())),
        IncarnationId(std::to_string(Item.m_Incarnation++))};
    Item.m_UpAt = m_Now + m_Spec.m_RestartTime;
    const std::vector<Run> Ended = std::exchange(Item.m_Runs, {});
    for (const Run &Lost : Ended)
      for (std::size_t Position = 0; Position < Lost.m_Parts.size(); ++Position)
        reportCrash(Lost, {Lost.m_Parts[Position], Id,
                           static_cast<std::int64_t>(Position)});
  }

  void reportCrash(const Run &Lost, const PartCrash &Ended) {
    if (m_Hosts[Lost.m_Host].addCrash(Ended, m_Now))
      append(Record::Kind::Crash, Ended);
  }

  void playOutage() {
    for (std::size_t Index = m_Spec.m_Survivors; Index < m_Endpoints.size();
         ++Index)
      crash(m_Endpoints[Index]);
    m_Spec.m_OutageAt.reset();
    m_SoundFrom = m_Now + 2 * ContactTime;
  }

  void restartHost() {
    m_Hosts.front() = PartQuarantine(MaxParts);
    const auto Retained = std::ranges::find_if(m_Log, [&](const Record &Item) {
      return m_Now - Item.m_AppendedAt < LogRetention;
    });
    m_Cursors.front() = {static_cast<std::size_t>(Retained - m_Log.begin()),
                         m_Now};
    m_HostRestartedAt = m_Now;
    m_Spec.m_HostRestartAt.reset();
  }

  Scenario m_Spec;
  std::mt19937 m_Random;
  Instant m_Now = Start;
  std::vector<Endpoint> m_Endpoints;
  std::vector<PartQuarantine> m_Hosts;
  std::vector<Record> m_Log;
  std::vector<Cursor> m_Cursors;
  std::map<int, CrashingPart> m_CrashingParts;
  std::optional<Instant> m_SoundFrom;
  std::optional<Instant> m_HostRestartedAt; ///< Of the first host.
  Outcome m_Outcome;
};

std::vector<Scenario> scenarios() {
  std::vector<Scenario> Result;
  Result.push_back({.m_Name = "record"});
  Result.push_back({.m_Name = "few at once", .m_RequestsPerSecond = 8});
  Result.push_back({.m_Name = "many at once",
                    .m_RequestsPerSecond = 200,
                    .m_CrashingShare = 0.01,
                    .m_RunTime = milliseconds(2000)});
  Result.push_back({.m_Name = "a tenth is crashing", .m_CrashingShare = 0.1});
  Result.push_back({.m_Name = "one shared part and the crashing one",
                    .m_PartCounts = {1, 1}});
  Result.push_back({.m_Name = "four shared parts",
                    .m_PartCounts = {1, 5, 50, 500},
                    .m_CrashingPosition = 2});
  Result.push_back({.m_Name = "two crashing parts",
                    .m_CrashingShare = 0.06,
                    .m_CrashingParts = 2});
  Result.push_back({.m_Name = "first part of half the traffic",
                    .m_CrashingShare = 0.5,
                    .m_CrashingPosition = 0});
  Result.push_back({.m_Name = "two crashing parts end all endpoints at once",
                    .m_Hosts = 2,
                    .m_Endpoints = 4,
                    .m_RequestsPerSecond = 30,
                    .m_CrashingShare = 0.4,
                    .m_CrashingParts = 2});
  Result.push_back({.m_Name = "many hosts",
                    .m_Hosts = 60,
                    .m_Endpoints = 80,
                    .m_RequestsPerSecond = 400});
  Result.push_back(
      {.m_Name = "slow log", .m_ReadInterval = milliseconds(1500)});
  Result.push_back({.m_Name = "outage without a crashing part",
                    .m_CrashingShare = 0,
                    .m_OutageAt = milliseconds(5000)});
  Result.push_back({.m_Name = "whole outage without a crashing part",
                    .m_CrashingShare = 0,
                    .m_OutageAt = milliseconds(5000),
                    .m_Survivors = 0});
  Result.push_back({.m_Name = "long day", .m_Length = milliseconds(120000)});
  Result.push_back({.m_Name = "a host restarts",
                    .m_Length = milliseconds(80000),
                    .m_HostRestartAt = milliseconds(50000)});
  return Result;
}

/// The worst of some days of a scenario with different seeds.
struct Summary {
  std::size_t m_MedianCrashes = 0;
  std::size_t m_MostCrashes = 0;
  int m_MostLateSends = 0;
  double m_LeastSoundShare = 1;
  double m_LeastAllSoundShare = 1;

  bool keepsRules() const {
    return m_MostLateSends <= MaxLateSends &&
           m_LeastSoundShare >= MinSoundShare;
  }
};

std::ostream &operator<<(std::ostream &Out, const Summary &Item) {
  return Out << "crashes median " << Item.m_MedianCrashes << ", most "
             << Item.m_MostCrashes << "; late sends, most "
             << Item.m_MostLateSends << "; sound requests sent, least "
             << Item.m_LeastSoundShare << ", of the whole day "
             << Item.m_LeastAllSoundShare;
}

Summary play(const Scenario &Spec) {
  constexpr unsigned Seeds = 20;
  Summary Result;
  std::vector<std::size_t> Crashes;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    const Outcome Day = Simulation(Spec, Seed).run();
    Crashes.push_back(Day.m_Crashes);
    Result.m_MostLateSends = std::max(Result.m_MostLateSends, Day.m_LateSends);
    Result.m_LeastSoundShare =
        std::min(Result.m_LeastSoundShare, Day.soundShare());
    Result.m_LeastAllSoundShare =
        std::min(Result.m_LeastAllSoundShare, Day.allSoundShare());
  }
  std::ranges::sort(Crashes);
  Result.m_MedianCrashes = Crashes[Seeds / 2];
  Result.m_MostCrashes = Crashes.back();
  std::cout << Spec.m_Name << ": " << Result << "\n";
  return Result;
}

// Guards against rules that hold for one mix of requests only: too many sends
// of requests that crash endpoints, or sound requests that are rejected with
// them.
TEST(PartQuarantineSimulation, KeepsBothSidesOfTheRule) {
  for (const Scenario &Spec : scenarios())
    EXPECT_TRUE(play(Spec).keepsRules()) << Spec.m_Name;
}

// Guards against proofs that could be left out: without them, an outage rejects
// the shared parts.
TEST(PartQuarantineSimulation, BreaksTheRuleWithoutProofs) {
  Scenario Spec{.m_Name = "outage, without proofs"};
  Spec.m_CrashingShare = 0;
  Spec.m_OutageAt = milliseconds(5000);
  Spec.m_UsesProofs = false;
  EXPECT_FALSE(play(Spec).keepsRules());
}

} // namespace
} // namespace sff::retry
