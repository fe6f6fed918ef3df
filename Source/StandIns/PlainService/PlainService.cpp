#include "StandIns/PlainService/PlainService.h"

#include "StandIns/Support/RateLimiter.h"

namespace sff::standin {

namespace asio = boost::asio;

PlainService::PlainService(asio::io_context &Context,
                           PlainServiceOptions Options)
    : m_StandIn(Context, nlohmann::json::object()),
      m_Options(std::move(Options)),
      m_LoadSampler(Context.get_executor(), m_Options.m_LoadReportPeriod,
                    [this] {
                      return LoadCounts{m_Running, 0};
                    }) {
  m_StandIn.route("GET", "/control/executions", ResponseFaults::None,
                  [this](RequestContext &) -> asio::awaitable<HandlerResult> {
                    co_return http::makeJsonResponse(200, describe());
                  });
  m_StandIn.route("GET", "/control/load", ResponseFaults::None,
                  [this](RequestContext &) -> asio::awaitable<HandlerResult> {
                    co_return http::makeJsonResponse(200,
                                                     m_LoadSampler.report());
                  });
  m_StandIn.route(
      "", "*", ResponseFaults::Enabled,
      [this](RequestContext &Incoming) { return handleRequest(Incoming); });
}

asio::awaitable<HandlerResult>
PlainService::handleRequest(RequestContext &Incoming) {
  const std::string Key = Incoming.header("Idempotency-Key");
  // Counted before the delay because the execution takes effect from here on,
  // even if the caller disconnects.
  const std::int64_t Number = ++m_Executions;
  if (!Key.empty())
    ++m_ExecutionsByKey[Key];
  ++m_Running;
  co_await sleepFor(m_Options.m_ExecutionTime);
  --m_Running;
  nlohmann::json Body = {{"service", m_Options.m_Name},
                         {"method", Incoming.m_Request.m_Method},
                         {"target", Incoming.m_Request.m_Target},
                         {"body", Incoming.m_Request.m_Body},
                         {"key", Key},
                         {"execution", Number}};
  http::Response Result = http::makeJsonResponse(200, Body);
  copyRequestIds(Incoming, Result);
  co_return Result;
}

nlohmann::json PlainService::describe() const {
  return {{"total", m_Executions}, {"by_key", m_ExecutionsByKey}};
}

} // namespace sff::standin
