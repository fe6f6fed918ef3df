#include "Relay/RelayNode.h"

#include "Common/Time/Clock.h"
#include "Core/Messages/CommonMessages.h"
#include "Net/Follower/StateFollower.h"
#include "Relay/RelaySettings.h"

#include <future>
#include <thread>

namespace sff::relay {

namespace {

constexpr std::size_t RingCapacity = 8192;
constexpr std::size_t MaxPeerConnections = 24;
constexpr milliseconds TickPeriod{50};
/// How long to wait for a record on the own path to the log after another relay
/// has published its offset, before fetching it from that relay.
constexpr milliseconds CatchUpDelay{150};
constexpr milliseconds StopTimeout{3000};
constexpr milliseconds StopPollInterval{10};
/// Time to deliver the messages that announce that this host is leaving.
constexpr milliseconds LeaveDeliveryTime{200};

messages::HostHeartbeat makeOwnHeartbeat(const process::Context &Started) {
  messages::HostHeartbeat Self;
  Self.m_Host = HostId(Started.m_Identity.m_Host);
  Self.m_Zone = ZoneId(Started.m_Identity.m_Zone);
  Self.m_Incarnation = IncarnationId(Started.m_Identity.m_Incarnation);
  Self.m_Sequence = unixTime().count();
  Self.m_RelayAddress = Started.m_Settings.get(ListenSetting);
  return Self;
}

membership::GossipLimits makeGossipLimits(const settings::Settings &Values) {
  return {Values.get(GossipBytesSetting),
          static_cast<std::size_t>(Values.get(GossipEntriesSetting)),
          Values.get(GossipPeriodSetting)};
}

FeedOptions makeFeedOptions(const settings::Settings &Values,
                            std::string Stream, bool ReadThrough,
                            std::int64_t Records) {
  FeedOptions Options;
  Options.m_Stream = std::move(Stream);
  Options.m_ReadThrough = ReadThrough;
  Options.m_Cache = {static_cast<std::size_t>(Records),
                     static_cast<std::size_t>(Values.get(CacheBytesSetting))};
  Options.m_LogWait = Values.get(LogWaitSetting);
  Options.m_LogRetry = Values.get(LogRetrySetting);
  Options.m_PeerTimeout = Values.get(PeerTimeoutSetting);
  return Options;
}

/// Precondition: the schema has validated the setting as an address.
http::Address logAddress(const settings::Settings &Values) {
  return http::Address::parse(Values.get(LogAddressSetting)).value();
}

} // namespace

RelayNode::RelayNode(const process::Context &Started)
    : m_Settings(Started.m_Settings), m_PeerLoop("relay-peer", RingCapacity),
      m_LogLoop("relay-log", RingCapacity),
      m_Log(m_LogLoop, m_PeerLoop, logAddress(m_Settings),
            m_Settings.get(LogTimeoutSetting)),
      m_Peers(m_PeerLoop, MaxPeerConnections),
      m_Directory(makeOwnHeartbeat(Started), m_Settings.get(PeersSetting),
                  makeGossipLimits(m_Settings)),
      m_Control(m_PeerLoop, m_Log, m_Peers, m_Directory,
                makeFeedOptions(m_Settings, follower::ControlStream, false,
                                m_Settings.get(ControlCacheSetting)),
                {[this](auto Records) { onControlRecords(Records); },
                 [this](Offset) {
                   m_State.recover(
                       [this](Offset Next) { m_Control.start(Next); });
                 },
                 [this] { m_Gossip.requestPublish(); }}),
      m_Intents(m_PeerLoop, m_Log, m_Peers, m_Directory,
                makeFeedOptions(m_Settings, follower::IntentsStream, true,
                                m_Settings.get(IntentsCacheSetting)),
                {{}, [this](Offset First) { m_Intents.start(First); }, [] {}}),
      m_State(m_PeerLoop, m_Log, m_Peers, m_Directory,
              static_cast<Offset>(m_Settings.get(SnapshotRecordsSetting)),
              m_Settings.get(PeerTimeoutSetting)),
      m_Appender(m_Log, m_Peers, m_Directory, m_Control, m_Intents,
                 m_Settings.get(LogTimeoutSetting) * 2 +
                     m_Settings.get(PeerTimeoutSetting)),
      m_Gossip(m_PeerLoop, m_Peers, m_Directory,
               m_Settings.get(PeerTimeoutSetting),
               {[this] { updateOwnHeartbeat(); },
                [this](const auto &Item) { onNewHeartbeat(Item); }}),
      m_Timers(m_PeerLoop.context().get_executor()), m_Dispatcher(m_PeerLoop) {
  registerHandlers();
  registerAdministration();
}

RelayNode::~RelayNode() {
  m_Dispatcher.stop();
  m_LogLoop.stop();
  m_PeerLoop.stop();
}

void RelayNode::registerHandlers() {
  m_Dispatcher.on<messages::FetchRecords>([this](auto Request, auto Send) {
    if (Request.m_Stream == follower::ControlStream)
      m_Control.fetch(std::move(Request), std::move(Send));
    else if (Request.m_Stream == follower::IntentsStream)
      m_Intents.fetch(std::move(Request), std::move(Send));
    else
      Send({});
  });
  m_Dispatcher.on<messages::FetchSnapshot>([this](auto, auto Send) {
    if (!m_State.isReady())
      return Send({});
    Send({m_State.state().appliedOffset(), m_State.state().toSnapshot()});
  });
  m_Dispatcher.on<messages::Append>([this](auto Request, auto Send) {
    m_Appender.append(std::move(Request), std::move(Send));
  });
  m_Dispatcher.on<messages::Heartbeat>(
      [this](auto Request, auto Send) { Send(m_Gossip.onHeartbeat(Request)); });
}

void RelayNode::registerAdministration() {
  m_Dispatcher.on<messages::RelayStatus>([this](auto Request, auto Send) {
    Send(makeStatus(Request.m_OwnHostOnly));
  });
  m_Dispatcher.on<messages::FetchChangeResult>([this](auto Request, auto Send) {
    Send(m_State.changeResults().find(Request));
  });
  m_Dispatcher.on<messages::FetchEvents>([](auto Request, auto Send) {
    Send({log::recorder().eventsAfter(
        Request.m_After,
        static_cast<std::size_t>(std::max<std::int64_t>(0, Request.m_Limit)))});
  });
}

void RelayNode::start() {
  m_Dispatcher.start(
      m_Settings.get(ListenSetting),
      static_cast<std::size_t>(m_Settings.get(ParallelRequestsSetting)));
  m_PeerLoop.tryPost([this] { startOnPeerThread(); });
}

void RelayNode::startOnPeerThread() {
  m_TickTimer = m_Timers.every(TickPeriod, [this] { tick(); });
  m_Gossip.start();
  m_State.recover([this](Offset Next) { m_Control.start(Next); });
  startIntents();
}

/// The intents stream has no snapshots. Reading starts at offset 1. If older
/// records were removed, the feed reports a gap and is started again at the
/// oldest offset that the log or another relay has.
void RelayNode::startIntents() { m_Intents.start(1); }

void RelayNode::onControlRecords(
    std::span<const messages::StreamRecord> Records) {
  m_State.apply(Records);
  m_State.storeSnapshotIfDue(m_Control.hasDirectLogAccess());
}

void RelayNode::updateOwnHeartbeat() {
  m_Directory.hosts().updateSelf(m_State.state().appliedOffset(),
                                 m_Control.hasDirectLogAccess(), 0);
}

void RelayNode::onNewHeartbeat(const messages::HostHeartbeat &Item) {
  if (Item.m_AppliedOffset < m_Control.next() || m_CatchUpTimer)
    return;
  const milliseconds Delay = CatchUpDelay + m_Directory.plan().m_LogPollPause;
  m_CatchUpTimer = m_Timers.after(Delay, [this, Address = Item.m_RelayAddress,
                                          Announced = Item.m_AppliedOffset] {
    catchUp(Address, Announced);
  });
}

void RelayNode::catchUp(const std::string &Address, Offset Announced) {
  if (Announced >= m_Control.next())
    m_Control.catchUpFrom(Address);
  // Posted, because this runs in the callback of the timer to be reset.
  m_PeerLoop.tryPost([this] { m_CatchUpTimer.reset(); });
}

void RelayNode::tick() {
  const Instant Now = now();
  m_Control.tick(Now);
  m_Intents.tick(Now);
}

messages::RelayStatusReply RelayNode::makeStatus(bool OwnHostOnly) {
  updateOwnHeartbeat();
  messages::RelayStatusReply Reply;
  Reply.m_Ready = m_State.isReady();
  Reply.m_AppliedOffset = m_State.state().appliedOffset();
  Reply.m_Head = m_Control.head();
  Reply.m_LogHops = m_Control.logHops();
  Reply.m_LogReachable = Reply.m_LogHops != messages::NoLogPath;
  Reply.m_Hosts = m_Directory.hosts().statuses(now());
  if (OwnHostOnly)
    Reply.m_Hosts.resize(1);
  return Reply;
}

void RelayNode::stop() {
  std::promise<void> Announced;
  m_PeerLoop.tryPost([&] {
    m_Gossip.announceLeaving();
    m_Control.flush();
    m_Intents.flush();
    Announced.set_value();
  });
  Announced.get_future().wait_for(StopTimeout);
  const Instant Deadline = now() + StopTimeout;
  for (bool Busy = true; Busy && now() < Deadline;) {
    std::this_thread::sleep_for(StopPollInterval);
    auto Pending = std::make_shared<std::promise<bool>>();
    auto Answer = Pending->get_future();
    m_PeerLoop.tryPost(
        [this, Pending] { Pending->set_value(m_Appender.pending() > 0); });
    Busy = Answer.wait_for(StopTimeout) != std::future_status::ready ||
           Answer.get();
  }
  std::this_thread::sleep_for(LeaveDeliveryTime);
  m_Dispatcher.stop();
}

} // namespace sff::relay
