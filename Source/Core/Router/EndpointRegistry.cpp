#include "Router/EndpointRegistry.h"

#include <algorithm>

namespace sff::router {

namespace {

constexpr std::size_t MaxOwnPrefixes = 20000;
// Typical token length in bytes of text.
constexpr std::size_t BytesPerToken = 4;

} // namespace

void EndpointRegistry::onDispatched(const EndpointId &Endpoint,
                                    std::string_view Prompt, Instant Now) {
  EndpointState &State = m_Endpoints[Endpoint];
  ++State.m_Running;
  State.m_LastUse = Now;
  m_Load.onDispatched(Endpoint, Now);
  recordPrefixes(Endpoint, Prompt);
}

void EndpointRegistry::onFinished(const EndpointId &Endpoint, Instant Now) {
  EndpointState &State = m_Endpoints[Endpoint];
  --State.m_Running;
  State.m_LastUse = Now;
  m_Load.onFinished(Endpoint, Now);
}

void EndpointRegistry::onDown(const EndpointId &Endpoint, Instant Until) {
  m_Endpoints[Endpoint].m_DownUntil = Until;
  // A restarted process has an empty cache.
  m_Prefixes.forget(Endpoint);
}

bool EndpointRegistry::isDown(const EndpointId &Endpoint, Instant Now) const {
  return downUntil(Endpoint) > Now;
}

Instant EndpointRegistry::downUntil(const EndpointId &Endpoint) const {
  const auto It = m_Endpoints.find(Endpoint);
  return It == m_Endpoints.end() ? Instant() : It->second.m_DownUntil;
}

std::int64_t EndpointRegistry::running(const EndpointId &Endpoint) const {
  const auto It = m_Endpoints.find(Endpoint);
  return It == m_Endpoints.end() ? 0 : It->second.m_Running;
}

void EndpointRegistry::reserve(const EndpointId &Endpoint,
                               const RequestId &Request) {
  m_Endpoints[Endpoint].m_ReservedFor = Request;
}

void EndpointRegistry::unreserve(const EndpointId &Endpoint) {
  m_Endpoints[Endpoint].m_ReservedFor = RequestId();
}

bool EndpointRegistry::isReservedFromOthers(const EndpointId &Endpoint,
                                            const RequestId &Request) const {
  const auto It = m_Endpoints.find(Endpoint);
  return It != m_Endpoints.end() && !It->second.m_ReservedFor.empty() &&
         It->second.m_ReservedFor != Request;
}

std::int64_t EndpointRegistry::prefixTokens(const EndpointId &Endpoint,
                                            std::string_view Prompt) const {
  const auto Hashes = routing::PrefixIndex::blockHashes(Prompt);
  std::size_t Own = Hashes.size();
  while (Own > 0) {
    const auto It = m_OwnPrefixes.find(Hashes[Own - 1]);
    if (It != m_OwnPrefixes.end() && It->second == Endpoint)
      break;
    --Own;
  }
  const std::size_t Blocks =
      std::max(Own, m_Prefixes.cachedBlocks(Endpoint, Prompt));
  return static_cast<std::int64_t>(Blocks * routing::PrefixIndex::BlockBytes /
                                   BytesPerToken);
}

std::vector<EndpointId> EndpointRegistry::usedSince(Instant Since) const {
  std::vector<EndpointId> Result;
  for (const auto &[Id, State] : m_Endpoints)
    if (State.m_Running > 0 || State.m_LastUse >= Since)
      Result.push_back(Id);
  return Result;
}

void EndpointRegistry::recordPrefixes(const EndpointId &Endpoint,
                                      std::string_view Prompt) {
  for (const std::uint64_t Hash : routing::PrefixIndex::blockHashes(Prompt)) {
    if (m_OwnPrefixes.insert_or_assign(Hash, Endpoint).second)
      m_OwnPrefixOrder.push_back(Hash);
    if (m_OwnPrefixOrder.size() > MaxOwnPrefixes) {
      m_OwnPrefixes.erase(m_OwnPrefixOrder.front());
      m_OwnPrefixOrder.pop_front();
    }
  }
}

} // namespace sff::router
