#pragma once

#include "Common/Settings/Schema.h"
#include "Router/CrashRegistry.h"
#include "Router/IntentService.h"
#include "Router/LoadPoller.h"
#include "Router/RequestScheduler.h"

#include <atomic>

namespace sff::router {

/// The event loop for peers and routing decisions: cluster view, credits,
/// placement, intents and requests from other processes.
/// Thread safety: construct, start() and stop() from the owning thread;
/// everything else on the loop's own thread, except where noted.
class RoutingCore {
public:
  /// Throws std::runtime_error if the peer address cannot be bound.
  RoutingCore(const settings::Settings &Values,
              const log::ProcessIdentity &Identity);
  ~RoutingCore();

  /// Starts to follow the cluster and to serve peers.
  void start();
  /// Stops serving peers, then stops the event loop.
  void stop();

  timers::EventLoop &loop() { return m_Loop; }
  ClusterView &view() { return m_View; }
  RequestScheduler &scheduler() { return m_Scheduler; }
  CreditBorrower &credits() { return m_Credits; }
  IntentService &intents() { return m_Intents; }
  CrashRegistry &crashes() { return m_Crashes; }

  /// Statistics for other threads, refreshed every 100 ms.
  struct Stats {
    std::atomic<bool> m_RelayReached{false};
    std::atomic<bool> m_LogReachable{false};
    std::atomic<std::int64_t> m_Waiting{0};
    std::atomic<std::int64_t> m_Running{0};
    std::atomic<std::uint64_t> m_AppliedOffset{0};
  };
  /// Thread safety: any thread.
  const Stats &stats() const { return m_Stats; }

private:
  void registerHandlers();
  void refreshStats();

  timers::EventLoop m_Loop;
  PeerConnectionPool m_Peers;
  follower::RelayClient m_Relays;
  ClusterView m_View;
  EndpointRegistry m_Registry;
  CrashRegistry m_Crashes;
  CreditBorrower m_Credits;
  RequestScheduler m_Scheduler;
  OutcomeStore m_Outcomes;
  IntentService m_Intents;
  LoadPoller m_Loads;
  peer::Dispatcher m_Dispatcher;
  std::string m_PeerAddress;
  timers::TimerService m_Timers;
  timers::TimerHandle m_StatsTimer;
  Stats m_Stats;
};

} // namespace sff::router
