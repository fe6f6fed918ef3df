#pragma once

#include "StandIns/Support/LoadSampler.h"
#include "StandIns/Support/StandIn.h"

#include <map>

namespace sff::standin {

struct PlainServiceOptions {
  std::string m_Name;
  milliseconds m_ExecutionTime{0};
  milliseconds m_LoadReportPeriod{1000};
};

/// A service that counts its executions by idempotency key. An execution that
/// has started completes even if its caller disconnects.
/// Thread safety: use from the io_context's thread.
class PlainService {
public:
  PlainService(boost::asio::io_context &Context, PlainServiceOptions Options);

  void listen(const http::Address &Local) { m_StandIn.listen(Local); }

private:
  boost::asio::awaitable<HandlerResult> handleRequest(RequestContext &Incoming);
  nlohmann::json describe() const;

  StandIn m_StandIn;
  PlainServiceOptions m_Options;
  LoadSampler m_LoadSampler;
  std::int64_t m_Running = 0;
  std::int64_t m_Executions = 0;
  std::map<std::string, std::int64_t> m_ExecutionsByKey;
};

} // namespace sff::standin
