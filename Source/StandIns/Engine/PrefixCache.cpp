#include "StandIns/Engine/PrefixCache.h"

namespace sff::standin {

namespace {

constexpr std::size_t MaxEvents = 20000;
constexpr std::size_t MaxEventsPerResponse = 5000;

} // namespace

std::size_t PrefixCache::insert(std::span<const std::uint64_t> Blocks,
                                Instant Now) {
  std::size_t Cached = 0;
  while (Cached < Blocks.size() && m_LruPositions.contains(Blocks[Cached]))
    ++Cached;
  // In reverse, so that the first blocks of the prompt are evicted last.
  for (auto It = Blocks.rbegin(); It != Blocks.rend(); ++It)
    touch(*It, Now);
  return Cached;
}

void PrefixCache::touch(std::uint64_t Block, Instant Now) {
  if (const auto Known = m_LruPositions.find(Block);
      Known != m_LruPositions.end()) {
    m_LruOrder.splice(m_LruOrder.begin(), m_LruOrder, Known->second);
    return;
  }
  m_LruOrder.push_front(Block);
  m_LruPositions[Block] = m_LruOrder.begin();
  publish(Block, true, Now);
  if (m_LruOrder.size() <= m_Limit)
    return;
  const std::uint64_t Evicted = m_LruOrder.back();
  m_LruOrder.pop_back();
  m_LruPositions.erase(Evicted);
  publish(Evicted, false, Now);
}

void PrefixCache::publish(std::uint64_t Block, bool Stored, Instant Now) {
  const auto Sequence = static_cast<std::int64_t>(++m_LastSequence);
  if (m_DropEveryNth > 0 && Sequence % m_DropEveryNth == 0)
    return;
  m_Events.push_back({m_LastSequence, Block, Stored, Now});
  if (m_Events.size() > MaxEvents)
    m_Events.pop_front();
}

nlohmann::json PrefixCache::events(std::uint64_t From, Instant Now) const {
  nlohmann::json List = nlohmann::json::array();
  std::uint64_t Next = From;
  for (const Event &Item : m_Events) {
    if (Item.m_PublishedFrom + m_EventDelay > Now ||
        List.size() == MaxEventsPerResponse)
      break;
    if (Item.m_Sequence < From)
      continue;
    List.push_back({{"sequence", Item.m_Sequence},
                    {"block", Item.m_Block},
                    {"stored", Item.m_Stored}});
    Next = Item.m_Sequence + 1;
  }
  return {{"next", Next}, {"events", List}};
}

} // namespace sff::standin
