#pragma once

#include "Core/Serving/ConnectionLimits.h"
#include "Host/HostState.h"
#include "Net/Http/Server.h"

#include <map>

namespace sff::host {

/// Protects a host from clients that misbehave: divides its memory and its
/// descriptors among the listeners, rejects requests before their bodies are
/// read, and reports what was rejected. Does nothing for a resource that the
/// settings do not name.
/// Thread safety: use from the host's io_context only.
class ClientGuard {
public:
  /// Precondition: \p State outlives the object.
  explicit ClientGuard(HostState &State);

  /// Guards for the listener of callers and that of other hosts.
  http::ServerGuards callerGuards();
  http::ServerGuards peerGuards();
  /// Guards for the listeners of readiness and metrics.
  http::ServerGuards internalGuards();

  http::ServerLimits limitCallers(http::ServerLimits Limits) const;
  http::ServerLimits limitPeers(http::ServerLimits Limits) const;
  http::ServerLimits limitReadiness(http::ServerLimits Limits) const;
  http::ServerLimits limitMetrics(http::ServerLimits Limits) const;

private:
  http::ServerGuards commonGuards();
  /// Whether a caller's request with this head is rejected whatever its body
  /// holds: it has no route, or its caller is not admitted.
  bool isRejected(const http::Request &Head) const;
  void onRejection(http::RejectionCause Cause);
  /// Logs the number of rejections since the last line, at most once in
  /// LogInterval.
  void logRejections();
  void limitInternalBody(http::ServerLimits &Limits) const;

  HostState &m_State;
  std::size_t m_MemoryBytes;
  /// Nothing if the number of descriptors is not known.
  std::optional<serving::ConnectionLimits> m_Connections;
  std::map<http::RejectionCause, std::uint64_t> m_NotLogged;
  Instant m_NextLogAt;
};

} // namespace sff::host
