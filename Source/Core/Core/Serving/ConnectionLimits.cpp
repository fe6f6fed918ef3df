#include "Core/Serving/ConnectionLimits.h"

#include <algorithm>

namespace sff::serving {

namespace {

/// The balancer and a collector of metrics use one connection each, besides
/// those that they have given up.
constexpr std::size_t MaxInternalConnections = 8;
/// Memory of an idle connection: its session, coroutine, timer and buffer.
constexpr std::size_t IdleConnectionBytes = 10 * 1024;

} // namespace

ConnectionLimits divideDescriptors(std::size_t MaxDescriptors) {
  ConnectionLimits Result;
  const std::size_t Internal =
      std::clamp<std::size_t>(MaxDescriptors / 25, 1, MaxInternalConnections);
  Result.m_Callers = std::max<std::size_t>(1, MaxDescriptors * 2 / 5);
  Result.m_Peers = std::max<std::size_t>(1, MaxDescriptors / 8);
  Result.m_Readiness = Internal;
  Result.m_Metrics = Internal;
  return Result;
}

std::size_t connectionsWithin(std::size_t MemoryBytes) {
  return std::max<std::size_t>(1, MemoryBytes / 8 / IdleConnectionBytes);
}

bool SendLimit::allows(std::string_view Service) const {
  if (m_MaxSends == 0)
    return true;
  if (m_Sends >= m_MaxSends)
    return false;
  const auto Found = m_ByService.find(Service);
  const std::size_t Own = Found == m_ByService.end() ? 0 : Found->second;
  return m_Sends < m_MaxSends - m_MaxSends / 4 || Own < m_MaxSends / 4;
}

void SendLimit::onSent(const std::string &Service) {
  ++m_Sends;
  ++m_ByService[Service];
}

void SendLimit::onEnded(const std::string &Service) {
  --m_Sends;
  const auto Found = m_ByService.find(Service);
  if (--Found->second == 0)
    m_ByService.erase(Found);
}

std::size_t sendsWithin(std::size_t MaxDescriptors) {
  const std::size_t Left =
      MaxDescriptors -
      std::min(MaxDescriptors, divideDescriptors(MaxDescriptors).sum());
  return std::max<std::size_t>(1, Left * 3 / 4);
}

} // namespace sff::serving
