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

constexpr int Slots = 8;
constexpr std::size_t CacheBlocks = 600;
constexpr int PromptGroups = 60;
constexpr double DecodeSeconds = 0.8;
constexpr double BlockSeconds = 0.015; ///< Prefill of one uncached block.
constexpr std::int64_t TokensPerBlock = 16;
constexpr double ReportSeconds = 1;
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

struct Pending {
  Prompt m_Prompt;
  int m_Router;
  double m_At;
  double m_Decode;
};

/// Engine with a limited number of running requests and a prefix cache.
struct Engine {
  int m_Running = 0;
  std::deque<Pending> m_Queue;
  std::list<std::uint64_t> m_Recent; ///< Cached blocks, latest first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_Cache;
  std::uint64_t m_Sequence = 0;
  std::vector<CacheEvent> m_Events;

  int load() const { return m_Running + static_cast<int>(m_Queue.size()); }

  /// Returns the cached blocks of the prompt and caches all of it.
  std::size_t use(const Prompt &Text) {
    std::size_t Hits = 0;
    while (Hits < Text.m_Hashes.size() && m_Cache.contains(Text.m_Hashes[Hits]))
      ++Hits;
    for (const std::uint64_t Block : Text.m_Hashes) {
      if (const auto Found = m_Cache.find(Block); Found != m_Cache.end()) {
        m_Recent.splice(m_Recent.begin(), m_Recent, Found->second);
        continue;
      }
      m_Recent.push_front(Block);
      m_Cache[Block] = m_Recent.begin();
      m_Events.push_back({++m_Sequence, Block, true});
      if (m_Cache.size() <= CacheBlocks)
        continue;
      m_Events.push_back({++m_Sequence, m_Recent.back(), false});
      m_Cache.erase(m_Recent.back());
      m_Recent.pop_back();
    }
    return Hits;
  }
};

struct Router {
  routing::LoadView m_View;
  PrefixIndex m_Index;
  std::vector<std::int64_t> m_Reported;
  std::size_t m_Next = 0;
};

class Run {
public:
  Run(const RoutingOptions &Options, std::uint64_t Seed)
      : m_Options(Options), m_Random(Seed), m_Engines(Options.m_Engines),
        m_Routers(Options.m_Routers) {
    for (int Index = 0; Index < Options.m_Engines; ++Index)
      m_Ids.emplace_back("e" + std::to_string(Index));
    for (Router &Item : m_Routers) {
      Item.m_Reported.assign(Options.m_Engines, 0);
      Item.m_Next = m_Random() % Options.m_Engines;
    }
    for (int Group = 0; Group < PromptGroups; ++Group) {
      const std::size_t Blocks = 8 + m_Random() % 25;
      std::string Text = "group " + std::to_string(Group) + " ";
      Text.resize(Blocks * PrefixIndex::BlockBytes, 'p');
      m_Prefixes.push_back(Text);
      // Popularity falls with the rank.
      m_Popularity.push_back(1.0 / (1 + Group));
    }
  }

  RoutingFigures run() {
    arrive();
    report();
    m_Events.run(RunSeconds);
    RoutingFigures Figures;
    Figures.m_WaitP50 = percentile(m_Waits, 0.5);
    Figures.m_WaitP99 = percentile(m_Waits, 0.99);
    Figures.m_HitShare = m_Hits / std::max(1.0, m_Blocks);
    Figures.m_Imbalance = m_Imbalance;
    return Figures;
  }

private:
  Instant clock() const {
    return Instant(std::chrono::hours(1)) +
           std::chrono::nanoseconds(std::llround(m_Events.now() * 1e9));
  }

