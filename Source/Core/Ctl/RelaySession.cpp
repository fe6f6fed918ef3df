#include "Ctl/RelaySession.h"

#include "Net/Follower/StateFollower.h"

#include <boost/leaf/handle_errors.hpp>

namespace sff::ctl {

namespace {

constexpr std::size_t LoopQueueCapacity = 256;

} // namespace

RelaySession::RelaySession(std::vector<std::string> Addresses,
                           milliseconds Timeout)
    : m_Addresses(std::move(Addresses)), m_Timeout(Timeout),
      m_Loop("ctl-peer", LoopQueueCapacity) {}

RelaySession::~RelaySession() {
  m_PeerClients.clear();
  m_Loop.stop();
}

peer::PeerClient &RelaySession::connection(const std::string &Address) {
  auto &PeerClient = m_PeerClients[Address];
  if (!PeerClient)
    PeerClient = std::make_unique<peer::PeerClient>(m_Loop, Address);
  return *PeerClient;
}

std::optional<fold::ClusterState> RelaySession::fetchState() {
  const auto Reply = callAny(messages::FetchSnapshot{}, [](const auto &Answer) {
    return !Answer.m_State.is_null();
  });
  if (!Reply)
    return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<fold::ClusterState>> {
        BOOST_LEAF_AUTO(State,
                        fold::ClusterState::fromSnapshot(Reply->m_State));
        return std::optional(std::move(State));
      },
      [] { return std::optional<fold::ClusterState>(); });
}

messages::AppendReply RelaySession::append(const fold::Record &Record) {
  const messages::Append Request{follower::ControlStream, fold::toJson(Record),
                                 0};
  for (const std::string &Address : m_Addresses) {
    const auto Reply = callAddress(Address, Request);
    if (!Reply)
      return {};
    if (Reply->m_Outcome != messages::AppendOutcome::NotAppended)
      return *Reply;
  }
  return {messages::AppendOutcome::NotAppended, 0};
}

} // namespace sff::ctl
