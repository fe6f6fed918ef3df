#include "Fakes.h"

#include "Router/AsyncQueue.h"

#include <gtest/gtest.h>

namespace sff::router::testing {

namespace {

constexpr std::size_t ParallelRequests = 16;
constexpr milliseconds LoanTimeToLive{5000};
constexpr int PollMs = 5;

} // namespace

FakeRelay::FakeRelay(const std::string &Address) {
  m_Dispatcher.on<messages::FetchRecords>(
      [this](const messages::FetchRecords &Request, auto Send) {
        messages::FetchRecordsReply Reply{1, 0, m_LogReachable, {}};
        for (auto &Item : records(Request.m_Stream)) {
          Reply.m_Head = Item.m_Offset;
          if (Item.m_Offset >= Request.m_From)
            Reply.m_Records.push_back(std::move(Item));
        }
        if (Reply.m_Records.empty())
          std::this_thread::sleep_for(milliseconds(PollMs));
        Send(Reply);
      });
  m_Dispatcher.on<messages::Append>(
      [this](messages::Append Request, auto Send) {
        answerAppend(std::move(Request), Send);
      });
  m_Dispatcher.start(Address, ParallelRequests);
}

FakeRelay::~FakeRelay() {
  m_Dispatcher.stop();
  m_Loop.stop();
}

void FakeRelay::answerAppend(
    messages::Append Request,
    const std::function<void(messages::AppendReply)> &Send) {
  using messages::AppendOutcome;
  if (!m_LogReachable) {
    Send({AppendOutcome::NotAppended, 0});
    return;
  }
  if (m_DropAppends) {
    Send({AppendOutcome::Unknown, 0});
    return;
  }
  const Offset Position = append(Request.m_Stream, std::move(Request.m_Record));
  Send({m_DropAppendReplies ? AppendOutcome::Unknown : AppendOutcome::Appended,
        Position});
}

Offset FakeRelay::append(const std::string &Stream, nlohmann::json Record) {
  std::lock_guard Lock(m_Mutex);
  auto &Records = m_Streams[Stream];
  const Offset Position = Records.empty() ? 1 : Records.back().m_Offset + 1;
  Records.push_back({Position, std::move(Record)});
  return Position;
}

void FakeRelay::appendBatch(const std::string &Stream,
                            std::vector<nlohmann::json> Batch) {
  std::lock_guard Lock(m_Mutex);
  auto &Records = m_Streams[Stream];
  const Offset Position = Records.empty() ? 1 : Records.back().m_Offset + 1;
  for (nlohmann::json &Record : Batch)
    Records.push_back({Position, std::move(Record)});
}

std::vector<messages::StreamRecord>
FakeRelay::records(const std::string &Stream) {
  std::lock_guard Lock(m_Mutex);
  return m_Streams[Stream];
}

FakeController::FakeController(const std::string &Address) {
  m_Dispatcher.on<messages::BorrowCredits>(
      [this](const messages::BorrowCredits &Request, auto Send) {
        Send(lend(Request));
      });
  m_Dispatcher.on<messages::ReturnCredits>(
      [this](const messages::ReturnCredits &Request, auto Send) {
        std::lock_guard Lock(m_Mutex);
        Loan &Known = m_Loans[Request.m_Loan];
        Known.m_Returned = std::max(Known.m_Returned, Request.m_ReturnedTotal);
        Send({});
      });
  m_Dispatcher.on<messages::ListEndpoints>(
      [this](const messages::ListEndpoints &, auto Send) {
        std::lock_guard Lock(m_Mutex);
        messages::ListEndpointsReply Reply;
        for (const auto &[Id, Info] : m_Endpoints)
          Reply.m_Endpoints.push_back(Info);
        Send(Reply);
      });
  m_Dispatcher.start(Address, ParallelRequests);
}

FakeController::~FakeController() {
  m_Dispatcher.stop();
  m_Loop.stop();
}

void FakeController::setEndpoint(messages::EndpointInfo Info) {
  std::lock_guard Lock(m_Mutex);
  const EndpointId Id = Info.m_Endpoint;
  m_Endpoints[Id] = std::move(Info);
}

std::int64_t
FakeController::creditsLentLocked(const EndpointId &Endpoint) const {
  std::int64_t Lent = 0;
  for (const auto &[Id, Item] : m_Loans)
    if (Item.m_Endpoint == Endpoint)
      Lent += Item.m_Count - Item.m_Returned;
  return Lent;
}

std::int64_t FakeController::outstanding(const EndpointId &Endpoint) {
  std::lock_guard Lock(m_Mutex);
  return creditsLentLocked(Endpoint);
}

messages::BorrowCreditsReply
FakeController::lend(const messages::BorrowCredits &Request) {
  ++m_BorrowMessages;
  std::lock_guard Lock(m_Mutex);
  messages::BorrowCreditsReply Reply;
  Reply.m_RetryAfter = milliseconds(1500);
  Reply.m_Reason = "refused_by_test";
  if (m_RefuseCredits)
    return Reply;
  const std::int64_t Free = m_Capacity - creditsLentLocked(Request.m_Endpoint);
  if (m_Loading || Free <= 0) {
    Reply.m_Outcome = messages::BorrowOutcome::Loading;
    Reply.m_ReadyIn = milliseconds(m_Loading ? 60000 : 10);
    return Reply;
  }
  Reply.m_Outcome = messages::BorrowOutcome::Granted;
  Reply.m_Loan = Request.m_Loan;
  Reply.m_Endpoint = Request.m_Endpoint;
  Reply.m_Address = m_Endpoints[Request.m_Endpoint].m_Address;
  Reply.m_Count = std::min(Free, Request.m_Count);
  Reply.m_TimeToLive = LoanTimeToLive;
  m_Loans[Request.m_Loan] = {Request.m_Endpoint, Reply.m_Count, 0};
  return Reply;
}

FakeEndpoint::FakeEndpoint(std::uint16_t Port)
    : m_Port(Port), m_Loop(std::make_unique<timers::EventLoop>("fake-ep", 64)) {
  m_Server = std::make_unique<http::Server>(
      m_Loop->context(), http::ServerLimits(),
      [this](http::Request Incoming, http::Exchange &Caller) {
        return handle(std::move(Incoming), Caller);
      });
  m_Server->listen({"127.0.0.1", Port});
}

FakeEndpoint::~FakeEndpoint() { shutDown(); }

std::string FakeEndpoint::address() const {
  return "127.0.0.1:" + std::to_string(m_Port);
}

void FakeEndpoint::shutDown() {
  if (!m_Loop)
    return;
  m_Loop->stop();
  m_Server.reset();
  m_Loop.reset();
}

FakeEndpoint::Task<void> FakeEndpoint::sleep(int Milliseconds) {
  boost::asio::steady_timer Timer(m_Loop->context());
  Timer.expires_after(milliseconds(Milliseconds));
  co_await Timer.async_wait(boost::asio::use_awaitable);
}

http::Response FakeEndpoint::echo(const http::Request &Incoming,
                                  std::string Body) const {
  http::Response Answer;
  Answer.m_Status = m_Status;
  Answer.m_Headers.set("Content-Type", "application/json");
  for (const char *Name : {"X-Request-Id", "X-Attempt-Id"})
    Answer.m_Headers.set(
        Name, m_EchoWrongIds ? "another"
                             : Incoming.m_Headers.find(Name).value_or(""));
  Answer.m_Body = std::move(Body);
  Answer.m_EndsWithConnection = m_EndsWithConnection;
  return Answer;
}

FakeEndpoint::Task<void> FakeEndpoint::handle(http::Request Incoming,
                                              http::Exchange &Caller) {
  const std::string Path(Incoming.path());
  if (Path == "/livez" || Path.starts_with("/control/")) {
    http::Response Empty =
        http::makeJsonResponse(200, nlohmann::json::object());
    co_await Caller.respond(std::move(Empty));
  } else if (Path.ends_with("/cancel")) {
    ++m_Cancels;
    const bool Running = !m_Cancelled.exchange(true) && m_Parallel > 0;
    http::Response Answer = http::makeJsonResponse(
        Running ? 200 : 404, {{"cancelled", Running ? 1 : 0}});
    co_await Caller.respond(std::move(Answer));
  } else if (Path.ends_with("/resume")) {
    ++m_Resumes;
    if (!m_CanResume) {
      http::Response Unknown =
          http::makeJsonResponse(404, nlohmann::json::object());
      co_await Caller.respond(std::move(Unknown));
      co_return;
    }
    const int From = std::stoi(Incoming.query("from_token").value_or("0"));
    co_await stream(std::move(Incoming), Caller, From, true);
  } else {
    co_await execute(std::move(Incoming), Caller);
  }
}

FakeEndpoint::Task<void> FakeEndpoint::execute(http::Request Incoming,
                                               http::Exchange &Caller) {
  ++m_Executions;
  m_Cancelled = false;
  {
    std::lock_guard Lock(m_Mutex);
    m_LastRequest = Incoming;
  }
  if (m_CrashOnRequest && Incoming.m_Body.find("crash") != std::string::npos) {
    // Close the port first, so that a probe fails.
    m_Server->stopAccepting();
    co_await sleep(PollMs * 4);
    Caller.abort();
    co_return;
  }
  m_MaxParallel = std::max<int>(m_MaxParallel, ++m_Parallel);
  if (Incoming.m_Body.find("\"stream\":true") != std::string::npos) {
    co_await stream(std::move(Incoming), Caller, 0, false);
  } else {
    while (m_HoldResponses && !m_Cancelled)
      co_await sleep(PollMs);
    http::Response Answer = echo(Incoming, "{\"text\":\"whole\"}");
    co_await Caller.respond(std::move(Answer));
  }
  --m_Parallel;
}

FakeEndpoint::Task<void> FakeEndpoint::stream(http::Request Incoming,
                                              http::Exchange &Caller, int From,
                                              bool Resumed) {
  http::Response Head = echo(Incoming, "");
  Head.m_Headers.set("Content-Type", "text/event-stream");
  co_await Caller.beginStream(std::move(Head));
  for (int Token = From; Token < m_Tokens && !m_Cancelled; ++Token) {
    if (!Resumed && m_CutAfter > 0 && Token == m_CutAfter) {
      const std::string Half = "data: {\"tok";
      co_await Caller.writeChunk(Half);
      Caller.abort();
      co_return;
    }
    while (!Resumed && m_StallAfter > 0 && Token == m_StallAfter &&
           !Caller.isCallerDisconnected())
      co_await sleep(PollMs);
    const std::string Event = "data: " + std::to_string(Token) + "\n\n";
    if (!co_await Caller.writeChunk(Event))
      co_return;
    co_await sleep(m_TokenPauseMs);
  }
  const std::string End = m_OmitDone ? "" : "data: [DONE]\n\n";
  co_await Caller.writeChunk(End);
  co_await Caller.endStream();
}

} // namespace sff::router::testing
