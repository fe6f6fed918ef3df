#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <string>

namespace sff::standin {

/// Where the weights of a model version are stored.
enum class WeightLocation { Memory, Disk, Remote };

std::string toString(WeightLocation Location);

/// Cached weights in host memory and on local disk. Each location keeps a
/// limited number of the most recently used models. Thread safety: use from one
/// thread.
class WeightCache {
public:
  WeightCache(std::int64_t MemoryModels, std::int64_t DiskModels)
      : m_MemoryModels(MemoryModels), m_DiskModels(DiskModels) {}

  /// Nearest location of the weights. \p Key is model/version.
  WeightLocation locate(const std::string &Key) const;

  void putOnDisk(const std::string &Key) { put(m_Disk, Key, m_DiskModels); }
  void putInMemory(const std::string &Key) {
    put(m_Memory, Key, m_MemoryModels);
  }

  /// All cached models with their locations.
  nlohmann::json describe() const;

private:
  using Keys = std::list<std::string>;
  static void put(Keys &CachedKeys, const std::string &Key, std::int64_t Limit);

  std::int64_t m_MemoryModels;
  std::int64_t m_DiskModels;
  Keys m_Memory;
  Keys m_Disk;
};

} // namespace sff::standin
