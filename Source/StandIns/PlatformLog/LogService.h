#pragma once

#include "StandIns/PlatformLog/LogStream.h"
#include "StandIns/Support/StandIn.h"
#include "StandIns/Support/Wait.h"

#include <map>

namespace sff::standin {

struct LogOptions {
  std::int64_t m_Retention = 0; ///< Records kept in each stream.
  double m_AppendsPerSecond = 0;
};

/// The platform's append-only log. Faults besides the common ones:
/// late_append_ms, duplicate_append and retention.
/// Thread safety: use from the io_context's thread.
class LogService {
public:
  LogService(boost::asio::io_context &Context, LogOptions Options);

  void listen(const http::Address &Local) { m_Base.listen(Local); }

private:
  struct Stream {
    LogStream m_Log;
    Signal m_Changed;
  };

  boost::asio::awaitable<Answer> append(Call &Incoming);
  boost::asio::awaitable<Answer> read(Call &Incoming);
  nlohmann::json describe() const;
  Offset store(const std::string &Name, std::string Data);

  StandIn m_Base;
  RateLimit m_Rate;
  std::map<std::string, Stream> m_Streams;
};

} // namespace sff::standin
