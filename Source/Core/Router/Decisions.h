#pragma once

#include "Common/Settings/Schema.h"
#include "Router/CrashRegistry.h"
#include "Router/IntentService.h"
#include "Router/LoadPoller.h"
#include "Router/RequestScheduler.h"

#include <atomic>

namespace sff::router {

/// The duty for peers and decisions: cluster view, credits, placement, intents
/// and the answers to other processes.
/// Thread safety: construct, start() and stop() from the owning thread;
/// everything else on the duty's own thread, except where noted.
class Decisions {
public:
  /// Throws std::runtime_error when the peer address cannot be bound.
  Decisions(const settings::Settings &Values,
            const log::ProcessIdentity &Identity);
  ~Decisions();

  /// Starts to follow the cluster and to answer peers.
  void start();
  /// Stops to answer peers, then the duty.
  void stop();

  timers::DutyLoop &loop() { return m_Loop; }
  ClusterView &view() { return m_View; }
  RequestScheduler &broker() { return m_Scheduler; }
  CreditBorrower &credits() { return m_Credits; }
  IntentService &intents() { return m_Intents; }
  CrashRegistry &crashes() { return m_Crashes; }

  /// Figures for other threads, refreshed every second.
  struct Figures {
    std::atomic<bool> m_Contact{false};
    std::atomic<bool> m_LogReachable{false};
    std::atomic<std::int64_t> m_Waiting{0};
    std::atomic<std::int64_t> m_Running{0};
    std::atomic<std::uint64_t> m_AppliedOffset{0};
  };
  /// Thread safety: any thread.
  const Figures &figures() const { return m_Figures; }

private:
  void registerHandlers();
  void refreshFigures();

  timers::DutyLoop m_Loop;
  ControllerPool m_Peers;
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
  timers::Subscription m_FiguresTimer;
  Figures m_Figures;
};

} // namespace sff::router
