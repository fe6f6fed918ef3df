#include "StandIns/Engine/WeightCache.h"

#include <algorithm>

namespace sff::standin {

std::string toString(WeightLocation Location) {
  if (Location == WeightLocation::Memory)
    return "memory";
  return Location == WeightLocation::Disk ? "disk" : "remote";
}

WeightLocation WeightCache::locate(const std::string &Key) const {
  if (std::ranges::find(m_Memory, Key) != m_Memory.end())
    return WeightLocation::Memory;
  return std::ranges::find(m_Disk, Key) != m_Disk.end()
             ? WeightLocation::Disk
             : WeightLocation::Remote;
}

void WeightCache::put(Keys &CachedKeys, const std::string &Key,
                      std::int64_t Limit) {
  CachedKeys.remove(Key);
  CachedKeys.push_front(Key);
  if (CachedKeys.size() > static_cast<std::size_t>(Limit))
    CachedKeys.pop_back();
}

nlohmann::json WeightCache::describe() const {
  nlohmann::json List = nlohmann::json::array();
  for (const Keys *CachedKeys : {&m_Memory, &m_Disk})
    for (const std::string &Key : *CachedKeys) {
      const auto Slash = Key.rfind('/');
      List.push_back({{"model", Key.substr(0, Slash)},
                      {"version", Key.substr(Slash + 1)},
                      {"where", CachedKeys == &m_Memory ? "memory" : "disk"}});
    }
  return List;
}

} // namespace sff::standin
