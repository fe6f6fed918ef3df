#include "StandIns/Engine/EngineService.h"

#include "Common/Logging/Log.h"
#include "StandIns/Engine/Completion.h"

#include <unistd.h>

namespace sff::standin {

namespace asio = boost::asio;

namespace {

constexpr int CrashExitCode = 134;
/// How long an answer waits for another one to be swapped with.
constexpr milliseconds CrossWait{2000};

nlohmann::json engineFaults() {
  return {{"crash_on", ""},
          {"crossed_answers", false},
          {"cut_stream_after", 0},
          {"slow_load", 1.0}};
}

http::Response refuse(int Status, const char *Reason) {
  return http::makeJson(Status, {{"reason", Reason}});
}

} // namespace

EngineService::EngineService(asio::io_context &Context, EngineOptions Options)
    : m_Base(Context, engineFaults()), m_Options(std::move(Options)),
      m_Memory(m_Options.m_MemoryBytes),
      m_Orders(Context, m_Options, m_Base.faults(), m_Models, m_Memory),
      m_Batch(m_Options.m_ParallelRequests),
      m_Prefixes(m_Options.m_PrefixCacheBlocks, m_Options.m_CacheEventDelay,
                 m_Options.m_DropEachNthEvent),
      m_Load(Context.get_executor(), m_Options.m_LoadReportPeriod, [this] {
        return LoadCounts{m_Batch.running(), m_Batch.queued()};
      }) {
  addRequestRoutes();
  addControlRoutes();
}

void EngineService::addRequestRoutes() {
  const Handler Complete = [this](Call &Incoming) {
    return run(Incoming, readCompletion(Incoming));
  };
  m_Base.route("POST", "/v1/completions", RouteKind::Work, Complete);
  m_Base.route("POST", "/v1/chat/completions", RouteKind::Work, Complete);
  m_Base.route("POST", "/v1/requests/{}/resume", RouteKind::Work,
               [this](Call &Incoming) { return resume(Incoming); });
  m_Base.route(
      "POST", "/v1/requests/{}/cancel", RouteKind::Control,
      [this](Call &Incoming) -> asio::awaitable<Answer> {
        const std::size_t Count =
            m_Requests.cancel(Incoming.m_Captures.front());
        co_return http::makeJson(Count > 0 ? 200 : 404, {{"cancelled", Count}});
      });
}

void EngineService::addControlRoutes() {
  m_Base.route("POST", "/control/orders", RouteKind::Control,
               [this](Call &Incoming) -> asio::awaitable<Answer> {
                 Order Given = Incoming.json().get<Order>();
                 co_return co_await m_Orders.execute(std::move(Given));
               });
  m_Base.route("GET", "/control/inventory", RouteKind::Control,
               [this](Call &) -> asio::awaitable<Answer> {
                 co_return http::makeJson(200, inventory());
               });
  m_Base.route("GET", "/control/load", RouteKind::Control,
               [this](Call &) -> asio::awaitable<Answer> {
                 co_return http::makeJson(200, m_Load.report());
               });
  m_Base.route("GET", "/control/cache-events", RouteKind::Control,
               [this](Call &Incoming) -> asio::awaitable<Answer> {
                 const auto From =
                     static_cast<std::uint64_t>(Incoming.number("from", 1));
                 nlohmann::json Events =
                     m_Prefixes.events(From, std::chrono::steady_clock::now());
                 Events["incarnation"] = m_Options.m_Incarnation;
                 co_return http::makeJson(200, Events);
               });
  m_Base.route("POST", "/control/attention/export", RouteKind::Control,
               [this](Call &Incoming) -> asio::awaitable<Answer> {
                 co_return exportAttention(Incoming);
               });
  m_Base.route("POST", "/control/attention/import", RouteKind::Control,
               [this](Call &Incoming) -> asio::awaitable<Answer> {
                 co_return importAttention(Incoming);
               });
}

std::optional<http::Response> EngineService::refusal(const Generation &Job) {
  const auto *Model = m_Models.findReady(Job.m_Own.m_Source.m_Model);
  if (!Model)
    return refuse(404, "model_not_loaded");
  const std::int64_t Limit = Model->m_Order.m_MaxTokens;
  if (Limit > 0 && static_cast<std::int64_t>(Job.m_Own.m_MaxTokens) > Limit)
    return refuse(400, "too_many_tokens");
  return std::nullopt;
}

void EngineService::crashIfMarked(const Generation &Job) const {
  const auto Marker = m_Base.faults().get<std::string>("crash_on");
  if (!Marker.empty() &&
      Job.m_Own.m_Source.m_Prompt.find(Marker) != std::string::npos)
    _exit(CrashExitCode);
}

asio::awaitable<Answer> EngineService::run(Call &Incoming,
                                           RequestTable::Item Job) {
  if (auto Refusal = refusal(*Job))
    co_return Refusal;
  crashIfMarked(*Job);
  const std::string Name = Job->m_Own.m_Source.m_Model;
  ModelTable::Entry *Model = m_Models.findReady(Name);
  Job->m_Bytes = Model->m_Order.m_BytesPerToken *
                 static_cast<std::int64_t>(Job->m_Own.m_MaxTokens);
  ++Model->m_Requests;
  ++m_Accepted;
  m_Memory.add(Job->m_Bytes);
  m_Requests.add(Job);
  Answer Result = co_await runAccounted(Incoming, *Job);
  m_Requests.end(Job);
  m_Memory.remove(Job->m_Bytes);
  // The entry still exists, because a model with requests is not unloaded.
  --m_Models.find(Name)->m_Requests;
  co_return Result;
}

asio::awaitable<Answer> EngineService::runAccounted(Call &Incoming,
                                                    Generation &Job) {
  http::Exchange &Caller = Incoming.m_Exchange;
  std::function<bool()> GivenUp = [&Caller, &Job] {
    return Job.m_Cancelled || Caller.callerGone();
  };
  const bool Entered =
      co_await m_Batch.enter(Job.m_Priority, std::move(GivenUp));
  if (!Entered)
    co_return makeWholeAnswer(Job, Job.m_FirstToken);
  Job.m_InBatch = true;
  co_await crossAnswers(Job);
  co_await prefill(Job);
  Answer Result;
  if (Job.m_Stream)
    Result = co_await stream(Incoming, Job);
  else
    Result = co_await generate(Incoming, Job);
  m_Batch.leave();
  co_return Result;
}

asio::awaitable<void> EngineService::prefill(Generation &Job) {
  const auto Blocks = promptBlockHashes(Job.m_Own.m_Source.m_Prompt);
  const std::size_t Cached =
      m_Prefixes.use(Blocks, std::chrono::steady_clock::now());
  co_await sleepFor(m_Options.m_PrefillBlockTime *
                    static_cast<std::int64_t>(Blocks.size() - Cached));
}

asio::awaitable<bool> EngineService::nextToken(Call &Incoming,
                                               Generation &Job) {
  co_await sleepFor(m_Options.m_TokenTime);
  const bool Present = co_await m_Base.waitUntilThawed(Incoming.m_Exchange);
  if (!Present)
    Job.m_Cancelled = true;
  co_return !Job.m_Cancelled;
}

asio::awaitable<Answer> EngineService::generate(Call &Incoming,
                                                Generation &Job) {
  std::size_t Token = Job.m_FirstToken;
  while (Token < Job.m_Shown.m_MaxTokens) {
    // GCC 12 miscompiles this call as a condition of the loop.
    const bool More = co_await nextToken(Incoming, Job);
    if (!More)
      break;
    Job.m_TokensDone = ++Token;
  }
  if (!Job.m_Cancelled)
    ++m_Completed;
  co_return makeWholeAnswer(Job, Token);
}

asio::awaitable<Answer> EngineService::stream(Call &Incoming, Generation &Job) {
  http::Exchange &Caller = Incoming.m_Exchange;
  const FaultSwitches &Faults = m_Base.faults();
  co_await sleepFor(milliseconds(Faults.get<std::int64_t>("late_answer_ms")));
  bool Open = co_await Caller.beginStream(makeStreamHead(Job));
  const auto CutAfter = Faults.get<std::size_t>("cut_stream_after");
  std::size_t Token = Job.m_FirstToken;
  while (Open && Token < Job.m_Shown.m_MaxTokens) {
    const bool More = co_await nextToken(Incoming, Job);
    if (!More)
      break;
    if (CutAfter > 0 && Token - Job.m_FirstToken >= CutAfter) {
      Caller.abort();
      co_return std::nullopt;
    }
    const std::string Event = makeTokenEvent(Job, Token);
    Open = co_await Caller.writeChunk(Event);
    Job.m_TokensDone = ++Token;
  }
  if (!Open)
    co_return std::nullopt;
  const std::string End = makeStreamEnd(Job, Token);
  co_await Caller.writeChunk(End);
  const bool Whole = co_await Caller.endStream();
  if (Whole && !Job.m_Cancelled)
    ++m_Completed;
  co_return std::nullopt;
}

asio::awaitable<void> EngineService::crossAnswers(Generation &Job) {
  if (!m_Base.faults().take("crossed_answers"))
    co_return;
  if (m_WaitingForCross) {
    std::swap(m_WaitingForCross->m_Shown, Job.m_Shown);
    m_WaitingForCross = nullptr;
    m_Crossed.notifyAll();
    co_return;
  }
  m_WaitingForCross = &Job;
  co_await m_Crossed.wait(CrossWait);
  if (m_WaitingForCross == &Job)
    m_WaitingForCross = nullptr;
}

asio::awaitable<Answer> EngineService::resume(Call &Incoming) {
  const std::string &RequestId = Incoming.m_Captures.front();
  RequestTable::Item Job;
  if (!Incoming.m_Request.m_Body.empty())
    Job = readCompletion(Incoming);
  else if (const auto Known = m_Requests.find(RequestId))
    Job = std::make_shared<Generation>(*Known);
  else
    co_return refuse(404, "unknown_request");
  m_Requests.cancel(RequestId);
  Job->m_Own.m_Source.m_RequestId = RequestId;
  Job->m_Own.m_AttemptId = Incoming.header("X-Attempt-Id");
  Job->m_Shown = Job->m_Own;
  Job->m_Router = Incoming.header("X-Router-Incarnation");
  Job->m_FirstToken = static_cast<std::size_t>(
      std::max<std::int64_t>(0, Incoming.number("from_token", 0)));
  Job->m_TokensDone = Job->m_FirstToken;
  Job->m_Stream = true;
  Job->m_InBatch = false;
  Job->m_Cancelled = false;
  co_return co_await run(Incoming, std::move(Job));
}

Answer EngineService::exportAttention(const Call &Incoming) const {
  const auto Id = Incoming.json().at("request_id").get<std::string>();
  const auto Known = m_Requests.find(Id);
  if (!Known)
    return refuse(404, "unknown_request");
  const AnswerSource &Source = Known->m_Own.m_Source;
  return http::makeJson(200, {{"state",
                               {{"request_id", Source.m_RequestId},
                                {"model", Source.m_Model},
                                {"prompt", Source.m_Prompt},
                                {"max_tokens", Known->m_Own.m_MaxTokens},
                                {"chat", Known->m_Chat},
                                {"tokens", Known->m_TokensDone}}}});
}

Answer EngineService::importAttention(const Call &Incoming) {
  const nlohmann::json State = Incoming.json().at("state");
  auto Job = std::make_shared<Generation>();
  Job->m_Own.m_Source = {State.at("model").get<std::string>(),
                         State.at("prompt").get<std::string>(),
                         State.at("request_id").get<std::string>()};
  Job->m_Own.m_MaxTokens = State.at("max_tokens").get<std::size_t>();
  Job->m_Chat = State.at("chat").get<bool>();
  Job->m_TokensDone = State.at("tokens").get<std::size_t>();
  m_Prefixes.use(promptBlockHashes(Job->m_Own.m_Source.m_Prompt),
                 std::chrono::steady_clock::now());
  nlohmann::json Result = {{"tokens", Job->m_TokensDone}};
  m_Requests.remember(std::move(Job));
  return http::makeJson(200, Result);
}

nlohmann::json EngineService::inventory() const {
  nlohmann::json Result = {{"host", m_Options.m_Host},
                           {"incarnation", m_Options.m_Incarnation},
                           {"memory_bytes", m_Memory.m_Capacity},
                           {"used_bytes", m_Memory.m_Used},
                           {"high_water_bytes", m_Memory.m_HighWater},
                           {"overcommitted", m_Memory.m_Overcommitted},
                           {"models", m_Models.describe()},
                           {"running", m_Requests.describe()},
                           {"accepted", m_Accepted},
                           {"completed", m_Completed}};
  m_Orders.describe(Result);
  return Result;
}

} // namespace sff::standin
