#include "StandIns/Support/LoadSampler.h"

namespace sff::standin {

LoadSampler::LoadSampler(const boost::asio::any_io_executor &Executor,
                         milliseconds Period,
                         std::function<LoadCounts()> ReadCounts)
    : m_ReadCounts(std::move(ReadCounts)), m_Timers(Executor),
      m_Sampling(
          m_Timers.every(Period, [this] { recordSample(m_ReadCounts()); })) {
  recordSample({});
}

void LoadSampler::recordSample(const LoadCounts &Counts) {
  m_Sample = {{"running", Counts.m_Running}, {"queued", Counts.m_Queued}};
  m_SampledAt = std::chrono::steady_clock::now();
}

nlohmann::json LoadSampler::report() const {
  nlohmann::json Result = m_Sample;
  const Duration Age = std::chrono::steady_clock::now() - m_SampledAt;
  Result["age_ms"] = toMilliseconds(Age).count();
  return Result;
}

} // namespace sff::standin
