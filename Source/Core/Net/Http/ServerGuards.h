#pragma once

#include "Core/Serving/ClientMemory.h"
#include "Net/Http/Message.h"

#include <functional>
#include <string_view>

namespace sff::http {

/// Why a server has rejected a request or closed a connection itself.
enum class RejectionCause {
  Memory,       ///< The budget is used up and the request had to wait too long.
  Stalled,      ///< The client held memory and made no progress.
  Connections,  ///< All connections that are allowed are open and in use.
  Replaced,     ///< Closed without progress, for a new connection.
  HeaderFields, ///< The head has too many fields.
  BodyLimit,    ///< The body is too large.
  SlowRequest,  ///< The request did not arrive in time.
  SlowReader,   ///< The client did not read the answer in time.
};

/// A name for metrics and log lines.
std::string_view nameOf(RejectionCause Cause);

/// How a server protects its process from clients that misbehave. Nothing is
/// guarded by default.
struct ServerGuards {
  /// Memory that all connections share; null without a limit. Outlives the
  /// server and its connections.
  serving::ClientMemory *m_Memory = nullptr;
  /// Returns whether the handler will reject a request whatever its body holds.
  /// The handler then gets the request without its body, with m_BodyUnread set.
  std::function<bool(const Request &)> m_IsRejectedByHead = nullptr;
  std::function<void(RejectionCause)> m_OnRejection = nullptr;
  /// A connection that has made no progress is closed for a new one when no
  /// more are allowed.
  bool m_ReplacesConnections = false;

  bool hasMemoryLimit() const { return m_Memory && m_Memory->isLimited(); }
  void report(RejectionCause Cause) const {
    if (m_OnRejection)
      m_OnRejection(Cause);
  }
};

} // namespace sff::http
