#pragma once

#include "Core/Serving/ConnectionLimits.h"
#include "Host/HostState.h"
#include "Net/Http/Server.h"

#include <functional>
#include <map>

namespace sff::host {

/// Protects a host from clients that misbehave: bounds the memory that all
/// connections share, divides the descriptors among the listeners, rejects
/// requests before their bodies are read, and reports what was rejected. Does
/// nothing for a resource that the settings do not name. Thread safety: use
/// from the host's io_context only.
class ClientGuard {
public:
  /// Precondition: \p State outlives the object.
  explicit ClientGuard(HostState &State);

  /// Guards for the listener of callers and that of other hosts, of which
  /// \p IsRejected tells the requests that are rejected by their heads.
  http::ServerGuards callerGuards();
  http::ServerGuards
  peerGuards(std::function<bool(const http::Request &)> IsRejected);
  /// Guards for the listeners of readiness and metrics.
  http::ServerGuards internalGuards();

  http::ServerLimits limitCallers(http::ServerLimits Limits) const;
  http::ServerLimits limitPeers(http::ServerLimits Limits) const;
  http::ServerLimits limitReadiness(http::ServerLimits Limits) const;
  http::ServerLimits limitMetrics(http::ServerLimits Limits) const;

private:
  http::ServerGuards commonGuards();
  /// Whether a caller's request with this head is rejected whatever its body
  /// holds: the host stops or has no catalogue, there is no route, or the
  /// caller is not admitted.
  bool isRejected(const http::Request &Head) const;
  /// Counts a rejection. Logs at most once in LogInterval, so the last ones may
  /// stay unlogged until the next.
  void onRejection(http::RejectionCause Cause);
  /// Logs the number of rejections by cause since the last line.
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
