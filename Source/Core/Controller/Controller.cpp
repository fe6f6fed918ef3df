#include "Controller/Controller.h"

#include "Common/Time/Clock.h"
#include "Core/Messages/CommonMessages.h"
#include "Core/Ownership/TerminatedControllers.h"
#include "Core/Placement/SlotPlanner.h"

#include <algorithm>
#include <future>

namespace sff::controller {

namespace {

constexpr std::size_t ControlRingCapacity = 8192;
constexpr std::size_t EndpointRingCapacity = 1024;
constexpr std::size_t ParallelPeerRequests = 256;
constexpr milliseconds TickPeriod{50};
constexpr milliseconds SlotPlanPeriod{200};
/// Limits the cost of planning claims, which takes about 0.4 ms for 2,000
/// endpoints.
constexpr milliseconds ClaimPlanPeriod{250};
constexpr milliseconds StopTimeout{10000};
constexpr milliseconds StopPollPeriod{50};
constexpr milliseconds ReleaseTimeout{2000};
/// A lender in another availability zone responds within a few milliseconds. A
/// longer timeout would delay cold starts when it does not respond.
constexpr milliseconds PermitTimeout{150};

} // namespace

Controller::Controller(ControllerSettings Settings)
    : m_Settings(std::move(Settings)),
      m_EndpointLoop("endpoints", EndpointRingCapacity),
      m_ControlLoop("control", ControlRingCapacity),
      m_Timers(m_ControlLoop.context().get_executor()),
      m_Dispatcher(m_ControlLoop), m_Relays(m_ControlLoop, m_Settings.m_Relays),
      m_Follower(
          m_ControlLoop, m_Relays,
          {[this](Offset Position, const fold::Record &Record,
                  const fold::ApplyResult &Result) {
             onApplied(Record, Result, Position);
           },
           [this] { onStateReplaced(); },
           [this](bool Reachable, Offset) { onLogReachability(Reachable); }}),
      m_RecordWriter(m_Relays), m_EndpointClient(m_EndpointLoop, m_ControlLoop),
      m_Supervisor(
          m_Settings, m_EndpointClient,
          [this](const EntryName &Entry, double Value,
                 std::function<void(milliseconds)> Done) {
            requestPermit(Entry, Value, std::move(Done));
          },
          [this] { return authority(now()); }),
      m_Lease(m_Settings.m_LeaseTimes), m_Observer(m_Settings.m_LeaseTimes),
      m_Eviction(m_Settings.m_Eviction),
      m_Permits(m_Settings.m_LoadsPerSecond, m_Settings.m_ParallelLoads,
                m_Settings.m_ReservedShare) {}

Controller::~Controller() {
  m_Dispatcher.stop();
  m_EndpointLoop.stop();
  m_ControlLoop.stop();
}

void Controller::start() {
  registerHandlers();
  m_Dispatcher.start(m_Settings.m_PeerAddress, ParallelPeerRequests);
  m_ControlLoop.postCompletion([this] { startOnControlThread(); });
}

void Controller::registerHandlers() {
  m_Dispatcher.on<messages::BorrowCredits>(
      [this](messages::BorrowCredits Request, auto Send) {
        onBorrowCredits(std::move(Request), std::move(Send));
      });
  m_Dispatcher.on<messages::ReturnCredits>(
      [this](const messages::ReturnCredits &Request, const auto &Send) {
        Send(messages::Acknowledgement{
            m_Supervisor.returnCredits(Request, now())});
        answerPendingBorrows(now());
      });
  m_Dispatcher.on<messages::AcquireLoadPermit>(
      [this](const messages::AcquireLoadPermit &, const auto &Send) {
        const milliseconds Wait = m_Permits.tryAcquire(now());
        Send(messages::LoadPermitReply{Wait == milliseconds(0), Wait});
      });
  m_Dispatcher.on<messages::ControllerStatus>(
      [this](const messages::ControllerStatus &, const auto &Send) {
        Send(status());
      });
  m_Dispatcher.on<messages::ListEndpoints>(
      [this](const messages::ListEndpoints &Request, const auto &Send) {
        const bool Known =
            !m_HostsVersion.empty() && Request.m_KnownVersion == m_HostsVersion;
        Send(messages::ListEndpointsReply{
            m_HostsVersion, Known,
            Known ? std::vector<messages::EndpointInfo>() : m_Hosts});
      });
  m_Dispatcher.on<messages::FetchEvents>(
      [](const messages::FetchEvents &Request, const auto &Send) {
        Send(messages::FetchEventsReply{log::recorder().eventsAfter(
            Request.m_After, static_cast<std::size_t>(Request.m_Limit))});
      });
}

void Controller::startOnControlThread() {
  m_Follower.start();
  readHosts();
  m_Subscriptions.push_back(m_Timers.every(TickPeriod, [this] { tick(); }));
  m_Subscriptions.push_back(
      m_Timers.every(m_Settings.m_HostListPeriod, [this] { readHosts(); }));
}

void Controller::stop() {
  std::promise<void> Stopped;
  m_ControlLoop.postCompletion(
      [this, &Stopped] { beginStop([&Stopped] { Stopped.set_value(); }); });
  Stopped.get_future().wait();
}

void Controller::beginStop(std::function<void()> Done) {
  m_Stopping = true;
  log::info(log::Category::Process, "controller.stopping");
  answerPendingBorrows(now());
  const Instant Deadline = now() + StopTimeout;
  m_Subscriptions.push_back(m_Timers.every(
      StopPollPeriod, [this, Done, Deadline, Released = false]() mutable {
        const bool MustWait =
            m_Supervisor.hasOutstandingOrders() && now() < Deadline;
        if (Released || MustWait)
          return;
        Released = true;
        releaseLease(Done);
      }));
}

void Controller::releaseLease(const std::function<void()> &Done) {
  const fold::LeaseRelease Release{makeId<RecordId>(),
                                   m_Settings.m_Incarnation};
  m_Relays.append(follower::ControlStream, fold::toJson(Release),
                  ReleaseTimeout,
                  [Done](const messages::AppendReply &) { Done(); });
}

void Controller::onApplied(const fold::Record &Record,
                           const fold::ApplyResult &Result, Offset Position) {
  const RecordId &Id = fold::idOf(Record);
  m_RecordWriter.onRecordApplied(Id);
  // The renewal of an existing lease affects neither ownership nor slots. In a
  // large deployment it is by far the most frequent record.
  const auto *Renewal = std::get_if<fold::LeaseRenewal>(&Record);
  if (!Renewal || Renewal->m_Previous == 0) {
    m_OwnershipDirty = true;
    m_SlotsDirty = true;
  }
  for (const fold::Rejection &Item : Result.m_Rejections)
    log::info(log::Category::Catalogue, "record.rejected",
              {{"offset", Position},
               {"id", Id},
               {"subject", Item.m_Subject},
               {"reason", Item.m_Reason}});
  if (!Renewal)
    return;
  if (!Result.m_Accepted) {
    m_Lease.onRenewalRejected(Id);
    return;
  }
  m_Observer.onRenewalRead(Renewal->m_Incarnation, Position, now());
  if (Renewal->m_Incarnation != m_Settings.m_Incarnation)
    return;
  m_Lease.onRenewalAccepted(Id, Position);
  if (!m_LeaseFirstHeldAt)
    m_LeaseFirstHeldAt = now();
}

void Controller::onStateReplaced() {
  m_OwnershipDirty = true;
  m_SlotsDirty = true;
  for (const auto &[Incarnation, Item] : m_Follower.state().leases())
    m_Observer.onRenewalRead(Incarnation, Item.m_LastRenewal, now());
}

void Controller::onLogReachability(bool LogReachable) {
  if (LogReachable && !m_LogReachable) {
    m_Observer.onLogRestored(now());
    log::info(log::Category::Platform, "log.reachable");
  }
  if (!LogReachable && m_LogReachable)
    log::warning(log::Category::Platform, "log.unreachable");
  m_LogReachable = LogReachable;
}

void Controller::readHosts() {
  if (m_HostsReadInFlight)
    return;
  m_HostsReadInFlight = true;
  m_EndpointClient.readHosts(
      m_Settings.m_HostListAddress,
      [this](std::optional<std::vector<messages::EndpointInfo>> Hosts) {
        m_HostsReadInFlight = false;
        if (!Hosts || *Hosts == m_Hosts)
          return;
        m_Hosts = std::move(*Hosts);
        m_HostsVersion = std::to_string(
            std::hash<std::string>()(nlohmann::json(m_Hosts).dump()));
        m_EngineEndpoints.clear();
        std::ranges::copy_if(m_Hosts, std::back_inserter(m_EngineEndpoints),
                             [](const messages::EndpointInfo &Item) {
                               return Item.m_Kind == "engine";
                             });
        m_OwnershipDirty = true;
        m_SlotsDirty = true;
      });
}

control::Authority Controller::authority(Instant Now) const {
  return {m_Lease.isHeld(Now), m_Stopping};
}

ownership::ClaimContext Controller::claimContext(Instant Now) const {
  return {m_Follower.state(),       m_Observer,
          m_TerminatedControllers,  m_EngineEndpoints,
          m_Settings.m_Incarnation, Now};
}

control::PlanInput Controller::planInput(Instant Now) const {
  return {m_Follower.state(),      m_Eviction,
          authority(Now),          m_Settings.m_Incarnation,
          m_TerminatedControllers, Now};
}

void Controller::tick() {
  const Instant Now = now();
  if (m_OwnershipDirty) {
    m_OwnershipDirty = false;
    m_TerminatedControllers =
        ownership::findTerminatedControllers(m_Follower.state(), m_Hosts);
    m_Supervisor.updateOwnership(m_Follower.state(), m_EngineEndpoints);
  }
  if (!m_Stopping) {
    renewLeaseIfDue(Now);
    claimEndpoints(Now);
    retireEndpoints(Now);
    if (Now >= m_NextSlotPlan)
      planSlots(Now);
  }
  m_Supervisor.processEndpoints(planInput(Now));
  answerPendingBorrows(Now);
}

void Controller::renewLeaseIfDue(Instant Now) {
  if (m_Lease.lastRenewal() != 0 &&
      !m_Follower.state().findLease(m_Settings.m_Incarnation))
    m_Lease.onLeasePruned();
  if (!m_Lease.isRenewalDue(Now))
    return;
  fold::LeaseRenewal Renewal;
  Renewal.m_Id = makeId<RecordId>();
  Renewal.m_Incarnation = m_Settings.m_Incarnation;
  Renewal.m_Previous = m_Lease.lastRenewal();
  if (Renewal.m_Previous == 0) {
    Renewal.m_Host = m_Settings.m_Host;
    Renewal.m_Zone = m_Settings.m_Zone;
    Renewal.m_ControllerAddress = m_Settings.m_PeerAddress;
    Renewal.m_RouterAddress = m_Settings.m_RouterAddress;
  }
  m_Lease.onRenewalSent(Renewal.m_Id, Now);
  m_RecordWriter.append("lease", Renewal, Now, [this, Id = Renewal.m_Id] {
    m_Lease.onRenewalRejected(Id);
  });
}

void Controller::claimEndpoints(Instant Now) {
  if (!m_LogReachable || !m_Lease.isHeld(Now) || !m_LeaseFirstHeldAt ||
      Now - *m_LeaseFirstHeldAt < m_Settings.m_ClaimDelay ||
      !m_RecordWriter.isIdle("claim", Now) || Now < m_NextClaimPlan)
    return;
  m_NextClaimPlan = Now + ClaimPlanPeriod;
  auto Items = ownership::planClaims(claimContext(Now));
  if (Items.empty())
    return;
  for (const fold::ClaimItem &Item : Items)
    log::info(log::Category::Ownership, "claim.sent",
              {{"endpoint", Item.m_Endpoint},
               {"previous", Item.m_PreviousOwnership},
               {"renewal_seen", Item.m_PredecessorRenewal}});
  m_RecordWriter.append("claim",
                        fold::OwnershipClaim{makeId<RecordId>(),
                                             m_Settings.m_Incarnation,
                                             std::move(Items)},
                        Now);
}

void Controller::retireEndpoints(Instant Now) {
  if (!m_Lease.isHeld(Now) || !m_RecordWriter.isIdle("retire", Now))
    return;
  for (const messages::EndpointInfo &Item : m_EngineEndpoints) {
    const control::OwnedEndpoint *Owned = m_Supervisor.find(Item.m_Endpoint);
    if (!Owned || Item.m_State != "gone")
      continue;
    log::info(log::Category::Ownership, "endpoint.retired",
              {{"endpoint", Item.m_Endpoint}});
    m_RecordWriter.append(
        "retire",
        fold::EndpointRetired{makeId<RecordId>(),
                              m_Settings.m_Incarnation,
                              {Item.m_Endpoint, Owned->token()}},
        Now);
    return;
  }
}

void Controller::planSlots(Instant Now) {
  m_NextSlotPlan = Now + SlotPlanPeriod;
  if (!m_Lease.isHeld(Now) || !m_LogReachable)
    return;
  auto Releases = m_Supervisor.releasableSlots(planInput(Now));
  if (!Releases.empty() && m_RecordWriter.isIdle("slot_release", Now)) {
    for (const fold::SlotItem &Item : Releases)
      m_Supervisor.find(Item.m_Endpoint)->onReleaseSent(Item);
    m_RecordWriter.append("slot_release",
                          fold::SlotRelease{makeId<RecordId>(),
                                            m_Settings.m_Incarnation,
                                            std::move(Releases)},
                          Now);
  }
  if (!m_SlotsDirty || !m_RecordWriter.isIdle("slot_grant", Now))
    return;
  m_SlotsDirty = false;
  const auto Fencing = m_Supervisor.fencedEndpoints();
  auto Grants = placement::planGrants({m_Follower.state(), m_EngineEndpoints,
                                       m_Settings.m_Incarnation, Fencing,
                                       m_TerminatedControllers});
  if (Grants.empty())
    return;
  // Plan again afterwards, because the grant may not reach the log.
  m_SlotsDirty = true;
  m_RecordWriter.append("slot_grant",
                        fold::SlotGrant{makeId<RecordId>(),
                                        m_Settings.m_Incarnation,
                                        std::move(Grants)},
                        Now);
}

void Controller::onBorrowCredits(
    messages::BorrowCredits Request,
    std::function<void(messages::BorrowCreditsReply)> Send) {
  const Instant Now = now();
  m_Eviction.onRequest(Request.m_Entry, Now);
  if (auto *Owned = m_Supervisor.find(Request.m_Endpoint))
    Owned->ledger().onRouterMessage(Request.m_Router);
  PendingBorrow Item{std::move(Request), std::move(Send), Now};
  Item.m_ReplyDeadline += Item.m_Request.m_Wait;
  if (!tryAnswerBorrow(Item, Now))
    m_PendingBorrows.push_back(std::move(Item));
}

bool Controller::tryAnswerBorrow(const PendingBorrow &Item, Instant Now) {
  const messages::BorrowCredits &Request = Item.m_Request;
  control::OwnedEndpoint *Owned = m_Supervisor.find(Request.m_Endpoint);
  messages::BorrowCreditsReply Reply;
  if (!Owned) {
    Reply.m_Reason = "not_owner";
    Reply.m_RetryAfter = SlotPlanPeriod;
    Item.m_Send(Reply);
    return true;
  }
  if (auto Answer =
          Owned->tryBorrow(Request, m_Follower.state(), authority(Now), Now)) {
    Item.m_Send(*Answer);
    return true;
  }
  const milliseconds ReadyIn =
      Owned->estimateReady(m_Follower.state(), Request.m_Entry, Now);
  // If the entry cannot be ready before the deadline, reply now, so that the
  // router can refuse its requests without waiting.
  if (Now < Item.m_ReplyDeadline && ReadyIn <= Request.m_Deadline)
    return false;
  Reply.m_Outcome = messages::BorrowOutcome::Loading;
  Reply.m_ReadyIn = ReadyIn;
  Item.m_Send(Reply);
  return true;
}

void Controller::answerPendingBorrows(Instant Now) {
  std::erase_if(m_PendingBorrows, [&](const PendingBorrow &Item) {
    return tryAnswerBorrow(Item, Now);
  });
}

void Controller::requestPermit(const EntryName &Entry, double Value,
                               std::function<void(milliseconds)> Done) {
  const Instant Now = now();
  std::vector<IncarnationId> Live;
  for (const ownership::Candidate &Item :
       ownership::liveControllers(claimContext(Now)))
    Live.push_back(Item.m_Incarnation);
  const IncarnationId Lender =
      ownership::choosePermitIssuer(m_Follower.state(), Live);
  if (Lender == m_Settings.m_Incarnation || Lender.empty()) {
    Done(m_Permits.tryAcquire(Now));
    return;
  }
  const fold::Lease &Lease = *m_Follower.state().findLease(Lender);
  peerClient(Lease.m_ControllerAddress)
      .call(messages::AcquireLoadPermit{m_Settings.m_Incarnation, Entry, Value},
            PermitTimeout,
            [this, Done](std::optional<messages::LoadPermitReply> Reply) {
              if (!Reply)
                Done(takeReservedPermit(now()));
              else
                Done(Reply->m_Granted ? milliseconds(0) : Reply->m_RetryAfter);
            });
}

milliseconds Controller::takeReservedPermit(Instant Now) {
  const auto Count = static_cast<std::size_t>(
      std::ranges::count_if(m_Follower.state().leases(), [](const auto &Pair) {
        return !Pair.second.m_Released;
      }));
  return m_Permits.tryReserved(std::max<std::size_t>(1, Count), Now);
}

peer::PeerClient &Controller::peerClient(const std::string &Address) {
  auto &Client = m_PeerClients[Address];
  if (!Client)
    Client = std::make_unique<peer::PeerClient>(m_ControlLoop, Address);
  return *Client;
}

messages::ControllerStatusReply Controller::status() const {
  return {m_Settings.m_Host,        m_Settings.m_Zone,
          m_Settings.m_Incarnation, m_Follower.state().appliedOffset(),
          m_Lease.isHeld(now()),    m_Supervisor.status()};
}

} // namespace sff::controller
