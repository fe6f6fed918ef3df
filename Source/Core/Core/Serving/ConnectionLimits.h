#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace sff::serving {

/// Most connections of the listeners of a host.
struct ConnectionLimits {
  std::size_t m_Callers = 0;
  std::size_t m_Peers = 0;
  std::size_t m_Readiness = 0;
  std::size_t m_Metrics = 0;

  std::size_t sum() const {
    return m_Callers + m_Peers + m_Readiness + m_Metrics;
  }
};

/// Divides the descriptors of a process. What the listeners do not get, two
/// fifths or more, is left for connections to endpoints, the store and other
/// hosts, and for the files of the process.
/// Precondition: \p MaxDescriptors is not 0.
/// Thread safety: reentrant.
ConnectionLimits divideDescriptors(std::size_t MaxDescriptors);

/// Returns the most connections of callers that a host with \p MemoryBytes may
/// keep open: what each of them occupies while it is idle takes an eighth of
/// the memory together.
/// Thread safety: reentrant.
std::size_t connectionsWithin(std::size_t MemoryBytes);

/// Bounds the connections of requests that a host has at endpoints: beyond it
/// no second endpoint is tried beside a silent one. A service may not take the
/// last quarter, unless it has less than a quarter itself, so that one whose
/// endpoints do not answer leaves room for the others.
/// Thread safety: none.
class SendLimit {
public:
  /// No limit if \p MaxSends is 0.
  explicit SendLimit(std::size_t MaxSends) : m_MaxSends(MaxSends) {}

  /// Whether a request of a service may be sent to one more endpoint.
  bool allows(std::string_view Service) const;
  void onSent(const std::string &Service);
  /// Precondition: onSent() was called for the request.
  void onEnded(const std::string &Service);

private:
  std::size_t m_MaxSends;
  std::size_t m_Sends = 0;
  std::map<std::string, std::size_t, std::less<>> m_ByService;
};

/// Returns the most requests at endpoints for a process with
/// \p MaxDescriptors: three quarters of what the listeners leave. The rest is
/// for idle connections, health checks, the store, other hosts and files.
/// Precondition: \p MaxDescriptors is not 0.
/// Thread safety: reentrant.
std::size_t sendsWithin(std::size_t MaxDescriptors);

} // namespace sff::serving
