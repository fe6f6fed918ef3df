#include "StandIns/LoadTool/LoadRun.h"

#include "Common/Identity/Ids.h"
#include "StandIns/LoadTool/AnswerCheck.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sff::standin {

namespace asio = boost::asio;

namespace {

constexpr milliseconds EndPollPeriod{100};

Instant now() { return std::chrono::steady_clock::now(); }

RequestResult makeFailure(const http::TransportFailure &Failure) {
  RequestResult Result;
  Result.m_Outcome = Failure.m_TimedOut ? "timeout" : "connection_lost";
  if (Failure.provesNotSent())
    Result.m_Outcome = "not_connected";
  return Result;
}

const char *nameOf(AnswerVerdict Verdict) {
  if (Verdict == AnswerVerdict::Whole)
    return "answered";
  return Verdict == AnswerVerdict::Wrong ? "wrong_answer" : "incomplete";
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
                   m_Ended.notifyAll();
                 });
}

asio::awaitable<void> LoadRun::run() {
  if (m_Options.m_RequestsPerSecond > 0)
    co_await runOpenLoop();
  else
    for (std::int64_t Caller = 0; Caller < m_Options.m_Concurrency; ++Caller)
      spawn(runCaller());
  while (m_Active > 0)
    co_await m_Ended.wait(EndPollPeriod);
}

asio::awaitable<void> LoadRun::runOpenLoop() {
  RateLimit Rate(m_Options.m_RequestsPerSecond);
  while (mayStart()) {
    co_await sleepFor(Rate.reserve(now()));
    ++m_Started;
    if (m_Active < m_Options.m_Concurrency)
      spawn(runRequest(draw()));
    else
      m_Summary.addSkipped();
  }
}

asio::awaitable<void> LoadRun::runCaller() {
  while (mayStart()) {
    ++m_Started;
    co_await runRequest(draw());
  }
}

asio::awaitable<void> LoadRun::runRequest(Ticket Chosen) {
  Sent First = co_await send(Chosen);
  m_Summary.add(Chosen.m_Class, First.m_Result);
  if (!m_Options.m_ReturnAfterRefusal || !First.m_RetryAfter)
    co_return;
  co_await sleepFor(*First.m_RetryAfter);
  Sent Second = co_await send(Chosen);
  m_Summary.addReturn(Second.m_Result.m_Status == 200);
}

LoadRun::Ticket LoadRun::draw() {
  const auto Pick = [this](const auto &Items) {
    return Items[m_Random() % Items.size()];
  };
  std::uniform_real_distribution<double> Share(0, 1);
  // The unique part comes last, so that all prompts share a prefix.
  std::string Prompt(static_cast<std::size_t>(m_Options.m_PromptBytes), 'p');
  Prompt += std::to_string(m_Started) + "-" + std::to_string(m_Random());
  return {Pick(m_Options.m_Targets), Pick(m_Options.m_Entries),
          std::move(Prompt),
          Share(m_Random) < m_Options.m_BatchShare ? "batch" : "interactive"};
}

http::Request LoadRun::makeRequest(const Ticket &Chosen) const {
  const nlohmann::json Body = {{"model", Chosen.m_Entry},
                               {"prompt", Chosen.m_Prompt},
                               {"max_tokens", m_Options.m_MaxTokens},
                               {"stream", m_Options.m_Stream}};
  const std::string Timeout = std::to_string(m_Options.m_Timeout.count());
  http::Request Message{"POST",
                        "/v1/completions",
                        {{"Content-Type", "application/json"}},
                        Body.dump()};
  Message.m_Headers.set("X-Request-Id", makeRandomId());
  Message.m_Headers.set("X-Request-Timeout-Ms", Timeout);
  Message.m_Headers.set("X-Traffic-Class", Chosen.m_Class);
  Message.m_Headers.set("X-Priority", Chosen.m_Class);
  return Message;
}

asio::awaitable<LoadRun::Sent> LoadRun::send(Ticket Chosen) {
  const Instant Start = now();
  http::ClientOptions Options;
  Options.m_ConnectTimeout = m_Options.m_Timeout;
  Options.m_ReadTimeout = m_Options.m_Timeout;
  http::Request Message = makeRequest(Chosen);
  http::OpenResult Opened =
      co_await m_Http.open(Chosen.m_Target, std::move(Message), Options);
  Sent Result;
  if (const auto *Failure = std::get_if<http::TransportFailure>(&Opened)) {
    Result.m_Result = makeFailure(*Failure);
  } else {
    auto Stream = std::get<std::shared_ptr<http::ResponseStream>>(Opened);
    Result = co_await receive(std::move(Stream), std::move(Chosen), Start);
  }
  Result.m_Result.m_Total = now() - Start;
  co_return Result;
}

asio::awaitable<LoadRun::Sent>
LoadRun::receive(std::shared_ptr<http::ResponseStream> Stream, Ticket Chosen,
                 Instant Start) {
  http::Response Answer = Stream->head();
  std::optional<Duration> FirstByte;
  while (true) {
    auto Next = co_await Stream->read();
    if (const auto *Failure = std::get_if<http::TransportFailure>(&Next)) {
      Sent Cut{makeFailure(*Failure), std::nullopt};
      Cut.m_Result.m_Status = Answer.m_Status;
      co_return Cut;
    }
    const std::string &Piece = std::get<std::string>(Next);
    if (!FirstByte)
      FirstByte = now() - Start;
    if (Piece.empty())
      break;
    Answer.m_Body += Piece;
    if (now() - Start > m_Options.m_Timeout) {
      Stream->close();
      Sent Late;
      Late.m_Result.m_Status = Answer.m_Status;
      Late.m_Result.m_Outcome = "timeout";
      co_return Late;
    }
  }
  Sent Result = judge(Chosen, Answer);
  if (Result.m_Result.m_Outcome == nameOf(AnswerVerdict::Whole))
    Result.m_Result.m_FirstByte = FirstByte;
  co_return Result;
}

LoadRun::Sent LoadRun::judge(const Ticket &Chosen,
                             const http::Response &Answer) const {
  Sent Result;
  Result.m_Result.m_Status = Answer.m_Status;
  if (Answer.m_Status == 200) {
    Result.m_Result.m_Outcome =
        nameOf(checkAnswer({Chosen.m_Entry, Chosen.m_Prompt, ""},
                           static_cast<std::size_t>(m_Options.m_MaxTokens),
                           Answer.m_Body, m_Options.m_Stream));
    return Result;
  }
  const auto Problem = nlohmann::json::parse(Answer.m_Body, nullptr, false);
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
