#include "StandIns/LoadTool/LoadRun.h"

#include "Common/Identity/Ids.h"
#include "Common/Time/Clock.h"
#include "StandIns/LoadTool/ResponseCheck.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sff::standin {

namespace asio = boost::asio;

namespace {

constexpr milliseconds EndPollPeriod{100};

RequestResult makeFailure(const http::TransportFailure &Failure) {
  RequestResult Result;
  Result.m_Outcome = Failure.m_TimedOut ? "timeout" : "connection_lost";
  if (Failure.isKnownNotSent())
    Result.m_Outcome = "not_connected";
  return Result;
}

const char *outcomeName(ResponseVerdict Verdict) {
  if (Verdict == ResponseVerdict::Complete)
    return "answered";
  return Verdict == ResponseVerdict::Wrong ? "wrong_answer" : "incomplete";
}

} // namespace

LoadRun::LoadRun(asio::io_context &Context, LoadOptions Options)
    : m_Context(Context), m_Options(std::move(Options)),
      m_Http(Context.get_executor()), m_Random(m_Options.m_Seed),
      m_Start(now()), m_End(m_Start + m_Options.m_Duration) {}

bool LoadRun::mayStart() const {
  return m_Started < m_Options.m_MaxRequests && now() < m_End;
}

void LoadRun::spawn(asio::awaitable<void> Task) {
  ++m_Active;
  asio::co_spawn(m_Context, std::move(Task),
                 [this](const std::exception_ptr &) {
                   --m_Active;
                   m_TaskEnded.notifyAll();
                 });
}

asio::awaitable<void> LoadRun::run() {
  if (m_Options.m_RequestsPerSecond > 0)
    co_await runOpenLoop();
  else
    for (std::int64_t Caller = 0; Caller < m_Options.m_Concurrency; ++Caller)
      spawn(runClosedLoopCaller());
  while (m_Active > 0)
    co_await m_TaskEnded.wait(EndPollPeriod);
}

asio::awaitable<void> LoadRun::runOpenLoop() {
  RateLimiter Rate(m_Options.m_RequestsPerSecond);
  while (mayStart()) {
    co_await sleepFor(Rate.reserve(now()));
    ++m_Started;
    if (m_Active < m_Options.m_Concurrency)
      spawn(runRequest(planRequest()));
    else
      m_Summary.addSkipped();
  }
}

asio::awaitable<void> LoadRun::runClosedLoopCaller() {
  while (mayStart()) {
    ++m_Started;
    co_await runRequest(planRequest());
  }
}

asio::awaitable<void> LoadRun::runRequest(PlannedRequest Planned) {
  AttemptResult First = co_await send(Planned);
  m_Summary.add(Planned.m_Class, First.m_Result);
  if (!m_Options.m_RetryAfterRejection || !First.m_RetryAfter)
    co_return;
  co_await sleepFor(*First.m_RetryAfter);
  AttemptResult Second = co_await send(Planned);
  m_Summary.addRetry(Second.m_Result.m_Status == 200);
}

LoadRun::PlannedRequest LoadRun::planRequest() {
  const auto Pick = [this](const auto &Items) {
    return Items[m_Random() % Items.size()];
  };
  std::uniform_real_distribution<double> Share(0, 1);
  // The unique part is a suffix so that all prompts share a prefix.
  std::string Prompt(static_cast<std::size_t>(m_Options.m_PromptBytes), 'p');
  Prompt += std::to_string(m_Started) + "-" + std::to_string(m_Random());
  return {Pick(m_Options.m_Targets), Pick(m_Options.m_Entries),
          std::move(Prompt),
          Share(m_Random) < m_Options.m_BatchShare ? "batch" : "interactive"};
}

