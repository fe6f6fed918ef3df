#include "RoutingRun.h"

#include "Core/Routing/EndpointPicker.h"
#include "Core/Routing/PrefixIndex.h"
#include "EventQueue.h"
#include "Report.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <unordered_map>

namespace sff::bench {
namespace {

using routing::PrefixIndex;

constexpr int SlotsPerEngine = 8;
constexpr std::size_t CacheBlocks = 600;
constexpr int PromptGroups = 60;
constexpr double DecodeSeconds = 0.8;
/// Prefill of one uncached block.
constexpr double PrefillBlockSeconds = 0.015;
constexpr std::int64_t TokensPerBlock = 16;
constexpr double ReportIntervalSeconds = 1;
constexpr double RunSeconds = 600;

struct CacheEvent {
  std::uint64_t m_Sequence;
  std::uint64_t m_Block;
  bool m_Stored;
};

struct Prompt {
  std::string m_Text;
  std::vector<std::uint64_t> m_Hashes;
};

struct QueuedRequest {
  Prompt m_Prompt;
  int m_Router;
  double m_ArrivalTime;
  double m_DecodeSeconds;
};

/// Engine with a limited number of running requests and a prefix cache.
struct Engine {
  int m_RunningCount = 0;
  std::deque<QueuedRequest> m_Queue;
  /// Cached blocks, most recently used first.
  std::list<std::uint64_t> m_LruBlocks;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_Cache;
  std::uint64_t m_Sequence = 0;
  std::vector<CacheEvent> m_UnreportedEvents;

  int load() const { return m_RunningCount + static_cast<int>(m_Queue.size()); }

  /// Returns the number of leading blocks of the prompt that are cached, and
  /// caches the whole prompt.
  std::size_t lookUpAndCache(const Prompt &Text) {
    std::size_t Hits = 0;
    while (Hits < Text.m_Hashes.size() && m_Cache.contains(Text.m_Hashes[Hits]))
      ++Hits;
    for (const std::uint64_t Block : Text.m_Hashes) {
      if (const auto Found = m_Cache.find(Block); Found != m_Cache.end()) {
        m_LruBlocks.splice(m_LruBlocks.begin(), m_LruBlocks, Found->second);
        continue;
      }
      m_LruBlocks.push_front(Block);
      m_Cache[Block] = m_LruBlocks.begin();
      m_UnreportedEvents.push_back({++m_Sequence, Block, true});
      if (m_Cache.size() <= CacheBlocks)
        continue;
      m_UnreportedEvents.push_back({++m_Sequence, m_LruBlocks.back(), false});
      m_Cache.erase(m_LruBlocks.back());
      m_LruBlocks.pop_back();
    }
    return Hits;
  }
};

struct Router {
  routing::LoadEstimator m_View;
  PrefixIndex m_Index;
  std::vector<std::int64_t> m_ReportedLoads;
  std::size_t m_NextEngine = 0;
};

class RoutingRun {
public:
  RoutingRun(const RoutingOptions &Options, std::uint64_t Seed)
      : m_Options(Options), m_Random(Seed), m_Engines(Options.m_Engines),
        m_Routers(Options.m_Routers) {
    for (int Index = 0; Index < Options.m_Engines; ++Index)
      m_Ids.emplace_back("e" + std::to_string(Index));
    for (Router &Item : m_Routers) {
      Item.m_ReportedLoads.assign(Options.m_Engines, 0);
      Item.m_NextEngine = m_Random() % Options.m_Engines;
    }
    for (int Group = 0; Group < PromptGroups; ++Group) {
      const std::size_t Blocks = 8 + m_Random() % 25;
      std::string Text = "group " + std::to_string(Group) + " ";
      Text.resize(Blocks * PrefixIndex::BlockBytes, 'p');
      m_Prefixes.push_back(Text);
      // Popularity is inversely proportional to the rank.
      m_Popularity.push_back(1.0 / (1 + Group));
    }
  }

  RoutingMetrics run() {
    onArrival();
    publishReports();
    m_Events.run(RunSeconds);
    RoutingMetrics Metrics;
    Metrics.m_WaitP50 = percentile(m_WaitSeconds, 0.5);
    Metrics.m_WaitP99 = percentile(m_WaitSeconds, 0.99);
    Metrics.m_HitRate = m_HitBlocks / std::max(1.0, m_PromptBlocks);
    Metrics.m_MaxImbalance = m_MaxImbalance;
    return Metrics;
  }

private:
  Instant clock() const {
    return Instant(std::chrono::hours(1)) +
           std::chrono::nanoseconds(std::llround(m_Events.now() * 1e9));
  }

