#include "StandIns/Engine/WeightCache.h"

#include <algorithm>

namespace sff::standin {

std::string toString(WeightPlace Place) {
  if (Place == WeightPlace::Memory)
    return "memory";
  return Place == WeightPlace::Disk ? "disk" : "remote";
}

WeightPlace WeightCache::locate(const std::string &Key) const {
  if (std::ranges::find(m_Memory, Key) != m_Memory.end())
    return WeightPlace::Memory;
  return std::ranges::find(m_Disk, Key) != m_Disk.end() ? WeightPlace::Disk
                                                        : WeightPlace::Remote;
}

void WeightCache::put(Keys &Place, const std::string &Key, std::int64_t Limit) {
  Place.remove(Key);
  Place.push_front(Key);
  if (Place.size() > static_cast<std::size_t>(Limit))
    Place.pop_back();
}

nlohmann::json WeightCache::describe() const {
  nlohmann::json List = nlohmann::json::array();
  for (const Keys *Place : {&m_Memory, &m_Disk})
    for (const std::string &Key : *Place) {
      const auto Slash = Key.rfind('/');
      List.push_back({{"model", Key.substr(0, Slash)},
                      {"version", Key.substr(Slash + 1)},
                      {"where", Place == &m_Memory ? "memory" : "disk"}});
    }
  return List;
}

} // namespace sff::standin
