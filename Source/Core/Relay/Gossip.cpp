#include "Relay/Gossip.h"

#include "Common/Time/Clock.h"

namespace sff::relay {

namespace {

constexpr int LeaveMessageCount = 3;
/// Entries are kept for this many times the age at which a host counts as gone.
/// Otherwise a copy that other relays still send would add the host again.
constexpr int RetentionFactor = 2;

} // namespace

Gossip::Gossip(timers::EventLoop &Loop, PeerPool &Peers,
               PeerDirectory &Directory, milliseconds PeerTimeout,
               Callbacks Handlers)
    : m_Peers(Peers), m_Directory(Directory),
      m_Timers(Loop.context().get_executor()), m_PeerTimeout(PeerTimeout),
      m_Handlers(std::move(Handlers)) {}

void Gossip::start() { runRound(); }

void Gossip::runRound() {
  const membership::GossipPlan Plan = m_Directory.plan();
  const Instant Now = now();
  m_Directory.hosts().forget(Now, Plan.m_MaxLiveAge * RetentionFactor);
  if (Now - m_LastSequenceAdvance >= Plan.m_RefreshInterval) {
    m_Directory.hosts().advance();
    m_LastSequenceAdvance = Now;
  }
  exchangeWith(m_Directory.randomPeer());
  scheduleNext();
}

void Gossip::scheduleNext() {
  m_Timer = m_Timers.after(m_Directory.plan().m_Period, [this] { runRound(); });
}

void Gossip::requestPublish() { m_LastSequenceAdvance = Instant(); }

void Gossip::announceLeaving() {
  m_Timer.reset();
  m_Directory.hosts().leave();
  for (int Count = 0; Count < LeaveMessageCount; ++Count)
    exchangeWith(m_Directory.randomPeer());
}

std::vector<messages::HostHeartbeat>
Gossip::select(std::span<const messages::HostHeartbeat> Received) {
  m_Handlers.m_UpdateOwnHeartbeat();
  const membership::GossipPlan Plan = m_Directory.plan();
  return m_Directory.hosts().select(Plan.m_EntriesPerMessage, Received, now(),
                                    Plan.m_MaxLiveAge);
}

void Gossip::exchangeWith(const std::string &Address) {
  if (Address.empty())
    return;
  m_Peers.at(Address).call(messages::Heartbeat{select({})}, m_PeerTimeout,
                           [this](auto Reply) {
                             if (Reply)
                               mergeAll(Reply->m_Known);
                           });
}

void Gossip::mergeAll(std::span<const messages::HostHeartbeat> Items) {
  for (const messages::HostHeartbeat &Item : Items)
    if (m_Directory.hosts().merge(Item, now()))
      m_Handlers.m_OnNewHeartbeat(Item);
}

messages::HeartbeatReply
Gossip::onHeartbeat(const messages::Heartbeat &Message) {
  mergeAll(Message.m_Known);
  return {select(Message.m_Known)};
}

} // namespace sff::relay