http::Request LoadRun::makeRequest(const PlannedRequest &Planned) const {
  const nlohmann::json Body = {{"model", Planned.m_Entry},
                               {"prompt", Planned.m_Prompt},
                               {"max_tokens", m_Options.m_MaxTokens},
                               {"stream", m_Options.m_Stream}};
  const std::string Timeout = std::to_string(m_Options.m_Timeout.count());
  http::Request Message{"POST",
                        "/v1/completions",
                        {{"Content-Type", "application/json"}},
                        Body.dump()};
  Message.m_Headers.set("X-Request-Id", makeRandomId());
  Message.m_Headers.set("X-Request-Timeout-Ms", Timeout);
  Message.m_Headers.set("X-Traffic-Class", Planned.m_Class);
  Message.m_Headers.set("X-Priority", Planned.m_Class);
  return Message;
}

asio::awaitable<LoadRun::AttemptResult> LoadRun::send(PlannedRequest Planned) {
  const Instant Start = now();
  http::ClientOptions Options;
  Options.m_ConnectTimeout = m_Options.m_Timeout;
  Options.m_ReadTimeout = m_Options.m_Timeout;
  http::Request Message = makeRequest(Planned);
  http::OpenResult Opened =
      co_await m_Http.open(Planned.m_Target, std::move(Message), Options);
  AttemptResult Result;
  if (const auto *Failure = std::get_if<http::TransportFailure>(&Opened)) {
    Result.m_Result = makeFailure(*Failure);
  } else {
    auto Stream = std::get<std::shared_ptr<http::ResponseStream>>(Opened);
    Result = co_await receive(std::move(Stream), std::move(Planned), Start);
  }
  Result.m_Result.m_Total = now() - Start;
  co_return Result;
}

asio::awaitable<LoadRun::AttemptResult>
LoadRun::receive(std::shared_ptr<http::ResponseStream> Stream,
                 PlannedRequest Planned, Instant Start) {
  http::Response Received = Stream->head();
  std::optional<Duration> FirstByte;
  while (true) {
    auto Next = co_await Stream->read();
    if (const auto *Failure = std::get_if<http::TransportFailure>(&Next)) {
      AttemptResult Interrupted{makeFailure(*Failure), std::nullopt};
      Interrupted.m_Result.m_Status = Received.m_Status;
      co_return Interrupted;
    }
    const std::string &Chunk = std::get<std::string>(Next);
    if (!FirstByte)
      FirstByte = now() - Start;
    if (Chunk.empty())
      break;
    Received.m_Body += Chunk;
    if (now() - Start > m_Options.m_Timeout) {
      Stream->close();
      AttemptResult TimedOut;
      TimedOut.m_Result.m_Status = Received.m_Status;
      TimedOut.m_Result.m_Outcome = "timeout";
      co_return TimedOut;
    }
  }
  AttemptResult Result = evaluateResponse(Planned, Received);
  if (Result.m_Result.m_Outcome == outcomeName(ResponseVerdict::Complete))
    Result.m_Result.m_FirstByte = FirstByte;
  co_return Result;
}

LoadRun::AttemptResult
LoadRun::evaluateResponse(const PlannedRequest &Planned,
                          const http::Response &Received) const {
  AttemptResult Result;
  Result.m_Result.m_Status = Received.m_Status;
  if (Received.m_Status == 200) {
    Result.m_Result.m_Outcome = outcomeName(
        checkResponse({Planned.m_Entry, Planned.m_Prompt, ""},
                      static_cast<std::size_t>(m_Options.m_MaxTokens),
                      Received.m_Body, m_Options.m_Stream));
    return Result;
  }
  const auto Problem = nlohmann::json::parse(Received.m_Body, nullptr, false);
  Result.m_Result.m_Outcome = "refused";
  if (!Problem.is_object())
    return Result;
  Result.m_Result.m_Outcome = Problem.value("outcome", "refused");
  if (Problem.contains("reason"))
    Result.m_Result.m_Outcome += ":" + Problem.value("reason", "");
  if (Problem.contains("retry_after_ms"))
    Result.m_RetryAfter = milliseconds(Problem.value("retry_after_ms", 0));
  return Result;
}

nlohmann::json LoadRun::report() const {
  return m_Summary.report(now() - m_Start);
}

} // namespace sff::standin
