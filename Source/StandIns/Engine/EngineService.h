#pragma once

#include "StandIns/Engine/BatchScheduler.h"
#include "StandIns/Engine/EngineOptions.h"
#include "StandIns/Engine/ModelTable.h"
#include "StandIns/Engine/OrderHandler.h"
#include "StandIns/Engine/PrefixCache.h"
#include "StandIns/Engine/RequestTable.h"
#include "StandIns/Support/LoadSampler.h"
#include "StandIns/Support/StandIn.h"

namespace sff::standin {

/// A language-model engine. Additional faults:
/// - crash_on: a prompt that contains this text terminates the process;
/// - crossed_answers: swaps the responses of two concurrent requests;
/// - cut_stream_after: closes a stream after this many tokens;
/// - slow_load: factor on the load time.
/// Thread safety: use from the io_context's thread.
class EngineService {
public:
  EngineService(boost::asio::io_context &Context, EngineOptions Options);

  void listen(const http::Address &Local) { m_StandIn.listen(Local); }

private:
  void addRequestRoutes();
  void addControlRoutes();

  boost::asio::awaitable<HandlerResult>
  serveAttempt(RequestContext &Incoming, RequestTable::AttemptPtr Attempt);
  boost::asio::awaitable<HandlerResult>
  executeAttempt(RequestContext &Incoming, CompletionAttempt &Attempt);
  boost::asio::awaitable<void> prefill(CompletionAttempt &Attempt);
  boost::asio::awaitable<HandlerResult> generate(RequestContext &Incoming,
                                                 CompletionAttempt &Attempt);
  boost::asio::awaitable<HandlerResult> stream(RequestContext &Incoming,
                                               CompletionAttempt &Attempt);
  boost::asio::awaitable<bool> nextToken(RequestContext &Incoming,
                                         CompletionAttempt &Attempt);
  boost::asio::awaitable<void> swapResponses(CompletionAttempt &Attempt);
  boost::asio::awaitable<HandlerResult> handleResume(RequestContext &Incoming);
  std::optional<http::Response> rejectionFor(const CompletionAttempt &Attempt);
  void crashOnMarker(const CompletionAttempt &Attempt) const;
  HandlerResult handleKvCacheExport(const RequestContext &Incoming) const;
  HandlerResult handleKvCacheImport(const RequestContext &Incoming);
  nlohmann::json inventory() const;

  StandIn m_StandIn;
  EngineOptions m_Options;
  AcceleratorMemory m_AcceleratorMemory;
  ModelTable m_Models;
  OrderHandler m_OrderHandler;
  BatchScheduler m_BatchScheduler;
  PrefixCache m_PrefixCache;
  RequestTable m_Requests;
  LoadSampler m_LoadSampler;
  /// The attempt whose response is to be swapped with the next one; null if
  /// there is none. Kept alive by the coroutine that waits for the swap.
  CompletionAttempt *m_AwaitingSwap = nullptr;
  AsyncCondition m_ResponsesSwapped;
  std::int64_t m_Accepted = 0;
  std::int64_t m_Completed = 0;
};

} // namespace sff::standin
