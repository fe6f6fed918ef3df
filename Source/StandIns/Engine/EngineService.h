#pragma once

#include "StandIns/Engine/Batch.h"
#include "StandIns/Engine/EngineOptions.h"
#include "StandIns/Engine/ModelTable.h"
#include "StandIns/Engine/OrderHandler.h"
#include "StandIns/Engine/PrefixCache.h"
#include "StandIns/Engine/RequestTable.h"
#include "StandIns/Support/LoadReport.h"
#include "StandIns/Support/StandIn.h"

namespace sff::standin {

/// A language-model engine. Faults besides the common ones: crash_on (text in
/// a prompt that ends the process), crossed_answers (two concurrent answers
/// are swapped), cut_stream_after (tokens) and slow_load (factor).
/// Thread safety: use from the io_context's thread.
class EngineService {
public:
  EngineService(boost::asio::io_context &Context, EngineOptions Options);

  void listen(const http::Address &Local) { m_Base.listen(Local); }

private:
  void addRequestRoutes();
  void addControlRoutes();

  boost::asio::awaitable<Answer> run(Call &Incoming, RequestTable::Item Job);
  boost::asio::awaitable<Answer> runAccounted(Call &Incoming, Generation &Job);
  boost::asio::awaitable<void> prefill(Generation &Job);
  boost::asio::awaitable<Answer> generate(Call &Incoming, Generation &Job);
  boost::asio::awaitable<Answer> stream(Call &Incoming, Generation &Job);
  boost::asio::awaitable<bool> nextToken(Call &Incoming, Generation &Job);
  boost::asio::awaitable<void> crossAnswers(Generation &Job);
  boost::asio::awaitable<Answer> resume(Call &Incoming);
  std::optional<http::Response> refusal(const Generation &Job);
  void crashIfMarked(const Generation &Job) const;
  Answer exportAttention(const Call &Incoming) const;
  Answer importAttention(const Call &Incoming);
  nlohmann::json inventory() const;

  StandIn m_Base;
  EngineOptions m_Options;
  AcceleratorMemory m_Memory;
  ModelTable m_Models;
  OrderHandler m_Orders;
  Batch m_Batch;
  PrefixCache m_Prefixes;
  RequestTable m_Requests;
  LoadReport m_Load;
  /// Waits in a coroutine of its own, which keeps it alive.
  Generation *m_WaitingForCross = nullptr;
  Signal m_Crossed;
  std::int64_t m_Accepted = 0;
  std::int64_t m_Completed = 0;
};

} // namespace sff::standin
