#include "StandIns/Engine/PrefixCache.h"

namespace sff::standin {

namespace {

constexpr std::size_t KeptEvents = 20000;
constexpr std::size_t EventsPerAnswer = 5000;

} // namespace

std::size_t PrefixCache::use(std::span<const std::uint64_t> Blocks,
                             Instant Now) {
  std::size_t Cached = 0;
  while (Cached < Blocks.size() && m_Places.contains(Blocks[Cached]))
    ++Cached;
  // From the end, so that the start of the prompt is evicted last.
  for (auto It = Blocks.rbegin(); It != Blocks.rend(); ++It)
    touch(*It, Now);
  return Cached;
}

void PrefixCache::touch(std::uint64_t Block, Instant Now) {
  if (const auto Known = m_Places.find(Block); Known != m_Places.end()) {
    m_Recent.splice(m_Recent.begin(), m_Recent, Known->second);
    return;
  }
  m_Recent.push_front(Block);
  m_Places[Block] = m_Recent.begin();
  publish(Block, true, Now);
  if (m_Recent.size() <= m_Limit)
    return;
  const std::uint64_t Evicted = m_Recent.back();
  m_Recent.pop_back();
  m_Places.erase(Evicted);
  publish(Evicted, false, Now);
}

void PrefixCache::publish(std::uint64_t Block, bool Stored, Instant Now) {
  const auto Sequence = static_cast<std::int64_t>(++m_LastSequence);
  if (m_DropEachNth > 0 && Sequence % m_DropEachNth == 0)
    return;
  m_Events.push_back({m_LastSequence, Block, Stored, Now});
  if (m_Events.size() > KeptEvents)
    m_Events.pop_front();
}

nlohmann::json PrefixCache::events(std::uint64_t From, Instant Now) const {
  nlohmann::json List = nlohmann::json::array();
  std::uint64_t Next = From;
  for (const Event &Item : m_Events) {
    if (Item.m_At + m_EventDelay > Now || List.size() == EventsPerAnswer)
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
