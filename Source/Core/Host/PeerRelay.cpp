#include "Host/PeerRelay.h"

#include "Host/PeerCall.h"

#include <random>
#include <vector>

namespace sff::host {

PeerRelay::PeerRelay(HostState &State, std::string Member)
    : m_Member(std::move(Member)), m_Peers(State.m_Context.get_executor()),
      m_Targets(std::random_device{}()) {}

void PeerRelay::onNamed(std::span<const HostId> Hosts) {
  std::vector<HostId> Others(Hosts.begin(), Hosts.end());
  std::erase(Others, HostId(m_Member));
  m_Targets.onNamed(Others, now());
}

Task<RelayedCall> PeerRelay::open(HostId Host, http::Request Message,
                                  http::ClientOptions Options) {
  m_Targets.onSent(Host);
  const std::shared_ptr<void> Running(
      nullptr, [this, Host](void *) { m_Targets.onFinished(Host); });
  Options.m_ConnectTimeout =
      std::min(Options.m_ConnectTimeout, PeerConnectTimeout);
  Message.m_Target = std::string(RelayPrefix) + Message.m_Target;
  const auto Remote = http::Address::parse(Host.str());
  RelayedCall Call;
  Call.m_Host = Host;
  Call.m_Running = Running;
  if (Remote)
    Call.m_Result =
        co_await m_Peers.open(*Remote, std::move(Message), std::move(Options));
  co_return Call;
}

Task<bool> PeerRelay::isAlive(HostId Host) {
  const auto Remote = http::Address::parse(Host.str());
  if (!Remote)
    co_return false;
  http::Request Question;
  Question.m_Method = "POST";
  Question.m_Target = std::string(AlivePath);
  http::ClientOptions Options;
  Options.m_ConnectTimeout = AliveTimeout;
  Options.m_WriteTimeout = AliveTimeout;
  Options.m_ReadTimeout = AliveTimeout;
  // A pooled connection may have been closed by a host that works.
  Options.m_ForceNewConnection = true;
  const http::SendResult Result =
      co_await m_Peers.send(*Remote, std::move(Question), std::move(Options));
  co_return std::holds_alternative<http::Response>(Result);
}

} // namespace sff::host
