#pragma once

#include "StandIns/Support/RateLimiter.h"
#include "StandIns/Support/StandIn.h"

#include <map>

namespace sff::standin {

struct WeightOptions {
  double m_LoadsPerSecond = 0;
  double m_BytesPerSecond = 0; ///< Bandwidth of one load at full speed.
  std::int64_t m_FullSpeedLoads = 1;
};

/// The rate-limited weight store. With more than m_FullSpeedLoads parallel
/// loads, all running loads slow down in proportion. Additional fault: slowdown
/// (factor on the load time).
/// Thread safety: use from the io_context's thread.
class WeightService {
public:
  WeightService(boost::asio::io_context &Context, WeightOptions Options);

  void listen(const http::Address &Local) { m_StandIn.listen(Local); }

private:
  boost::asio::awaitable<HandlerResult> handleLoad(RequestContext &Incoming);
  boost::asio::awaitable<bool> transfer(http::Exchange &Caller, double Bytes);
  double bytesPerSecond() const;
  nlohmann::json describe() const;

  StandIn m_StandIn;
  WeightOptions m_Options;
  RateLimiter m_RateLimiter;
  std::int64_t m_Running = 0;
  std::int64_t m_PeakRunning = 0;
  std::map<std::string, std::int64_t> m_StartedLoads;
  std::map<std::string, std::int64_t> m_CompletedLoads;
};

} // namespace sff::standin
