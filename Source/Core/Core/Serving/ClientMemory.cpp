#include "Core/Serving/ClientMemory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sff::serving {

ClientMemory::Share::Share(ClientMemory &Budget, std::function<void()> Evict)
    : m_Budget(Budget), m_Evict(std::move(Evict)) {
  m_Budget.m_Shares.insert(this);
}

ClientMemory::Share::~Share() {
  m_Budget.m_Used -= m_Size;
  m_Budget.m_Shares.erase(this);
}

bool ClientMemory::Share::tryResize(std::size_t Size) {
  const std::size_t Others = m_Budget.m_Used - m_Size;
  if (Size > m_Size && m_Budget.isLimited() &&
      Others + Size > m_Budget.limitFor(Size))
    return false;
  resize(Size);
  return true;
}

void ClientMemory::Share::resize(std::size_t Size) {
  m_Budget.m_Used = m_Budget.m_Used - m_Size + Size;
  m_Size = Size;
}

void ClientMemory::Share::awaitClient(bool Awaits, Instant Now) {
  if (Awaits && !m_AwaitsClient) {
    m_ProgressAt = Now;
    m_BytesSinceProgress = 0;
  }
  m_AwaitsClient = Awaits;
  m_IsEvicted = m_IsEvicted && Awaits;
}

void ClientMemory::Share::onProgress(std::size_t Bytes, Instant Now) {
  m_BytesSinceProgress += Bytes;
  if (m_BytesSinceProgress < ProgressBytes)
    return;
  m_BytesSinceProgress = 0;
  m_ProgressAt = Now;
}

std::optional<Duration> ClientMemory::Share::stallTime(Instant Now) const {
  if (!m_AwaitsClient)
    return std::nullopt;
  return Now - m_ProgressAt;
}

std::size_t ClientMemory::evictStalled(Instant Now) {
  if (Now < m_NextEvictionAt)
    return 0;
  m_NextEvictionAt = Now + EvictionInterval;
  std::vector<Share *> Stalled;
  for (Share *Candidate : m_Shares)
    if (Candidate->m_Size > 0 && !Candidate->m_IsEvicted &&
        Candidate->isStalled(Now))
      Stalled.push_back(Candidate);
  std::sort(Stalled.begin(), Stalled.end(),
            [](const Share *Left, const Share *Right) {
              return Left->m_Size > Right->m_Size;
            });
  std::size_t Freed = 0;
  std::size_t Evicted = 0;
  for (Share *Victim : Stalled) {
    if (Freed > m_Capacity / 8)
      break;
    Freed += Victim->m_Size;
    ++Evicted;
    Victim->m_IsEvicted = true;
    Victim->m_Evict();
  }
  return Evicted;
}

std::size_t ClientMemory::limitFor(std::size_t Size) const {
  if (Size <= SmallBytes)
    return m_Capacity;
  return m_Capacity -
         static_cast<std::size_t>(SmallPart * static_cast<double>(m_Capacity));
}

} // namespace sff::serving
