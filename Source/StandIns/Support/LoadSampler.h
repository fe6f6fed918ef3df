#pragma once

#include "Net/Timers/TimerService.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace sff::standin {

struct LoadCounts {
  std::int64_t m_Running = 0;
  std::int64_t m_Queued = 0;
};

/// Load report with a realistic delay: the counts are sampled once per period.
/// Thread safety: use from the executor's thread.
class LoadSampler {
public:
  /// \p ReadCounts returns the current counts; the first sample is all zeros.
  LoadSampler(const boost::asio::any_io_executor &Executor, milliseconds Period,
              std::function<LoadCounts()> ReadCounts);

  /// The latest sample: `running`, `queued` and its age, `age_ms`.
  nlohmann::json report() const;

private:
  void recordSample(const LoadCounts &Counts);

  std::function<LoadCounts()> m_ReadCounts;
  nlohmann::json m_Sample;
  Instant m_SampledAt;
  timers::TimerService m_Timers;
  timers::TimerHandle m_Sampling;
};

} // namespace sff::standin
