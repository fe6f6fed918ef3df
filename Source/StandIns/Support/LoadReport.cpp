#include "StandIns/Support/LoadReport.h"

namespace sff::standin {

LoadReport::LoadReport(const boost::asio::any_io_executor &Executor,
                       milliseconds Period, std::function<LoadCounts()> Count)
    : m_Count(std::move(Count)), m_Timers(Executor),
      m_Sampling(m_Timers.every(Period, [this] { store(m_Count()); })) {
  store({});
}

void LoadReport::store(const LoadCounts &Counts) {
  m_Sample = {{"running", Counts.m_Running}, {"queued", Counts.m_Queued}};
  m_SampledAt = std::chrono::steady_clock::now();
}

nlohmann::json LoadReport::report() const {
  nlohmann::json Result = m_Sample;
  const Duration Age = std::chrono::steady_clock::now() - m_SampledAt;
  Result["age_ms"] = toMilliseconds(Age).count();
  return Result;
}

} // namespace sff::standin
