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
  /// Prefill time of one prompt block that is not cached.
  milliseconds m_PrefillBlockTime{0};
  milliseconds m_LoadReportPeriod{0};

  std::int64_t m_PrefixCacheBlocks = 0;
  milliseconds m_CacheEventDelay{0};
  /// Every n-th cache event is dropped; 0 publishes all events.
  std::int64_t m_DropEveryNthEvent = 0;

  /// Rejects orders whose fencing token is below the highest one seen.
  bool m_Fencing = true;
  http::Address m_WeightStore;
  milliseconds m_MemoryLoadTime{0};
  milliseconds m_DiskLoadTime{0};
  std::int64_t m_MemoryCacheModels = 0;
  std::int64_t m_DiskCacheModels = 0;
  /// Weights that are initially on local disk, as model/version.
  std::vector<std::string> m_OnDisk;
};

} // namespace sff::standin
