#pragma once

#include "StandIns/Support/LoadReport.h"
#include "StandIns/Support/StandIn.h"

#include <map>

namespace sff::standin {

struct PlainServiceOptions {
  std::string m_Name;
  milliseconds m_ExecutionTime{0};
  milliseconds m_LoadReportPeriod{1000};
};

/// A plain service that counts its executions by idempotency key. An execution
/// that has begun completes even when its caller leaves.
/// Thread safety: use from the io_context's thread.
class PlainService {
public:
  PlainService(boost::asio::io_context &Context, PlainServiceOptions Options);

  void listen(const http::Address &Local) { m_Base.listen(Local); }

private:
  boost::asio::awaitable<Answer> execute(Call &Incoming);
  nlohmann::json describe() const;

  StandIn m_Base;
  PlainServiceOptions m_Options;
  LoadReport m_Load;
  std::int64_t m_Running = 0;
  std::int64_t m_Executions = 0;
  std::map<std::string, std::int64_t> m_ByKey;
};

} // namespace sff::standin
