#include "Host/ClientGuard.h"

#include "Common/Time/Clock.h"

#include <algorithm>

namespace sff::host {

namespace {

/// Requests for readiness and metrics need no body.
constexpr std::uint64_t MaxInternalBodyBytes = 4 * 1024;
/// A client that misbehaves causes rejections by the thousand.
constexpr milliseconds LogInterval{10000};

void lower(std::size_t &Limit, std::size_t Other) {
  Limit = std::min(Limit, Other);
}

} // namespace

ClientGuard::ClientGuard(HostState &State)
    : m_State(State), m_MemoryBytes(memoryOf(State.m_Settings)) {
  const std::int64_t Descriptors = State.m_Settings.get(DescriptorsSetting);
  if (Descriptors > 0)
    m_Connections =
        serving::divideDescriptors(static_cast<std::size_t>(Descriptors));
}

http::ServerGuards ClientGuard::commonGuards() {
  http::ServerGuards Guards;
  Guards.m_Memory = &m_State.m_ClientMemory;
  Guards.m_ReplacesConnections = m_MemoryBytes > 0 || m_Connections;
  Guards.m_OnRejection = [this](http::RejectionCause Cause) {
    onRejection(Cause);
  };
  return Guards;
}

http::ServerGuards ClientGuard::callerGuards() {
  http::ServerGuards Guards = commonGuards();
  if (m_MemoryBytes > 0)
    Guards.m_IsRejectedByHead = [this](const http::Request &Head) {
      return isRejected(Head);
    };
  return Guards;
}

http::ServerGuards
ClientGuard::peerGuards(std::function<bool(const http::Request &)> IsRejected) {
  http::ServerGuards Guards = commonGuards();
  if (m_MemoryBytes > 0)
    Guards.m_IsRejectedByHead = std::move(IsRejected);
  return Guards;
}

http::ServerGuards ClientGuard::internalGuards() { return commonGuards(); }

http::ServerLimits ClientGuard::limitCallers(http::ServerLimits Limits) const {
  if (m_Connections)
    lower(Limits.m_MaxConnections, m_Connections->m_Callers);
  if (m_MemoryBytes > 0)
    lower(Limits.m_MaxConnections, serving::connectionsWithin(m_MemoryBytes));
  return Limits;
}

http::ServerLimits ClientGuard::limitPeers(http::ServerLimits Limits) const {
  if (m_Connections)
    lower(Limits.m_MaxConnections, m_Connections->m_Peers);
  if (m_MemoryBytes > 0)
    lower(Limits.m_MaxConnections, serving::connectionsWithin(m_MemoryBytes));
  return Limits;
}

http::ServerLimits
ClientGuard::limitReadiness(http::ServerLimits Limits) const {
  if (m_Connections)
    lower(Limits.m_MaxConnections, m_Connections->m_Readiness);
  limitInternalBody(Limits);
  return Limits;
}

http::ServerLimits ClientGuard::limitMetrics(http::ServerLimits Limits) const {
  if (m_Connections)
    lower(Limits.m_MaxConnections, m_Connections->m_Metrics);
  limitInternalBody(Limits);
  return Limits;
}

void ClientGuard::limitInternalBody(http::ServerLimits &Limits) const {
  if (m_MemoryBytes > 0)
    Limits.m_MaxBodyBytes = MaxInternalBodyBytes;
}

bool ClientGuard::isRejected(const http::Request &Head) const {
  if (m_State.m_Stopping || !m_State.m_Catalogue)
    return true;
  const serving::Catalogue &Current = *m_State.m_Catalogue;
  const serving::Route *Route =
      Current.findRoute(Head.m_Headers.view("Host"), Head.path());
  if (!Route)
    return true;
  const RequestMetadata Facts = m_State.m_Platform.m_WireFormat->decode(Head);
  return !m_State.identifyCaller(*Route, Facts.m_ApiKey).isAdmitted();
}

void ClientGuard::onRejection(http::RejectionCause Cause) {
  m_State.m_Metrics.onClientRejected(http::nameOf(Cause));
  ++m_NotLogged[Cause];
  if (now() >= m_NextLogAt)
    logRejections();
}

void ClientGuard::logRejections() {
  m_NextLogAt = now() + LogInterval;
  nlohmann::json Fields = {{"memory_used", m_State.m_ClientMemory.used()}};
  for (const auto &[Cause, Count] : m_NotLogged)
    Fields[std::string(http::nameOf(Cause))] = Count;
  m_NotLogged.clear();
  log::warning(log::Category::Http, "http.clients_rejected", std::move(Fields));
}

} // namespace sff::host
