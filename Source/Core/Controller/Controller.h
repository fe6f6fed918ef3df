#pragma once

#include "Controller/EndpointSupervisor.h"
#include "Controller/RecordWriter.h"
#include "Core/Ownership/ClaimPolicy.h"

#include <memory>
#include <optional>
#include <vector>

namespace sff::controller {

/// The controller of one host. Renews its lease, claims endpoints, assigns
/// replica slots, sends load and unload orders, and lends memory credits.
/// Thread safety: construct, start and stop on one thread. Everything else runs
/// on the control thread.
class Controller {
public:
  explicit Controller(ControllerSettings Settings);
  ~Controller();

  /// Starts to listen for messages and to follow the log. Throws
  /// std::runtime_error when the peer address is in use.
  void start();

  /// Waits for outstanding orders to end and then releases the lease, so that
  /// another controller can take over without waiting for it to expire. Blocks
  /// until this is done or has timed out.
  void stop();

private:
  /// A request for credits that waits for a load or for free memory.
  struct PendingBorrow {
    messages::BorrowCredits m_Request;
    std::function<void(messages::BorrowCreditsReply)> m_Send;
    Instant m_ReplyDeadline;
  };

  void registerHandlers();
  void startOnControlThread();
  void beginStop(std::function<void()> Done);
  void releaseLease(const std::function<void()> &Done);

  void onApplied(const fold::Record &Record, const fold::ApplyResult &Result,
                 Offset Position);
  void onStateReplaced();
  void onLogReachability(bool LogReachable);
  void readHosts();

  void tick();
  void renewLeaseIfDue(Instant Now);
  void claimEndpoints(Instant Now);
  void retireEndpoints(Instant Now);
  void planSlots(Instant Now);
  ownership::ClaimContext claimContext(Instant Now) const;
  control::PlanInput planInput(Instant Now) const;

  void onBorrowCredits(messages::BorrowCredits Request,
                       std::function<void(messages::BorrowCreditsReply)> Send);
  bool tryAnswerBorrow(const PendingBorrow &Item, Instant Now);
  void answerPendingBorrows(Instant Now);

  void requestPermit(const EntryName &Entry, double Value,
                     std::function<void(milliseconds)> Done);
  milliseconds takeReservedPermit(Instant Now);
  peer::PeerClient &peerClient(const std::string &Address);
  control::Authority authority(Instant Now) const;
  messages::ControllerStatusReply status() const;

  ControllerSettings m_Settings;
  timers::EventLoop m_EndpointLoop;
  timers::EventLoop m_ControlLoop;
  timers::TimerService m_Timers;
  peer::Dispatcher m_Dispatcher;
  follower::RelayClient m_Relays;
  follower::StateFollower m_Follower;
  RecordWriter m_RecordWriter;
  EndpointClient m_EndpointClient;
  EndpointSupervisor m_Supervisor;
  ownership::LeaseClock m_Lease;
  ownership::LeaseObserver m_Observer;
  loading::EvictionPolicy m_Eviction;
  loading::LoadPermits m_Permits;
  std::vector<timers::TimerHandle> m_Subscriptions;
  std::vector<messages::EndpointInfo> m_Hosts;
  std::string m_HostsVersion; ///< Hash of m_Hosts.
  std::vector<messages::EndpointInfo> m_EngineEndpoints;
  std::vector<PendingBorrow> m_PendingBorrows;
  std::map<std::string, std::unique_ptr<peer::PeerClient>> m_PeerClients;
  std::vector<IncarnationId> m_TerminatedControllers;
  std::optional<Instant> m_LeaseFirstHeldAt;
  Instant m_NextSlotPlan;
  Instant m_NextClaimPlan;
  /// True if ownership or the host list has changed since the last tick.
  bool m_OwnershipDirty = true;
  /// True if an input of the slot plan has changed since the last plan.
  bool m_SlotsDirty = true;
  bool m_HostsReadInFlight = false;
  bool m_LogReachable = false;
  bool m_Stopping = false;
};

} // namespace sff::controller
