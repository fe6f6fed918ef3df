#pragma once

#include "StandIns/Support/StandIn.h"
#include "StandIns/Support/Wait.h"

#include <map>

namespace sff::standin {

struct WeightOptions {
  double m_LoadsPerSecond = 0;
  double m_BytesPerSecond = 0; ///< Of one load at full speed.
  std::int64_t m_FullSpeedLoads = 1;
};

/// The rate-limited weight store. Loads above the limit of parallel loads at
/// full speed slow all running loads down in proportion. Faults besides the
/// common ones: slowdown (factor on the load time).
/// Thread safety: use from the io_context's thread.
class WeightService {
public:
  WeightService(boost::asio::io_context &Context, WeightOptions Options);

  void listen(const http::Address &Local) { m_Base.listen(Local); }

private:
  boost::asio::awaitable<Answer> load(Call &Incoming);
  boost::asio::awaitable<bool> transfer(http::Exchange &Caller, double Bytes);
  double bytesPerSecond() const;
  nlohmann::json describe() const;

  StandIn m_Base;
  WeightOptions m_Options;
  RateLimit m_Rate;
  std::int64_t m_Running = 0;
  std::int64_t m_PeakRunning = 0;
  std::map<std::string, std::int64_t> m_Started;
  std::map<std::string, std::int64_t> m_Completed;
};

} // namespace sff::standin
