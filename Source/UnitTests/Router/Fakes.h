#pragma once

#include "Core/Execution/IntentTable.h"
#include "Core/Fold/Records.h"
#include "Core/Messages/ControllerMessages.h"
#include "Core/Messages/RelayMessages.h"
#include "Core/Messages/RouterMessages.h"
#include "Net/Http/Server.h"
#include "Net/Peer/Dispatcher.h"

#include <atomic>
#include <map>
#include <mutex>

namespace sff::router::testing {

/// In-memory stand-in for a relay.
class FakeRelay {
public:
  explicit FakeRelay(const std::string &Address);
  ~FakeRelay();

  Offset append(const std::string &Stream, nlohmann::json Record);
  /// Appends several records at one offset, as relays do with intents.
  void appendBatch(const std::string &Stream,
                   std::vector<nlohmann::json> Records);
  std::vector<messages::StreamRecord> records(const std::string &Stream);

  std::atomic<bool> m_LogReachable{true};
  /// Appends take effect, but the reply says that the outcome is unknown.
  std::atomic<bool> m_DropAppendReplies{false};
  /// Appends do not take effect, and the reply says that the outcome is
  /// unknown.
  std::atomic<bool> m_DropAppends{false};

private:
  void answerAppend(messages::Append Request,
                    const std::function<void(messages::AppendReply)> &Send);

  std::mutex m_Mutex;
  std::map<std::string, std::vector<messages::StreamRecord>> m_Streams;
  timers::EventLoop m_Loop{"fake-relay", 1024};
  peer::Dispatcher m_Dispatcher{m_Loop};
};

/// Stand-in for a controller that owns all endpoints and lends their credits.
class FakeController {
public:
  explicit FakeController(const std::string &Address);
  ~FakeController();

  void setEndpoint(messages::EndpointInfo Info);
  std::int64_t outstanding(const EndpointId &Endpoint);
  /// Number of credits that each endpoint lends.
  std::atomic<std::int64_t> m_Capacity{4};
  std::atomic<bool> m_RefuseCredits{false};
  std::atomic<bool> m_Loading{false};
  std::atomic<int> m_BorrowMessages{0};

private:
  struct Loan {
    EndpointId m_Endpoint;
    std::int64_t m_Count = 0;
    std::int64_t m_Returned = 0;
  };
  messages::BorrowCreditsReply lend(const messages::BorrowCredits &Request);
  std::int64_t creditsLentLocked(const EndpointId &Endpoint) const;

  std::mutex m_Mutex;
  std::map<EndpointId, messages::EndpointInfo> m_Endpoints;
  std::map<LoanId, Loan> m_Loans;
  timers::EventLoop m_Loop{"fake-controller", 1024};
  peer::Dispatcher m_Dispatcher{m_Loop};
};

/// Stand-in for an engine or a plain service, with faults that a test sets.
class FakeEndpoint {
public:
  explicit FakeEndpoint(std::uint16_t Port);
  ~FakeEndpoint();

  std::string address() const;
  /// Closes all connections and the port, like a crashed process.
  void shutDown();

  std::atomic<int> m_Executions{0};
  std::atomic<int> m_Cancels{0};
  std::atomic<int> m_Resumes{0};
  std::atomic<int> m_MaxParallel{0};
  std::atomic<int> m_Tokens{5};
  std::atomic<int> m_TokenPauseMs{0};
  /// The connection breaks after this many tokens of a stream, unless it is a
  /// resumed one; 0 for never.
  std::atomic<int> m_CutAfter{0};
  /// A stream stalls after this many tokens, unless it is a resumed one; 0 for
  /// never.
  std::atomic<int> m_StallAfter{0};
  std::atomic<bool> m_CanResume{true};
  std::atomic<bool> m_EchoWrongIds{false};
  /// Responses have neither a length nor chunks.
  std::atomic<bool> m_EndsWithConnection{false};
  /// Ends a stream after its tokens, without the "[DONE]" event.
  std::atomic<bool> m_OmitDone{false};
  /// Closes the port and the connection when a request body contains "crash".
  std::atomic<bool> m_CrashOnRequest{false};
  /// Delays responses that are not streamed until it is cleared.
  std::atomic<bool> m_HoldResponses{false};
  std::atomic<int> m_Status{200};
  std::mutex m_Mutex;
  http::Request m_LastRequest;

private:
  template <typename T> using Task = boost::asio::awaitable<T>;
  Task<void> handle(http::Request Incoming, http::Exchange &Caller);
  Task<void> execute(http::Request Incoming, http::Exchange &Caller);
  Task<void> stream(http::Request Incoming, http::Exchange &Caller, int From,
                    bool Resumed);
  Task<void> sleep(int Milliseconds);
  http::Response echo(const http::Request &Incoming, std::string Body) const;

  std::uint16_t m_Port;
  std::atomic<int> m_Parallel{0};
  std::atomic<bool> m_Cancelled{false};
  std::unique_ptr<timers::EventLoop> m_Loop;
  std::unique_ptr<http::Server> m_Server;
};

} // namespace sff::router::testing
