#pragma once

#include "StandIns/PlatformLog/LogStream.h"
#include "StandIns/Support/RateLimiter.h"
#include "StandIns/Support/StandIn.h"

#include <map>

namespace sff::standin {

struct LogOptions {
  std::int64_t m_Retention = 0; ///< Maximum number of records per stream.
  double m_AppendsPerSecond = 0;
};

/// The platform's append-only log. Additional faults:
/// - late_append_ms: closes the connection at once and appends after this
/// delay;
/// - duplicate_append: appends the record twice;
/// - retention: overrides the number of records kept per stream.
/// Thread safety: use from the io_context's thread.
class LogService {
public:
  LogService(boost::asio::io_context &Context, LogOptions Options);

  void listen(const http::Address &Local) { m_StandIn.listen(Local); }

private:
  struct Stream {
    LogStream m_Log;
    AsyncCondition m_Changed;
  };

  boost::asio::awaitable<HandlerResult> handleAppend(RequestContext &Incoming);
  boost::asio::awaitable<HandlerResult> handleRead(RequestContext &Incoming);
  nlohmann::json describe() const;
  Offset store(const std::string &Name, std::string Data);

  StandIn m_StandIn;
  RateLimiter m_RateLimiter;
  std::map<std::string, Stream> m_Streams;
};

} // namespace sff::standin
