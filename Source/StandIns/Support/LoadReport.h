#pragma once

#include "Net/Timers/TimerService.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace sff::standin {

struct LoadCounts {
  std::int64_t m_Running = 0;
  std::int64_t m_Queued = 0;
};

/// Load report that lags, because it is sampled once a period.
/// Thread safety: use from the executor's thread.
class LoadReport {
public:
  /// \p Count returns the present counts; the first sample is all zero.
  LoadReport(const boost::asio::any_io_executor &Executor, milliseconds Period,
             std::function<LoadCounts()> Count);

  /// The last sample: `running`, `queued` and `age_ms`.
  nlohmann::json report() const;

private:
  void store(const LoadCounts &Counts);

  std::function<LoadCounts()> m_Count;
  nlohmann::json m_Sample;
  Instant m_SampledAt;
  timers::TimerService m_Timers;
  timers::Subscription m_Sampling;
};

} // namespace sff::standin
