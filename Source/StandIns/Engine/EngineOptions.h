#pragma once

#include "Net/Http/Message.h"

#include "Common/Time/Instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sff::standin {

struct EngineOptions {
  std::string m_Host;
  std::string m_Incarnation;

  std::int64_t m_MemoryBytes = 0;
  std::int64_t m_ParallelRequests = 0;
  milliseconds m_TokenTime{0};
  /// Time to process one prompt block that is not cached.
  milliseconds m_PrefillBlockTime{0};
  milliseconds m_LoadReportPeriod{0};

  std::int64_t m_PrefixCacheBlocks = 0;
  milliseconds m_CacheEventDelay{0};
  /// Each n-th cache event is never published; 0 publishes all.
  std::int64_t m_DropEachNthEvent = 0;

  /// Refuses orders with an old fencing token.
  bool m_Fencing = true;
  http::Address m_WeightStore;
  milliseconds m_MemoryLoadTime{0};
  milliseconds m_DiskLoadTime{0};
  std::int64_t m_MemoryCacheModels = 0;
  std::int64_t m_DiskCacheModels = 0;
  /// Weights on local disk at the start, as model/version.
  std::vector<std::string> m_OnDisk;
};

} // namespace sff::standin
