#pragma once

#include "Core/Streaming/EventSplitter.h"
#include "Net/Http/Server.h"
#include "Router/CallerRequest.h"
#include "Router/EndpointCall.h"

namespace sff::router {

/// Result of an attempt.
enum class AttemptResult {
  Answered, ///< The complete response was received.
  Streamed, ///< The complete stream was sent to the caller.
  CallerGone,
  Expired,     ///< The deadline passed before the response.
  NotSent,     ///< Provably no byte was sent.
  Lost,        ///< May have run; nothing was sent to the caller.
  Interrupted, ///< Part was sent to the caller; the rest is lost.
};

/// Sends a repeatable request to one endpoint, probes the endpoint while it
/// makes no progress, and resumes an interrupted stream.
/// Thread safety: use on the HTTP loop's thread only.
class Attempt {
public:
  /// Precondition: all references outlive the attempt.
  Attempt(FrontEndState &State, const CallerRequest &Request,
          const Placement &Assigned, http::Exchange &Caller);

  boost::asio::awaitable<void> run();

  /// Precondition: run() has returned.
  AttemptResult result() const {
    return m_Result.value_or(AttemptResult::Lost);
  }

  /// Precondition: the result is AttemptResult::Answered.
  const execution::Answered &answer() const { return m_Answer; }
  /// The endpoint failed a probe.
  bool endpointDown() const { return m_EndpointDown; }
  /// The endpoint closed the connection and failed a probe.
  bool endpointCrashed() const { return m_EndpointCrashed; }
  const std::string &detail() const { return m_Detail; }

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  http::Request makeRequest() const;
  http::ClientOptions makeOptions() const;
  Task<void> onEvent(CallEvent Event);
  void onHead(const http::Response &Head);
  void onBodyChunk(std::string_view Chunk);
  Task<void> deliverEvents();
  void finishResponse();
  Task<void> endStream();
  void recordFailure(const http::TransportFailure &Failure);
  Task<void> onBrokenConnection();
  Task<void> checkTimeouts();
  Task<void> onProgressTimeout();
  Task<void> recoverFromConnectionLoss();
  Task<void> checkInventory();
  Task<bool> deliver(streaming::StreamEvent Event);
  Task<bool> resume();
  Task<std::shared_ptr<EndpointCall>> openResumed();
  void fail(std::string Detail);
  bool isStreaming() const { return m_Request.m_Stream && m_Status == 200; }
  bool canResume() const {
    return m_Request.m_Stream && m_Request.m_TargetsEngine;
  }

  FrontEndState &m_State;
  const CallerRequest &m_Request;
  const Placement &m_Assigned;
  http::Exchange &m_Caller;
  http::Address m_EndpointAddress;
  std::shared_ptr<EndpointCall> m_Call;
  streaming::EventSplitter m_Events;
  execution::Answered m_Answer;
  std::string m_Detail;
  Instant m_LastProgress;
  /// Set once the attempt has ended.
  std::optional<AttemptResult> m_Result;
  int m_Status = 0;
  int m_ResumesWithoutProgress = 0;
  bool m_Finished = false; ///< The finish event was sent to the caller.
  bool m_Done = false;     ///< The final "[DONE]" event was sent to the caller.
  /// The body of the endpoint's response ends with the connection.
  bool m_EndsWithConnection = false;
  bool m_TimedOut = false;
  bool m_EndpointDown = false;
  bool m_EndpointCrashed = false;
};

} // namespace sff::router
