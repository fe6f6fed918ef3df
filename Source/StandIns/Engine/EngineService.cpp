#include "StandIns/Engine/EngineService.h"

#include "Common/Logging/Log.h"
#include "StandIns/Engine/Completion.h"

#include <unistd.h>

namespace sff::standin {

namespace asio = boost::asio;

namespace {

constexpr int CrashExitCode = 134;
/// Maximum time that a response waits for another one to be swapped with.
constexpr milliseconds ResponseSwapTimeout{2000};

nlohmann::json engineFaults() {
  return {{"crash_on", ""},
          {"crossed_answers", false},
          {"cut_stream_after", 0},
          {"slow_load", 1.0}};
}

http::Response makeRejection(int Status, const char *Reason) {
  return http::makeJsonResponse(Status, {{"reason", Reason}});
}

} // namespace

EngineService::EngineService(asio::io_context &Context, EngineOptions Options)
    : m_StandIn(Context, engineFaults()), m_Options(std::move(Options)),
      m_AcceleratorMemory(m_Options.m_MemoryBytes),
      m_OrderHandler(Context, m_Options, m_StandIn.faults(), m_Models,
                     m_AcceleratorMemory),
      m_BatchScheduler(m_Options.m_ParallelRequests),
      m_PrefixCache(m_Options.m_PrefixCacheBlocks, m_Options.m_CacheEventDelay,
                    m_Options.m_DropEveryNthEvent),
      m_LoadSampler(Context.get_executor(), m_Options.m_LoadReportPeriod,
                    [this] {
                      return LoadCounts{m_BatchScheduler.running(),
                                        m_BatchScheduler.queued()};
                    }) {
  addRequestRoutes();
  addControlRoutes();
}

void EngineService::addRequestRoutes() {
  const Handler Complete = [this](RequestContext &Incoming) {
    return serveAttempt(Incoming, parseCompletionRequest(Incoming));
  };
  m_StandIn.route("POST", "/v1/completions", ResponseFaults::Enabled, Complete);
  m_StandIn.route("POST", "/v1/chat/completions", ResponseFaults::Enabled,
                  Complete);
  m_StandIn.route(
      "POST", "/v1/requests/{}/resume", ResponseFaults::Enabled,
      [this](RequestContext &Incoming) { return handleResume(Incoming); });
  m_StandIn.route(
      "POST", "/v1/requests/{}/cancel", ResponseFaults::None,
      [this](RequestContext &Incoming) -> asio::awaitable<HandlerResult> {
        const std::size_t Count =
            m_Requests.cancel(Incoming.m_PathParameters.front());
        co_return http::makeJsonResponse(Count > 0 ? 200 : 404,
                                         {{"cancelled", Count}});
      });
}

void EngineService::addControlRoutes() {
  m_StandIn.route(
      "POST", "/control/orders", ResponseFaults::None,
      [this](RequestContext &Incoming) -> asio::awaitable<HandlerResult> {
        Order NewOrder = Incoming.json().get<Order>();
        co_return co_await m_OrderHandler.execute(std::move(NewOrder));
      });
  m_StandIn.route("GET", "/control/inventory", ResponseFaults::None,
                  [this](RequestContext &) -> asio::awaitable<HandlerResult> {
                    co_return http::makeJsonResponse(200, inventory());
                  });
  m_StandIn.route("GET", "/control/load", ResponseFaults::None,
                  [this](RequestContext &) -> asio::awaitable<HandlerResult> {
                    co_return http::makeJsonResponse(200,
                                                     m_LoadSampler.report());
                  });
  m_StandIn.route(
      "GET", "/control/cache-events", ResponseFaults::None,
      [this](RequestContext &Incoming) -> asio::awaitable<HandlerResult> {
        const auto From =
            static_cast<std::uint64_t>(Incoming.number("from", 1));
        nlohmann::json Events =
            m_PrefixCache.events(From, std::chrono::steady_clock::now());
        Events["incarnation"] = m_Options.m_Incarnation;
        co_return http::makeJsonResponse(200, Events);
      });
  m_StandIn.route(
      "POST", "/control/attention/export", ResponseFaults::None,
      [this](RequestContext &Incoming) -> asio::awaitable<HandlerResult> {
        co_return handleKvCacheExport(Incoming);
      });
  m_StandIn.route(
      "POST", "/control/attention/import", ResponseFaults::None,
      [this](RequestContext &Incoming) -> asio::awaitable<HandlerResult> {
        co_return handleKvCacheImport(Incoming);
      });
}

std::optional<http::Response>
EngineService::rejectionFor(const CompletionAttempt &Attempt) {
  const auto *Model = m_Models.findReady(Attempt.m_Identity.m_Source.m_Model);
  if (!Model)
    return makeRejection(404, "model_not_loaded");
  const std::int64_t Limit = Model->m_Order.m_MaxTokens;
  if (Limit > 0 &&
      static_cast<std::int64_t>(Attempt.m_Identity.m_MaxTokens) > Limit)
    return makeRejection(400, "too_many_tokens");
  return std::nullopt;
}

void EngineService::crashOnMarker(const CompletionAttempt &Attempt) const {
  const auto Marker = m_StandIn.faults().get<std::string>("crash_on");
  if (!Marker.empty() &&
      Attempt.m_Identity.m_Source.m_Prompt.find(Marker) != std::string::npos)
    _exit(CrashExitCode);
}

asio::awaitable<HandlerResult>
EngineService::serveAttempt(RequestContext &Incoming,
                            RequestTable::AttemptPtr Attempt) {
  if (auto Rejection = rejectionFor(*Attempt))
    co_return Rejection;
  crashOnMarker(*Attempt);
  const std::string Name = Attempt->m_Identity.m_Source.m_Model;
  ModelTable::Entry *Model = m_Models.findReady(Name);
  Attempt->m_KvCacheBytes =
      Model->m_Order.m_BytesPerToken *
      static_cast<std::int64_t>(Attempt->m_Identity.m_MaxTokens);
  ++Model->m_ActiveRequests;
  ++m_Accepted;
  m_AcceleratorMemory.add(Attempt->m_KvCacheBytes);
  m_Requests.add(Attempt);
  HandlerResult Result = co_await executeAttempt(Incoming, *Attempt);
  m_Requests.finish(Attempt);
  m_AcceleratorMemory.remove(Attempt->m_KvCacheBytes);
  // The entry still exists because a model with active requests cannot be
  // unloaded.
  --m_Models.find(Name)->m_ActiveRequests;
  co_return Result;
}

asio::awaitable<HandlerResult>
EngineService::executeAttempt(RequestContext &Incoming,
                              CompletionAttempt &Attempt) {
  http::Exchange &Caller = Incoming.m_Exchange;
  std::function<bool()> IsCancelled = [&Caller, &Attempt] {
    return Attempt.m_Cancelled || Caller.isCallerDisconnected();
  };
  const bool Admitted = co_await m_BatchScheduler.admit(Attempt.m_Priority,
                                                        std::move(IsCancelled));
  if (!Admitted)
    co_return makeCompletionResponse(Attempt, Attempt.m_StartToken);
  Attempt.m_InBatch = true;
  co_await swapResponses(Attempt);
  co_await prefill(Attempt);
  HandlerResult Result;
  if (Attempt.m_Stream)
    Result = co_await stream(Incoming, Attempt);
  else
    Result = co_await generate(Incoming, Attempt);
  m_BatchScheduler.release();
  co_return Result;
}

asio::awaitable<void> EngineService::prefill(CompletionAttempt &Attempt) {
  const auto Blocks = promptBlockHashes(Attempt.m_Identity.m_Source.m_Prompt);
  const std::size_t Cached =
      m_PrefixCache.insert(Blocks, std::chrono::steady_clock::now());
  co_await sleepFor(m_Options.m_PrefillBlockTime *
                    static_cast<std::int64_t>(Blocks.size() - Cached));
}

asio::awaitable<bool> EngineService::nextToken(RequestContext &Incoming,
                                               CompletionAttempt &Attempt) {
  co_await sleepFor(m_Options.m_TokenTime);
  const bool Connected =
      co_await m_StandIn.waitWhileFrozen(Incoming.m_Exchange);
  if (!Connected)
    Attempt.m_Cancelled = true;
  co_return !Attempt.m_Cancelled;
}

asio::awaitable<HandlerResult>
EngineService::generate(RequestContext &Incoming, CompletionAttempt &Attempt) {
  std::size_t Token = Attempt.m_StartToken;
  while (Token < Attempt.m_ReportedIdentity.m_MaxTokens) {
    // GCC 12 miscompiles this call if it is part of the loop condition.
    const bool More = co_await nextToken(Incoming, Attempt);
    if (!More)
      break;
    Attempt.m_GeneratedTokens = ++Token;
  }
  if (!Attempt.m_Cancelled)
    ++m_Completed;
  co_return makeCompletionResponse(Attempt, Token);
}

asio::awaitable<HandlerResult>
EngineService::stream(RequestContext &Incoming, CompletionAttempt &Attempt) {
  http::Exchange &Caller = Incoming.m_Exchange;
  const InjectedFaults &Faults = m_StandIn.faults();
  co_await sleepFor(milliseconds(Faults.get<std::int64_t>("late_answer_ms")));
  bool Open = co_await Caller.beginStream(makeStreamHead(Attempt));
  const auto CutAfter = Faults.get<std::size_t>("cut_stream_after");
  std::size_t Token = Attempt.m_StartToken;
  while (Open && Token < Attempt.m_ReportedIdentity.m_MaxTokens) {
    const bool More = co_await nextToken(Incoming, Attempt);
    if (!More)
      break;
    if (CutAfter > 0 && Token - Attempt.m_StartToken >= CutAfter) {
      Caller.abort();
      co_return std::nullopt;
    }
    const std::string Event = makeTokenEvent(Attempt, Token);
    Open = co_await Caller.writeChunk(Event);
    Attempt.m_GeneratedTokens = ++Token;
  }
  if (!Open)
    co_return std::nullopt;
  const std::string FinalEvents = makeStreamEnd(Attempt, Token);
  co_await Caller.writeChunk(FinalEvents);
  const bool Delivered = co_await Caller.endStream();
  if (Delivered && !Attempt.m_Cancelled)
    ++m_Completed;
  co_return std::nullopt;
}

asio::awaitable<void> EngineService::swapResponses(CompletionAttempt &Attempt) {
  if (!m_StandIn.faults().consume("crossed_answers"))
    co_return;
  if (m_AwaitingSwap) {
    std::swap(m_AwaitingSwap->m_ReportedIdentity, Attempt.m_ReportedIdentity);
    m_AwaitingSwap = nullptr;
    m_ResponsesSwapped.notifyAll();
    co_return;
  }
  m_AwaitingSwap = &Attempt;
  co_await m_ResponsesSwapped.wait(ResponseSwapTimeout);
  if (m_AwaitingSwap == &Attempt)
    m_AwaitingSwap = nullptr;
}

asio::awaitable<HandlerResult>
EngineService::handleResume(RequestContext &Incoming) {
  const std::string &RequestId = Incoming.m_PathParameters.front();
  RequestTable::AttemptPtr Attempt;
  if (!Incoming.m_Request.m_Body.empty())
    Attempt = parseCompletionRequest(Incoming);
  else if (const auto Recorded = m_Requests.find(RequestId))
    Attempt = std::make_shared<CompletionAttempt>(*Recorded);
  else
    co_return makeRejection(404, "unknown_request");
  m_Requests.cancel(RequestId);
  Attempt->m_Identity.m_Source.m_RequestId = RequestId;
  Attempt->m_Identity.m_AttemptId = Incoming.header("X-Attempt-Id");
  Attempt->m_ReportedIdentity = Attempt->m_Identity;
  Attempt->m_RouterIncarnation = Incoming.header("X-Router-Incarnation");
  Attempt->m_StartToken = static_cast<std::size_t>(
      std::max<std::int64_t>(0, Incoming.number("from_token", 0)));
  Attempt->m_GeneratedTokens = Attempt->m_StartToken;
  Attempt->m_Stream = true;
  Attempt->m_InBatch = false;
  Attempt->m_Cancelled = false;
  co_return co_await serveAttempt(Incoming, std::move(Attempt));
}

HandlerResult
EngineService::handleKvCacheExport(const RequestContext &Incoming) const {
  const auto Id = Incoming.json().at("request_id").get<std::string>();
  const auto Recorded = m_Requests.find(Id);
  if (!Recorded)
    return makeRejection(404, "unknown_request");
  const CompletionKey &Source = Recorded->m_Identity.m_Source;
  return http::makeJsonResponse(
      200, {{"state",
             {{"request_id", Source.m_RequestId},
              {"model", Source.m_Model},
              {"prompt", Source.m_Prompt},
              {"max_tokens", Recorded->m_Identity.m_MaxTokens},
              {"chat", Recorded->m_Chat},
              {"tokens", Recorded->m_GeneratedTokens}}}});
}

HandlerResult
EngineService::handleKvCacheImport(const RequestContext &Incoming) {
  const nlohmann::json State = Incoming.json().at("state");
  auto Attempt = std::make_shared<CompletionAttempt>();
  Attempt->m_Identity.m_Source = {State.at("model").get<std::string>(),
                                  State.at("prompt").get<std::string>(),
                                  State.at("request_id").get<std::string>()};
  Attempt->m_Identity.m_MaxTokens = State.at("max_tokens").get<std::size_t>();
  Attempt->m_Chat = State.at("chat").get<bool>();
  Attempt->m_GeneratedTokens = State.at("tokens").get<std::size_t>();
  m_PrefixCache.insert(promptBlockHashes(Attempt->m_Identity.m_Source.m_Prompt),
                       std::chrono::steady_clock::now());
  nlohmann::json Result = {{"tokens", Attempt->m_GeneratedTokens}};
  m_Requests.addEnded(std::move(Attempt));
  return http::makeJsonResponse(200, Result);
}

nlohmann::json EngineService::inventory() const {
  nlohmann::json Result = {
      {"host", m_Options.m_Host},
      {"incarnation", m_Options.m_Incarnation},
      {"memory_bytes", m_AcceleratorMemory.m_CapacityBytes},
      {"used_bytes", m_AcceleratorMemory.m_UsedBytes},
      {"high_water_bytes", m_AcceleratorMemory.m_HighWaterBytes},
      {"overcommitted", m_AcceleratorMemory.m_OvercommitCount},
      {"models", m_Models.describe()},
      {"running", m_Requests.describe()},
      {"accepted", m_Accepted},
      {"completed", m_Completed}};
  m_OrderHandler.describe(Result);
  return Result;
}

} // namespace sff::standin
