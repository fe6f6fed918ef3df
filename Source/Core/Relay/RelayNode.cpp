#include "Relay/RelayNode.h"

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
/// Time that a record has to arrive over the own path after another relay has
/// published its offset.
constexpr milliseconds CatchUpDelay{150};
constexpr milliseconds StopWait{3000};
constexpr milliseconds StopPoll{10};
/// Time for the leaving messages to go out.
constexpr milliseconds LeaveTime{200};

Instant now() { return std::chrono::steady_clock::now(); }

std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

messages::HostHeartbeat makeSelf(const process::Context &Started) {
  messages::HostHeartbeat Self;
  Self.m_Host = HostId(Started.m_Identity.m_Host);
  Self.m_Zone = ZoneId(Started.m_Identity.m_Zone);
  Self.m_Incarnation = IncarnationId(Started.m_Identity.m_Incarnation);
  Self.m_Sequence = wallMilliseconds();
  Self.m_RelayAddress = Started.m_Settings.get(ListenSetting);
  return Self;
}

membership::GossipLimits makeLimits(const settings::Settings &Values) {
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

/// The setting was checked to be an address.
http::Address logAddress(const settings::Settings &Values) {
  return http::Address::parse(Values.get(LogAddressSetting)).value();
}

} // namespace

RelayNode::RelayNode(const process::Context &Started)
    : m_Settings(Started.m_Settings), m_Peer("relay-peer", RingCapacity),
      m_PlatformLoop("relay-log", RingCapacity),
      m_Platform(m_PlatformLoop, m_Peer, logAddress(m_Settings),
                 m_Settings.get(LogTimeoutSetting)),
      m_Peers(m_Peer, MaxPeerConnections),
      m_Directory(makeSelf(Started), m_Settings.get(PeersSetting),
                  makeLimits(m_Settings)),
      m_Control(m_Peer, m_Platform, m_Peers, m_Directory,
                makeFeedOptions(m_Settings, follower::ControlStream, false,
                                m_Settings.get(ControlCacheSetting)),
                {[this](auto Records) { onControlRecords(Records); },
                 [this](Offset) {
                   m_State.recover(
                       [this](Offset Next) { m_Control.start(Next); });
                 },
                 [this] { m_Gossip.publishSoon(); }}),
      m_Intents(m_Peer, m_Platform, m_Peers, m_Directory,
                makeFeedOptions(m_Settings, follower::IntentsStream, true,
                                m_Settings.get(IntentsCacheSetting)),
                {{}, [this](Offset First) { m_Intents.start(First); }, [] {}}),
      m_State(m_Peer, m_Platform, m_Peers, m_Directory,
              static_cast<Offset>(m_Settings.get(SnapshotRecordsSetting)),
              m_Settings.get(PeerTimeoutSetting)),
      m_Appends(m_Platform, m_Peers, m_Directory, m_Control, m_Intents,
                m_Settings.get(LogTimeoutSetting) * 2 +
                    m_Settings.get(PeerTimeoutSetting)),
      m_Gossip(m_Peer, m_Peers, m_Directory, m_Settings.get(PeerTimeoutSetting),
               {[this] { refreshSelf(); },
                [this](const auto &Item) { onNews(Item); }}),
      m_Timers(m_Peer.context().get_executor()), m_Dispatcher(m_Peer) {
  registerHandlers();
  registerAdministration();
}

RelayNode::~RelayNode() {
  m_Dispatcher.stop();
  m_PlatformLoop.stop();
  m_Peer.stop();
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
    m_Appends.append(std::move(Request), std::move(Send));
  });
  m_Dispatcher.on<messages::Heartbeat>(
      [this](auto Request, auto Send) { Send(m_Gossip.onHeartbeat(Request)); });
}

void RelayNode::registerAdministration() {
  m_Dispatcher.on<messages::RelayStatus>([this](auto Request, auto Send) {
    Send(makeStatus(Request.m_OwnHostOnly));
  });
  m_Dispatcher.on<messages::ChangeVerdict>([this](auto Request, auto Send) {
    Send(m_State.verdicts().find(Request));
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
  m_Peer.tryPost([this] { begin(); });
}

void RelayNode::begin() {
  m_Tick = m_Timers.every(TickPeriod, [this] { tick(); });
  m_Gossip.start();
  m_State.recover([this](Offset Next) { m_Control.start(Next); });
  startIntents();
}

/// Intents have no snapshot: reading starts at the oldest record that the log
/// keeps, or that another relay holds, and the feed reports the gap before it.
void RelayNode::startIntents() { m_Intents.start(1); }

void RelayNode::onControlRecords(std::span<const messages::RecordAt> Records) {
  m_State.apply(Records);
  m_State.storeIfDue(m_Control.hasLogContact());
}

void RelayNode::refreshSelf() {
  m_Directory.hosts().updateSelf(m_State.state().appliedOffset(),
                                 m_Control.hasLogContact(), 0);
}

void RelayNode::onNews(const messages::HostHeartbeat &Item) {
  if (Item.m_AppliedOffset < m_Control.next() || m_CatchUp)
    return;
  const milliseconds Delay = CatchUpDelay + m_Directory.plan().m_PollPause;
  m_CatchUp = m_Timers.after(Delay, [this, Address = Item.m_RelayAddress,
                                     Announced = Item.m_AppliedOffset] {
    catchUp(Address, Announced);
  });
}

void RelayNode::catchUp(const std::string &Address, Offset Announced) {
  if (Announced >= m_Control.next())
    m_Control.catchUpFrom(Address);
  // Not reset here, because this runs within the timer's own callback.
  m_Peer.tryPost([this] { m_CatchUp.reset(); });
}

void RelayNode::tick() {
  const Instant Now = now();
  m_Control.tick(Now);
  m_Intents.tick(Now);
}

messages::RelayStatusReply RelayNode::makeStatus(bool OwnHostOnly) {
  refreshSelf();
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
  m_Peer.tryPost([&] {
    m_Gossip.announceLeaving();
    m_Control.flush();
    m_Intents.flush();
    Announced.set_value();
  });
  Announced.get_future().wait_for(StopWait);
  const Instant Deadline = now() + StopWait;
  for (bool Busy = true; Busy && now() < Deadline;) {
    std::this_thread::sleep_for(StopPoll);
    auto Pending = std::make_shared<std::promise<bool>>();
    auto Answer = Pending->get_future();
    m_Peer.tryPost(
        [this, Pending] { Pending->set_value(m_Appends.pending() > 0); });
    Busy =
        Answer.wait_for(StopWait) != std::future_status::ready || Answer.get();
  }
  std::this_thread::sleep_for(LeaveTime);
  m_Dispatcher.stop();
}

} // namespace sff::relay
