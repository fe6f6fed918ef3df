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

std::map<std::string, std::string> WeightCache::describe() const {
  std::map<std::string, std::string> Places;
  for (const Keys *Place : {&m_Memory, &m_Disk})
    for (const std::string &Key : *Place)
      Places[Key.substr(0, Key.rfind('/'))] = toString(locate(Key));
  return Places;
}

} // namespace sff::standin
