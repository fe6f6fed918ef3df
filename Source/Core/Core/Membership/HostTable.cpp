#include "Core/Membership/HostTable.h"

#include <algorithm>

namespace sff::membership {

namespace {

bool isNewer(const HostHeartbeat &Left, const HostHeartbeat &Right) {
  if (Left.m_Sequence != Right.m_Sequence)
    return Left.m_Sequence > Right.m_Sequence;
  return Left.m_Incarnation > Right.m_Incarnation;
}

bool isKnownTo(std::span<const HostHeartbeat> Received,
               const HostHeartbeat &Item) {
  return std::ranges::any_of(Received, [&](const HostHeartbeat &Other) {
    return Other.m_Host == Item.m_Host && !isNewer(Item, Other);
  });
}

} // namespace

HostTable::HostTable(HostHeartbeat Self, Instant) : m_Self(std::move(Self)) {}

void HostTable::updateSelf(Offset Applied, bool LogReachable, Offset Snapshot) {
  m_Self.m_AppliedOffset = Applied;
  m_Self.m_LogReachable = LogReachable;
  m_Self.m_SnapshotOffset = std::max(m_Self.m_SnapshotOffset, Snapshot);
}

void HostTable::advance() { ++m_Self.m_Sequence; }

void HostTable::leave() {
  m_Self.m_Leaving = true;
  advance();
}

bool HostTable::merge(const HostHeartbeat &Item, Instant Now) {
  if (Item.m_Host == m_Self.m_Host) {
    if (Item.m_Incarnation != m_Self.m_Incarnation && isNewer(Item, m_Self))
      m_Self.m_Sequence = Item.m_Sequence + 1;
    return false;
  }
  const auto It = m_Others.find(Item.m_Host);
  if (It != m_Others.end() && !isNewer(Item, It->second.m_Heartbeat))
    return false;
  m_Others[Item.m_Host] = {Item, Now, 0};
  return true;
}

std::vector<HostHeartbeat>
HostTable::select(std::size_t Limit, std::span<const HostHeartbeat> Received,
                  Instant Now, milliseconds MaxAge) {
  std::vector<HostHeartbeat> Chosen{m_Self};
  std::vector<Entry *> RecentlyChanged;
  std::vector<const Entry *> Rest;
  for (auto &[Host, Item] : m_Others) {
    if (Now - Item.m_UpdatedAt > MaxAge ||
        isKnownTo(Received, Item.m_Heartbeat))
      continue;
    if (Item.m_SendCount < MaxSends)
      RecentlyChanged.push_back(&Item);
    else
      Rest.push_back(&Item);
  }
  std::ranges::sort(RecentlyChanged, [](const Entry *Left, const Entry *Right) {
    if (Left->m_SendCount != Right->m_SendCount)
      return Left->m_SendCount < Right->m_SendCount;
    return Left->m_UpdatedAt > Right->m_UpdatedAt;
  });
  for (Entry *Item : RecentlyChanged) {
    // Reserves one place for an entry chosen in rotation.
    if (Chosen.size() + 1 >= Limit)
      break;
    ++Item->m_SendCount;
    Chosen.push_back(Item->m_Heartbeat);
  }
  if (Chosen.size() < Limit)
    appendRotated(Chosen, Rest);
  return Chosen;
}

void HostTable::appendRotated(std::vector<HostHeartbeat> &Chosen,
                              std::span<const Entry *const> Rest) {
  if (Rest.empty())
    return;
  auto It = std::ranges::find_if(Rest, [&](const Entry *Item) {
    return Item->m_Heartbeat.m_Host > m_LastRotatedHost;
  });
  if (It == Rest.end())
    It = Rest.begin();
  m_LastRotatedHost = (*It)->m_Heartbeat.m_Host;
  Chosen.push_back((*It)->m_Heartbeat);
}

std::vector<HostHeartbeat> HostTable::liveOthers(Instant Now,
                                                 milliseconds MaxAge) const {
  std::vector<HostHeartbeat> Result;
  for (const auto &[Host, Item] : m_Others)
    if (!Item.m_Heartbeat.m_Leaving && Now - Item.m_UpdatedAt <= MaxAge)
      Result.push_back(Item.m_Heartbeat);
  return Result;
}

std::vector<messages::HostStatus> HostTable::statuses(Instant Now) const {
  std::vector<messages::HostStatus> Result{{m_Self, milliseconds(0)}};
  for (const auto &[Host, Item] : m_Others)
    Result.push_back(
        {Item.m_Heartbeat, toMilliseconds(Now - Item.m_UpdatedAt)});
  return Result;
}

void HostTable::forget(Instant Now, milliseconds MaxAge) {
  std::erase_if(m_Others, [&](const auto &Pair) {
    return Now - Pair.second.m_UpdatedAt > MaxAge;
  });
}

Offset HostTable::newestSnapshot() const {
  Offset Result = m_Self.m_SnapshotOffset;
  for (const auto &[Host, Item] : m_Others)
    Result = std::max(Result, Item.m_Heartbeat.m_SnapshotOffset);
  return Result;
}

} // namespace sff::membership