  void onArrival() {
    // The mean prompt has 24 blocks; the last 4 are not shared with others.
    const double Capacity = m_Options.m_Engines * SlotsPerEngine /
                            (DecodeSeconds + 24 * PrefillBlockSeconds);
    m_Events.scheduleAfter(std::exponential_distribution<double>(
                               Capacity * m_Options.m_LoadFraction)(m_Random),
                           [this] { onArrival(); });
    std::discrete_distribution<int> Group(m_Popularity.begin(),
                                          m_Popularity.end());
    QueuedRequest Item;
    Item.m_Prompt.m_Text = m_Prefixes[Group(m_Random)];
    const std::size_t Length =
        Item.m_Prompt.m_Text.size() + 4 * PrefixIndex::BlockBytes;
    Item.m_Prompt.m_Text += std::to_string(++m_RequestCount);
    Item.m_Prompt.m_Text.resize(Length, 'q');
    Item.m_Prompt.m_Hashes = PrefixIndex::blockHashes(Item.m_Prompt.m_Text);
    Item.m_Router = static_cast<int>(m_Random() % m_Options.m_Routers);
    Item.m_ArrivalTime = m_Events.now();
    Item.m_DecodeSeconds =
        std::exponential_distribution<double>(1 / DecodeSeconds)(m_Random);
    const std::size_t Target =
        pickEngine(m_Routers[Item.m_Router], Item.m_Prompt);
    m_Routers[Item.m_Router].m_View.onDispatched(m_Ids[Target], clock());
    m_Engines[Target].m_Queue.push_back(std::move(Item));
    startQueued(Target);
    double TotalLoad = 0;
    for (const Engine &Each : m_Engines)
      TotalLoad += Each.load();
    m_MaxImbalance =
        std::max(m_MaxImbalance,
                 m_Engines[Target].load() - TotalLoad / m_Options.m_Engines);
  }

  std::size_t pickEngine(Router &Source, const Prompt &Text) {
    if (m_Options.m_Mode == RoutingMode::RoundRobin)
      return Source.m_NextEngine++ % m_Engines.size();
    if (m_Options.m_Mode == RoutingMode::LeastReportedLoad)
      return std::min_element(Source.m_ReportedLoads.begin(),
                              Source.m_ReportedLoads.end()) -
             Source.m_ReportedLoads.begin();
    std::vector<routing::PickCandidate> List;
    for (const EndpointId &Id : m_Ids) {
      const std::size_t Cached =
          m_Options.m_Mode == RoutingMode::LoadAndPrefix
              ? Source.m_Index.cachedBlocks(Id, Text.m_Hashes)
              : 0;
      List.push_back({Id, Source.m_View.estimate(Id, clock()),
                      static_cast<std::int64_t>(Cached) * TokensPerBlock,
                      false});
    }
    return *routing::pickEndpoint(List, {}, m_Random);
  }

  void startQueued(std::size_t Index) {
    Engine &Target = m_Engines[Index];
    while (Target.m_RunningCount < SlotsPerEngine && !Target.m_Queue.empty()) {
      const QueuedRequest Item = std::move(Target.m_Queue.front());
      Target.m_Queue.pop_front();
      ++Target.m_RunningCount;
      const std::size_t Hits = Target.lookUpAndCache(Item.m_Prompt);
      const double TotalBlocks =
          static_cast<double>(Item.m_Prompt.m_Hashes.size());
      const double Prefill =
          (TotalBlocks - static_cast<double>(Hits)) * PrefillBlockSeconds;
      m_HitBlocks += static_cast<double>(Hits);
      m_PromptBlocks += TotalBlocks;
      m_WaitSeconds.push_back(m_Events.now() + Prefill - Item.m_ArrivalTime);
      const double Slowdown = m_Options.m_SlowEngine && Index == 0 ? 2 : 1;
      m_Events.scheduleAfter(Slowdown * (Prefill + Item.m_DecodeSeconds),
                             [this, Index, Router = Item.m_Router] {
                               --m_Engines[Index].m_RunningCount;
                               m_Routers[Router].m_View.onFinished(m_Ids[Index],
                                                                   clock());
                               startQueued(Index);
                             });
    }
  }

  void publishReports() {
    m_Events.scheduleAfter(ReportIntervalSeconds, [this] { publishReports(); });
    for (std::size_t Index = 0; Index < m_Engines.size(); ++Index) {
      const int Load = m_Engines[Index].load();
      m_Events.scheduleAfter(m_Options.m_ReportLagSeconds, [this, Index, Load] {
        const auto Lag = std::chrono::nanoseconds(
            std::llround(m_Options.m_ReportLagSeconds * 1e9));
        for (Router &Item : m_Routers) {
          Item.m_ReportedLoads[Index] = Load;
          Item.m_View.onReport(m_Ids[Index], Load, Lag, clock());
        }
      });
      auto Batch = std::exchange(m_Engines[Index].m_UnreportedEvents, {});
      for (Router &Item : m_Routers) {
        if (std::bernoulli_distribution(m_Options.m_EventLossRate)(m_Random))
          continue;
        m_Events.scheduleAfter(
            m_Options.m_EventDelaySeconds, [this, &Item, Index, Batch] {
              for (const CacheEvent &Event : Batch)
                Item.m_Index.onEvent(m_Ids[Index], Event.m_Sequence,
                                     Event.m_Block, Event.m_Stored);
            });
      }
    }
  }

  RoutingOptions m_Options;
  std::mt19937_64 m_Random;
  EventQueue m_Events;
  std::vector<Engine> m_Engines;
  std::vector<Router> m_Routers;
  std::vector<EndpointId> m_Ids;
  std::vector<std::string> m_Prefixes;
  std::vector<double> m_Popularity;
  std::vector<double> m_WaitSeconds;
  std::uint64_t m_RequestCount = 0;
  double m_HitBlocks = 0;
  double m_PromptBlocks = 0;
  double m_MaxImbalance = 0;
};

} // namespace

RoutingMetrics runRouting(const RoutingOptions &Options, std::uint64_t Seed) {
  return RoutingRun(Options, Seed).run();
}

} // namespace sff::bench