  void arrive() {
    // The mean prompt has 24 blocks with its own end of 4.
    const double Capacity =
        m_Options.m_Engines * Slots / (DecodeSeconds + 24 * BlockSeconds);
    m_Events.after(std::exponential_distribution<double>(
                       Capacity * m_Options.m_Load)(m_Random),
                   [this] { arrive(); });
    std::discrete_distribution<int> Group(m_Popularity.begin(),
                                          m_Popularity.end());
    Pending Item;
    Item.m_Prompt.m_Text = m_Prefixes[Group(m_Random)];
    const std::size_t Length =
        Item.m_Prompt.m_Text.size() + 4 * PrefixIndex::BlockBytes;
    Item.m_Prompt.m_Text += std::to_string(++m_Count);
    Item.m_Prompt.m_Text.resize(Length, 'q');
    Item.m_Prompt.m_Hashes = PrefixIndex::blockHashes(Item.m_Prompt.m_Text);
    Item.m_Router = static_cast<int>(m_Random() % m_Options.m_Routers);
    Item.m_At = m_Events.now();
    Item.m_Decode =
        std::exponential_distribution<double>(1 / DecodeSeconds)(m_Random);
    const std::size_t Target = pick(m_Routers[Item.m_Router], Item.m_Prompt);
    m_Routers[Item.m_Router].m_View.onDispatched(m_Ids[Target], clock());
    m_Engines[Target].m_Queue.push_back(std::move(Item));
    serve(Target);
    double Sum = 0;
    for (const Engine &Each : m_Engines)
      Sum += Each.load();
    m_Imbalance = std::max(m_Imbalance, m_Engines[Target].load() -
                                            Sum / m_Options.m_Engines);
  }

  std::size_t pick(Router &From, const Prompt &Text) {
    if (m_Options.m_Routing == Routing::RoundRobin)
      return From.m_Next++ % m_Engines.size();
    if (m_Options.m_Routing == Routing::TrustReports)
      return std::min_element(From.m_Reported.begin(), From.m_Reported.end()) -
             From.m_Reported.begin();
    std::vector<routing::PickCandidate> List;
    for (const EndpointId &Id : m_Ids) {
      const std::size_t Cached =
          m_Options.m_Routing == Routing::Policy
              ? From.m_Index.cachedBlocks(Id, Text.m_Hashes)
              : 0;
      List.push_back({Id, From.m_View.estimate(Id, clock()),
                      static_cast<std::int64_t>(Cached) * TokensPerBlock,
                      false});
    }
    return *routing::pickEndpoint(List, {}, m_Random);
  }

  void serve(std::size_t Index) {
    Engine &Host = m_Engines[Index];
    while (Host.m_Running < Slots && !Host.m_Queue.empty()) {
      const Pending Item = std::move(Host.m_Queue.front());
      Host.m_Queue.pop_front();
      ++Host.m_Running;
      const std::size_t Hits = Host.use(Item.m_Prompt);
      const double All = static_cast<double>(Item.m_Prompt.m_Hashes.size());
      const double Prefill = (All - static_cast<double>(Hits)) * BlockSeconds;
      m_Hits += static_cast<double>(Hits);
      m_Blocks += All;
      m_Waits.push_back(m_Events.now() + Prefill - Item.m_At);
      const double Slow = m_Options.m_SlowEngine && Index == 0 ? 2 : 1;
      m_Events.after(Slow * (Prefill + Item.m_Decode),
                     [this, Index, Router = Item.m_Router] {
                       --m_Engines[Index].m_Running;
                       m_Routers[Router].m_View.onFinished(m_Ids[Index],
                                                           clock());
                       serve(Index);
                     });
    }
  }

  void report() {
    m_Events.after(ReportSeconds, [this] { report(); });
    for (std::size_t Index = 0; Index < m_Engines.size(); ++Index) {
      const int Load = m_Engines[Index].load();
      m_Events.after(m_Options.m_ReportLag, [this, Index, Load] {
        const auto Lag =
            std::chrono::nanoseconds(std::llround(m_Options.m_ReportLag * 1e9));
        for (Router &Item : m_Routers) {
          Item.m_Reported[Index] = Load;
          Item.m_View.onReport(m_Ids[Index], Load, Lag, clock());
        }
      });
      auto Batch = std::exchange(m_Engines[Index].m_Events, {});
      for (Router &Item : m_Routers) {
        if (std::bernoulli_distribution(m_Options.m_EventLoss)(m_Random))
          continue;
        m_Events.after(m_Options.m_EventDelay, [this, &Item, Index, Batch] {
          for (const CacheEvent &Event : Batch)
            Item.m_Index.onEvent(m_Ids[Index], Event.m_Sequence, Event.m_Block,
                                 Event.m_Stored);
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
  std::vector<double> m_Waits;
  std::uint64_t m_Count = 0;
  double m_Hits = 0;
  double m_Blocks = 0;
  double m_Imbalance = 0;
};

} // namespace

RoutingFigures runRouting(const RoutingOptions &Options, std::uint64_t Seed) {
  return Run(Options, Seed).run();
}

} // namespace sff::bench
