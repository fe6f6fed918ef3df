#include "StandIns/PlainService/PlainService.h"

#include "StandIns/Support/Wait.h"

namespace sff::standin {

namespace asio = boost::asio;

PlainService::PlainService(asio::io_context &Context,
                           PlainServiceOptions Options)
    : m_Base(Context, nlohmann::json::object()), m_Options(std::move(Options)),
      m_Load(Context.get_executor(), m_Options.m_LoadReportPeriod, [this] {
        return LoadCounts{m_Running, 0};
      }) {
  m_Base.route("GET", "/control/executions", RouteKind::Control,
               [this](Call &) -> asio::awaitable<Answer> {
                 co_return http::makeJson(200, describe());
               });
  m_Base.route("GET", "/control/load", RouteKind::Control,
               [this](Call &) -> asio::awaitable<Answer> {
                 co_return http::makeJson(200, m_Load.report());
               });
  m_Base.route("", "*", RouteKind::Work,
               [this](Call &Incoming) { return execute(Incoming); });
}

asio::awaitable<Answer> PlainService::execute(Call &Incoming) {
  const std::string Key = Incoming.header("Idempotency-Key");
  // Counted at the start, because from here on the effect takes place.
  const std::int64_t Number = ++m_Executions;
  if (!Key.empty())
    ++m_ByKey[Key];
  ++m_Running;
  co_await sleepFor(m_Options.m_ExecutionTime);
  --m_Running;
  nlohmann::json Body = {{"service", m_Options.m_Name},
                         {"method", Incoming.m_Request.m_Method},
                         {"target", Incoming.m_Request.m_Target},
                         {"body", Incoming.m_Request.m_Body},
                         {"key", Key},
                         {"execution", Number}};
  http::Response Result = http::makeJson(200, Body);
  echoIds(Incoming, Result);
  co_return Result;
}

nlohmann::json PlainService::describe() const {
  return {{"total", m_Executions}, {"by_key", m_ByKey}};
}

} // namespace sff::standin
