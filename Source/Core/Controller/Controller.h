#pragma once

#include "Controller/EndpointSupervisor.h"
#include "Controller/RecordWriter.h"
#include "Core/Ownership/ClaimPolicy.h"

#include <memory>
#include <optional>
#include <vector>

namespace sff::controller {

/// The controller of one host: holds the lease, claims endpoints, assigns
/// replica slots, orders loads and unloads, and lends memory credits.
/// Thread safety: construct, start and stop from one thread; everything else
/// runs on the control thread.
class Controller {
public:
  explicit Controller(ControllerSettings Settings);
  ~Controller();

  /// Starts to listen and to follow the log. Throws std::runtime_error when
  /// the peer address is in use.
  void start();

  /// Gives up the lease after outstanding orders have ended, so that another
  /// controller can take over at once. Returns when that is done or after a
  /// bounded time.
  void stop();

private:
  struct Waiter {
    messages::BorrowCredits m_Request;
    std::function<void(messages::BorrowCreditsReply)> m_Send;
    Instant m_AnswerBy;
  };

  void registerHandlers();
  void startOnLoop();
  void beginStop(std::function<void()> Done);
  void releaseLease(const std::function<void()> &Done);

  void onApplied(const fold::Record &Record, const fold::ApplyResult &Result,
                 Offset Position);
  void onReplaced();
  void onContact(bool LogReachable);
  void readHosts();

  void tick();
  void renewLease(Instant Now);
  void claimEndpoints(Instant Now);
  void retireEndpoints(Instant Now);
  void planSlots(Instant Now);
  ownership::ClaimContext claimContext(Instant Now) const;
  control::PlanInput planInput(Instant Now) const;

  void onBorrow(messages::BorrowCredits Request,
                std::function<void(messages::BorrowCreditsReply)> Send);
  bool answerBorrow(const Waiter &Item, Instant Now);
  void serveWaiters(Instant Now);

  void requestPermit(const EntryName &Entry, double Value,
                     std::function<void(milliseconds)> Done);
  milliseconds takeReservedPermit(Instant Now);
  peer::Caller &callerFor(const std::string &Address);
  control::Authority authority(Instant Now) const;
  messages::ControllerStatusReply status() const;

  ControllerSettings m_Settings;
  timers::DutyLoop m_Endpoints;
  timers::DutyLoop m_Control;
  timers::TimerService m_Timers;
  peer::Dispatcher m_Dispatcher;
  follower::RelayClient m_Relays;
  follower::StateFollower m_Follower;
  RecordWriter m_Writer;
  EndpointClient m_Client;
  EndpointSupervisor m_Supervisor;
  ownership::LeaseClock m_Lease;
  ownership::LeaseObserver m_Observer;
  loading::EvictionPolicy m_Eviction;
  loading::LoadPermits m_Permits;
  std::vector<timers::Subscription> m_Subscriptions;
  std::vector<messages::EndpointInfo> m_Hosts;
  std::string m_HostsVersion; ///< Hash of the list above.
  std::vector<messages::EndpointInfo> m_Engines;
  std::vector<Waiter> m_Waiters;
  std::map<std::string, std::unique_ptr<peer::Caller>> m_Callers;
  std::vector<IncarnationId> m_KnownGone;
  std::optional<Instant> m_LeaseStarted;
  Instant m_NextSlotPlan;
  Instant m_NextClaimPlan;
  /// Ownership or the host list has changed since the last tick.
  bool m_OwnershipDirty = true;
  /// Something that slots depend on has changed since they were last planned.
  bool m_SlotsDirty = true;
  bool m_HostsReadOpen = false;
  bool m_LogReachable = false;
  bool m_Stopping = false;
};

} // namespace sff::controller
