#include "StandIns/WeightStore/WeightService.h"

#include <algorithm>

namespace sff::standin {

namespace asio = boost::asio;

namespace {

/// Interval at which the bandwidth share of each running load is recalculated.
constexpr milliseconds TransferStep{10};

} // namespace

WeightService::WeightService(asio::io_context &Context, WeightOptions Options)
    : m_StandIn(Context, {{"slowdown", 1.0}}), m_Options(Options),
      m_RateLimiter(Options.m_LoadsPerSecond) {
  m_StandIn.route(
      "GET", "/v1/weights/{}/{}", ResponseFaults::Enabled,
      [this](RequestContext &Incoming) { return handleLoad(Incoming); });
  m_StandIn.route("GET", "/v1/loads", ResponseFaults::None,
                  [this](RequestContext &) -> asio::awaitable<HandlerResult> {
                    co_return http::makeJsonResponse(200, describe());
                  });
}

double WeightService::bytesPerSecond() const {
  const double Share =
      std::min(1.0, static_cast<double>(m_Options.m_FullSpeedLoads) /
                        static_cast<double>(m_Running));
  return m_Options.m_BytesPerSecond * Share /
         std::max(1.0, m_StandIn.faults().get<double>("slowdown"));
}

asio::awaitable<bool> WeightService::transfer(http::Exchange &Caller,
                                              double Bytes) {
  Instant Last = std::chrono::steady_clock::now();
  while (Bytes > 0) {
    co_await sleepFor(std::min<Duration>(
        TransferStep, fromSeconds(Bytes / bytesPerSecond())));
    if (Caller.isCallerDisconnected())
      co_return false;
    const Instant Now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> Step = Now - Last;
    Bytes -= bytesPerSecond() * Step.count();
    Last = Now;
  }
  co_return true;
}

asio::awaitable<HandlerResult>
WeightService::handleLoad(RequestContext &Incoming) {
  const std::string Model = Incoming.m_PathParameters.front();
  const auto Bytes = static_cast<double>(Incoming.number("bytes", 0));
  co_await sleepFor(m_RateLimiter.reserve(std::chrono::steady_clock::now()));
  if (Incoming.m_Exchange.isCallerDisconnected())
    co_return std::nullopt;
  ++m_StartedLoads[Model];
  m_PeakRunning = std::max(m_PeakRunning, ++m_Running);
  const bool Complete = co_await transfer(Incoming.m_Exchange, Bytes);
  --m_Running;
  if (!Complete)
    co_return std::nullopt;
  ++m_CompletedLoads[Model];
  co_return http::makeJsonResponse(200, {{"model", Model}, {"bytes", Bytes}});
}

nlohmann::json WeightService::describe() const {
  return {{"started", m_StartedLoads},
          {"completed", m_CompletedLoads},
          {"running", m_Running},
          {"peak_running", m_PeakRunning}};
}

} // namespace sff::standin
