#pragma once

#include <cstddef>

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

} // namespace sff::serving
